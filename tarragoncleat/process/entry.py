"""The daemon of an entry: assembly, signals and graceful shutdown."""

from collections.abc import Callable, Coroutine
import json
import pathlib
import signal
import sys
from typing import Any

import anyio
import anyio.abc
import loguru

from tarragoncleat.administration import admin_api
from tarragoncleat.administration import auth
from tarragoncleat.decisions import controller
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import logs
from tarragoncleat.kernel import metrics
from tarragoncleat.kernel import settings
from tarragoncleat.kernel import timer
from tarragoncleat.log import replication
from tarragoncleat.membership import membership
from tarragoncleat.membership import peering
from tarragoncleat.membership import upstream_api
from tarragoncleat.process import http_app
from tarragoncleat.process import http_server
from tarragoncleat.requests import caller_api
from tarragoncleat.requests import claims
from tarragoncleat.state import fleet

__all__ = ["Entry", "main"]

_EXIT_SETTINGS = 2
_EXIT_STORAGE = 3
_EXIT_REQUESTS_ABORTED = 4
_MS_PER_S = 1000
_METRICS_INTERVAL_S = 1.0


class Entry:
    """One entry process."""

    def __init__(
        self,
        entry_settings: settings.Settings,
        timer_service: timer.TimerService,
    ) -> None:
        """Creates the components; `run` starts them."""
        self._settings = entry_settings
        self._timer = timer_service
        self._metrics = metrics.Metrics()
        self._fleet = fleet.Fleet()
        self._links = peering.PeerLinks(entry_settings, timer_service)
        self._replication = replication.Replication(
            entry_settings, self._links, timer_service, self._fleet
        )
        self._membership = membership.Membership(
            entry_settings, self._links, timer_service, self._replica_progress
        )
        self._claims = claims.Claims(
            entry_settings, timer_service, self._replication, self._links
        )
        self._controller = controller.Controller(
            entry_settings, self._fleet, self._replication, timer_service
        )
        authenticator = auth.Authenticator(entry_settings.auth)
        self._caller_api = self._build_caller_api(authenticator)
        process_limits = http_server.build_process_limits(
            entry_settings.callers, timer_service
        )
        event_log.subscribe(process_limits.refusals.observe)
        self._server = http_server.HttpServer(
            entry_settings,
            self._build_app(authenticator),
            timer_service,
            process_limits,
        )
        self._stop_requested = anyio.Event()
        self._aborted_requests = 0

    async def run(self) -> int:
        """Runs until SIGTERM or SIGINT and returns the exit status."""
        failure = self._replication.open()
        if failure is not None:
            loguru.logger.error("{}", failure.reason)
            return _EXIT_STORAGE
        async with anyio.create_task_group() as background_group:
            for task in self._background_tasks():
                background_group.start_soon(task)
            async with anyio.create_task_group() as serving_group:
                serving_group.start_soon(self._server.serve)
                await self._stop_requested.wait()
                await self._stop_gracefully()
            background_group.cancel_scope.cancel()
        loguru.logger.info(
            "stopped; {} requests aborted", self._aborted_requests
        )
        return _EXIT_REQUESTS_ABORTED if self._aborted_requests else 0

    def dump(self) -> dict:
        """Returns the state of the process in plain types."""
        return {
            "entry_id": self._settings.entry_id,
            "availability_zone": self._settings.availability_zone,
            "leaving": self._stop_requested.is_set(),
            "cut_off_since_ms": self._replication.cut_off_since_ms,
            "configuration_revision": self._fleet.revision,
            "listener": self._server.counts.to_plain(),
            "callers": self._caller_api.dump(),
            "claims": self._claims.dump(),
            "membership": self._membership.dump(),
            "replication": self._replication.dump(),
            "controller": self._controller.dump(),
            "peers": self._links.dump(),
            "timers": self._timer.dump(),
        }

    def _background_tasks(self) -> list[Callable[[], Coroutine[Any, Any, Any]]]:
        return [
            self._links.run,
            self._replication.run,
            self._membership.run,
            self._claims.run,
            self._controller.run,
            self._caller_api.run,
            self._server.reload_certificate,
            self._handle_signals,
            self._record_revision,
        ]

    def _build_caller_api(
        self, authenticator: auth.Authenticator
    ) -> caller_api.CallerApi:
        return caller_api.CallerApi(
            self._settings,
            self._timer,
            self._metrics,
            self._membership,
            self._fleet,
            self._claims,
            http_app.raw_header_authentication(authenticator),
        )

    def _build_app(self, authenticator: auth.Authenticator) -> http_app.HttpApp:
        upstreams = upstream_api.UpstreamApi(
            self._settings,
            self._membership,
            authenticator.authenticate,
            lambda: self._fleet.revision,
            self._fleet.owner_of,
        )
        administration = admin_api.AdminApi(
            self._settings,
            self._fleet,
            self._replication,
            authenticator,
            self.dump,
            self._metrics,
        )
        return http_app.HttpApp(
            self._caller_api, upstreams, administration, self._is_ready
        )

    def _is_ready(self) -> bool:
        # An availability zone that is cut off must continue to serve, so an
        # entry that can't reach a leader doesn't wait for one forever.
        return (
            self._replication.has_caught_up
            or self._replication.cut_off_since_ms is not None
        )

    def _replica_progress(self) -> tuple[int, int]:
        return self._replication.applied_index, self._fleet.revision

    async def _stop_gracefully(self) -> None:
        stop = self._settings.stop
        self._caller_api.start_leaving()
        loguru.logger.info(
            "stopping; /readyz now reports that the entry isn't ready"
        )
        await self._timer.sleep_s(stop.balancer_notice_ms / _MS_PER_S)
        self._server.stop()
        with anyio.move_on_after(stop.in_flight_limit_ms / _MS_PER_S):
            while self._caller_api.in_flight:
                await self._timer.sleep_s(0.02)
        for request_id, service in self._caller_api.in_flight.items():
            self._aborted_requests += 1
            loguru.logger.error(
                "aborted request {} of service {}: not finished within {} ms",
                request_id,
                service,
                stop.in_flight_limit_ms,
            )

    async def _handle_signals(self) -> None:
        handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
        with anyio.open_signal_receiver(*handled_signals) as signals:
            async for signal_number in signals:
                if signal_number == signal.SIGUSR1:
                    self._write_dump()
                elif self._stop_requested.is_set():
                    loguru.logger.info(
                        "already stopping; still waiting for requests in flight"
                    )
                else:
                    self._stop_requested.set()

    def _write_dump(self) -> None:
        text = json.dumps(self.dump(), indent=1, default=str)
        folder = self._settings.entry.dump_folder
        if folder is None:
            loguru.logger.info("state: {}", text)
            return
        name = f"{self._settings.entry_id}-{self._timer.wall_time_ms()}.json"
        try:
            folder.mkdir(parents=True, exist_ok=True)
            (folder / name).write_text(text + "\n", encoding="utf-8")
        except OSError as error:
            loguru.logger.error("can't write the state dump: {}", error)
            return
        loguru.logger.info("wrote the state dump {}", folder / name)

    async def _record_revision(self) -> None:
        revision, since_s = self._fleet.revision, self._timer.monotonic_s()
        async for now_s in self._timer.subscribe(_METRICS_INTERVAL_S):
            if self._fleet.revision != revision:
                revision, since_s = self._fleet.revision, now_s
            self._metrics.record_revision(revision, now_s - since_s)


def main(path: pathlib.Path) -> int:
    """Runs an entry with the settings of a file.

    Returns:
        0 after a graceful shutdown, 2 for invalid settings, 3 if the data
        folder can't be used, 4 if requests were aborted because they exceeded
        the timeout of the shutdown.
    """
    entry_settings = settings.load(path)
    if isinstance(entry_settings, errors.Failure):
        print(entry_settings.reason, file=sys.stderr)
        return _EXIT_SETTINGS
    logs.configure(entry_settings.log.level, entry_settings.log.json_lines)
    return anyio.run(Entry(entry_settings, timer.TimerService()).run)
