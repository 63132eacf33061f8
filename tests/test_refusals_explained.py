"""Tests that the logs of an entry and a control node explain refusals."""

from collections.abc import Awaitable, Callable
import json
import pathlib
import tempfile
import unittest

import anyio
import loguru

from fleet_adapter import caller_app
from fleet_adapter import configuration_body
from fleet_adapter import http_messages
from tarragoncleat.administration import explain
from tarragoncleat.batch import bounds
from tarragoncleat.batch.leader import nodes
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.cluster import log_node
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tests import batch_builders
from tests import builders
from tests import load_builders

_ADDRESS = (f"{builders.LOOPBACK}.78.1", 9_482)
_ZONE = ids.AvailabilityZone("fukuoka-a")
_SECRET = "the-submitter's-own-payload"
# Keys of two customers, and one that nobody has.
_KEYS = ("own1key8v1x6pw", "other2key8v1x6", "unknown3key8v1")
_JOB = {
    "spec": _SECRET,
    "steps": [{"count": 1, "cpu": 500, "mem-mb": 64, "estimated-ms": 900}],
}
_TIMEOUT_S = 30.0
_TIMES = {
    "heartbeat_ms": 50,
    "election_timeout_min_ms": 300,
    "election_timeout_max_ms": 600,
}


class _System:
    """One control node and one entry, in this process over real links."""

    def __init__(self, folder: pathlib.Path, controls_overload: bool) -> None:
        timer = timer_module.TimerService()
        node_id = log_node.load_identity(folder, *_ADDRESS, True)
        assert not isinstance(node_id, errors.Failure)
        self.control = nodes.ControlNode(
            builders.build_settings(
                node_id, data_folder=folder, consensus=_TIMES
            ),
            [_ADDRESS],
            0,
            timer,
            bounds.Bounds(controls_overload=controls_overload),
            batch_builders.FakeWorker,
            batch_builders.FakeInstanceClient(),
            batch_builders.FakeAdvisorClient(),
            "core-1",
        )
        failure = self.control.open((node_id,), folder)
        assert failure is None
        self.entry = nodes.EntryNode(
            ids.EntryId("front-1"), _ZONE, [_ADDRESS], timer
        )
        self.app = caller_app.CallerApp(
            self.entry.call, timer, self.entry.finder.confirmed_age_s
        )
        self.answers: dict[str, list[int]] = {}

    async def send(
        self,
        method: str,
        job_id: str,
        body: object = None,
        queue: str = batch_builders.QUEUE.path_prefix,
        key: str = "",
    ) -> int:
        """Sends a request and returns the status of its answer."""
        content = json.dumps(body).encode() if body is not None else b""
        request = http_messages.Request(
            method,
            batch_builders.QUEUE.host,
            f"{queue}{job_id}",
            {
                b"deadline-ms": b"1000",
                b"authorization": f"Token {key}".encode(),
            },
            content,
        )
        response = await self.app.handle(request)
        self.answers.setdefault(job_id, []).append(response.status)
        return response.status

    async def configure(
        self,
        configuration: model.FleetConfiguration | None = None,
        **fields: object,
    ) -> None:
        """Puts a configuration in force, or one with fields of the body."""
        if configuration is None:
            body = batch_builders.build_configuration_fields(**fields)
            decoded = configuration_body.decode_configuration(
                json.dumps(body).encode()
            )
            assert isinstance(decoded, model.FleetConfiguration)
            configuration = decoded
        await self.call(messages.PutRequest(configuration))

    async def call(self, request: object) -> None:
        """Sends a request to the control node until it succeeds."""
        while isinstance(await self.control.call(request, 1.0), errors.Failure):
            await anyio.sleep(0.02)


class RefusalsExplainedTest(unittest.TestCase):
    """Guards against refused requests whose logs show no cause.

    Also guards against keys in logs and state dumps.
    """

    def setUp(self) -> None:
        self.lines: list[dict] = []
        sink = event_log.EventSink("front-1", self._append_lines)
        loguru.logger.remove()
        handler = loguru.logger.add(sink.write_record, format="{message}")
        self.addCleanup(loguru.logger.remove, handler)

    def _append_lines(self, data: bytes) -> int:
        self.lines.extend(json.loads(line) for line in data.splitlines())
        return len(data)

    def _run_scenario(
        self,
        scenario: Callable[[_System], Awaitable[None]],
        controls_overload: bool = False,
    ) -> _System:
        async def main() -> _System:
            with tempfile.TemporaryDirectory() as folder:
                system = _System(pathlib.Path(folder), controls_overload)
                with anyio.fail_after(_TIMEOUT_S):
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(system.entry.run)
                        await scenario(system)
                        tasks.cancel_scope.cancel()
                return system

        return anyio.run(main)

    async def _wait_until(self, call: Callable[[], Awaitable[bool]]) -> None:
        while not await call():
            await anyio.sleep(0.02)

    def test_each_refusal_has_a_cause_and_no_line_holds_a_body(self) -> None:
        """Guards against unexplained refusals, and job bodies in the logs."""

        async def scenario(system: _System) -> None:
            self.assertEqual(await system.send("POST", "no-leader", _JOB), 503)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(system.control.run)

                async def is_unconfigured() -> bool:
                    await system.send("POST", "before-configuration", _JOB)
                    return "no configuration" in str(self.lines)

                await self._wait_until(is_unconfigured)
                await system.configure()

                async def is_accepted() -> bool:
                    return await system.send("POST", "accepted", _JOB) == 200

                await self._wait_until(is_accepted)
                refused = (
                    ("POST", "unknown-queue", _JOB, "/unknown/", 404),
                    (
                        "POST",
                        "invalid-body",
                        {"spec": _SECRET, "steps": 7},
                        None,
                        400,
                    ),
                    ("PATCH", "unknown-method", _JOB, None, 400),
                    ("GET", "unknown-job", None, None, 410),
                    ("DELETE", "never-submitted", None, None, 410),
                )
                for method, job_id, body, queue, status in refused:
                    prefix = queue or batch_builders.QUEUE.path_prefix
                    found = await system.send(method, job_id, body, prefix)
                    self.assertEqual(found, status, job_id)
                await self._send_with_keys(system)
                dump = system.control.dump(), system.entry.dump()
                self.lines.append({"time_ms": 0, "dump": str(dump)})
                tasks.cancel_scope.cancel()

        system = self._run_scenario(scenario)
        for job_id, statuses in system.answers.items():
            explanation = explain.explain(job_id, self.lines)
            if any(status >= 400 for status in statuses):
                self.assertIsNotNone(explanation.cause, (job_id, statuses))
            else:
                self.assertIsNone(explanation.cause, job_id)
        refused = [
            line for line in self.lines if line.get("event") == "caller_refused"
        ]
        for job_id, cause in (
            ("job-without-key", "presented no key"),
            ("job-with-unknown-key", "no customer had the caller's key"),
            ("own-job", "a job of another customer"),
        ):
            explanation = explain.explain(job_id, refused)
            self.assertIn(cause, explanation.cause or "")
        for secret in (_SECRET, *_KEYS):
            self.assertNotIn(secret, json.dumps(self.lines))

    async def _send_with_keys(self, system: _System) -> None:
        """Sends requests with good and bad keys."""
        own, other, unknown = _KEYS
        customers = [
            {"name": "a", "api-keys": [own]},
            {"name": "b", "api-keys": [other]},
        ]
        await system.configure(version=8, tenants=customers)
        for job_id, key, status in (
            ("own-job", own, 200),
            ("job-without-key", "", 401),
            ("job-with-unknown-key", unknown, 401),
        ):
            found = await system.send("POST", job_id, _JOB, key=key)
            self.assertEqual(found, status, job_id)
        found = await system.send("GET", "own-job", key=other)
        self.assertEqual(found, 410)
        found = await system.send("POST", "own-job", _JOB, key=other)
        self.assertEqual(found, 409)

    def test_refusal_for_want_of_room_names_the_backlog(self) -> None:
        """Guards against a refused caller whose operator can't see why.

        More urgent work holds the service for longer than the job is of use.
        """
        urgent = {**_JOB["steps"][0], "count": 900, "estimated-ms": 60_000}

        async def scenario(system: _System) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(system.control.run)
                kinds = {"urgent": 0, "usual": 1}
                await system.configure(load_builders.configure(kinds))
                record = batch_builders.build_record()
                await system.call(messages.Heartbeat(record, False, 1))

                async def is_flooded() -> bool:
                    body = {**_JOB, "steps": [urgent]}
                    status = await system.send(
                        "POST", "flood", body, "/urgent/"
                    )
                    return status == 200

                async def is_refused() -> bool:
                    job_id = f"usual-{len(system.answers)}"
                    status = await system.send("POST", job_id, _JOB, "/usual/")
                    return status == 503

                await self._wait_until(is_flooded)
                await self._wait_until(is_refused)
                tasks.cancel_scope.cancel()

        system = self._run_scenario(scenario, controls_overload=True)
        job_id, statuses = list(system.answers.items())[-1]
        self.assertEqual(statuses, [503])
        refused = [
            line
            for line in self.lines
            if line["event"] == "submission_refused" and line["job"] == job_id
        ]
        self.assertEqual(refused[0]["service"], "bidding")
        cause = explain.explain(job_id, self.lines).cause or ""
        self.assertIn("bidding has more urgent work", cause)


if __name__ == "__main__":
    unittest.main()
