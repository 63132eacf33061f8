"""Runs a system of real entry processes behind fault proxies."""

from collections.abc import AsyncIterator, Callable, Iterable
import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
from typing import Any

import anyio

from tarragoncleat.administration import admin_client
from tarragoncleat.kernel import errors
from tests import builders
from tests import fault_proxy
from tests import request_path_rig

__all__ = ["PROFILE", "System", "ZONES", "run_system", "wait_until"]

# Number of entries in each availability zone.
ZONES = {"fukuoka-a": 2, "kumamoto": 1, "kagoshima": 1}
# Body of a profile that allows one instance out.
PROFILE = {
    "firm": "hakata-kobo",
    "owed": {"instances": 1},
    "tolerance": {"max_out": 1},
}

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_WAIT_S = 30.0
_EXIT_TIMEOUT_S = 30.0
_LOG_LINES = 40
_SETTINGS = """
[entry]
entry_id = "{name}"
availability_zone = "{zone}"
region = "kyushu"
http_address = "{ip}:8080"
peer_address = "{ip}:9080"
{data_folder}

[stop]
balancer_notice_ms = 300

[controller]
interval_ms = 200
lease_ms = 1500
"""
_PEER = """
[[peers]]
entry_id = "{name}"
availability_zone = "{zone}"
address = "{address}"
replica = {replica}
"""


async def wait_until(condition: Callable[[], Any], what: str) -> Any:
    """Waits for a truthy value; raises AssertionError after a timeout.

    The condition runs in a thread, because it usually calls an entry.
    """
    with anyio.move_on_after(_WAIT_S):
        while True:
            value = await anyio.to_thread.run_sync(condition)
            if value:
                return value
            await anyio.sleep(0.05)
    raise AssertionError(f"no {what} within {_WAIT_S} s")


class System:
    """Entries, the fault proxies between them, and stand-in upstreams.

    Entry names are ZONE-NUMBER. Entry I listens on LOOPBACK.SUBNET.I. It
    connects to entry J through a proxy on its own address, so that each
    direction between two entries can be interrupted.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        subnet: int,
        zones: dict[str, int],
        extra_settings: str,
    ) -> None:
        self.folder = folder
        self._zones_by_entry = {
            f"{zone}-{number}": zone
            for zone, count in zones.items()
            for number in range(1, count + 1)
        }
        self.names = list(self._zones_by_entry)
        self._ips = {
            name: f"{builders.LOOPBACK}.{subnet}.{index}"
            for index, name in enumerate(self.names, 1)
        }
        self._subnet = subnet
        self._extra_settings = extra_settings
        self._processes: dict[str, subprocess.Popen] = {}
        self._standins = contextlib.ExitStack()
        self._run_files: list[pathlib.Path] = []
        self._routes = {
            (source, target): (
                f"{self._ips[source]}:{10_000 + index}",
                f"{self._ips[target]}:9080",
            )
            for source in self.names
            for index, target in enumerate(self.names)
            if source != target
        }
        self._proxy_control = f"{builders.LOOPBACK}.{subnet}.200:9999"

    def write_settings(self) -> None:
        for name, zone in self._zones_by_entry.items():
            is_replica = name.endswith("-1")
            text = _SETTINGS.format(
                name=name,
                zone=zone,
                ip=self._ips[name],
                data_folder=f'data_folder = "{name}"' if is_replica else "",
            )
            text += self._extra_settings
            for target in self.names:
                if target != name:
                    text += _PEER.format(
                        name=target,
                        zone=self._zones_by_entry[target],
                        address=self._routes[name, target][0],
                        replica=str(target.endswith("-1")).lower(),
                    )
            (self.folder / f"{name}.toml").write_text(text, encoding="utf-8")

    def start(self, *names: str) -> None:
        for name in names or self.names:
            command = [sys.executable, "-m", "tarragoncleat", "entry"]
            command += ["--settings", str(self.folder / f"{name}.toml")]
            with (self.folder / f"{name}.log").open("ab") as log:
                self._processes[name] = subprocess.Popen(
                    command, cwd=_ROOT, stdout=log, stderr=log
                )

    def kill(self, *names: str) -> None:
        """Kills entries with SIGKILL."""
        for name in names:
            process = self._processes.pop(name)
            process.kill()
            process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        self._processes[name].send_signal(number)

    def wait_exit(self, name: str) -> int:
        return self._processes.pop(name).wait(_EXIT_TIMEOUT_S)

    def address(self, name: str) -> str:
        return f"{self._ips[name]}:8080"

    def spare_address(self, host: int) -> str:
        return f"{builders.LOOPBACK}.{self._subnet}.{host}:7000"

    def close(self) -> None:
        self._standins.close()
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self._proxy.kill()
        self._proxy.wait()

    def print_logs(self) -> None:
        """Prints the end of each entry's log after a failed test."""
        for name in self.names:
            text = (self.folder / f"{name}.log").read_text(encoding="utf-8")
            lines = text.splitlines()[-_LOG_LINES:]
            # The runner of the tests keeps only this stream.
            print(name, *lines, sep="\n  ", file=sys.stderr)

    def start_proxy(self) -> None:
        routes = [
            f"{listen}={target}" for listen, target in self._routes.values()
        ]
        command = [sys.executable, "-m", "tests.fault_proxy", "--routes"]
        command += [*routes, "--control", self._proxy_control]
        self._proxy = subprocess.Popen(command, cwd=_ROOT)

    def cut_off(self, names: Iterable[str]) -> None:
        """Partitions entries from the others; the proxies hold all bytes."""
        isolated = set(names)
        for (source, target), (listen, _) in self._routes.items():
            if (source in isolated) != (target in isolated):
                self._set_faults(listen, hold=True)

    def heal(self) -> None:
        for listen, _ in self._routes.values():
            self._set_faults(listen, hold=False)

    def _set_faults(self, listen: str, **faults: Any) -> None:
        reply = fault_proxy.send_command(
            self._proxy_control, route=listen, direction="both", **faults
        )
        if not reply["ok"]:
            raise AssertionError(reply["reason"])

    def admin(self, name: str) -> admin_client.AdminClient:
        return admin_client.AdminClient([f"http://{self.address(name)}"])

    def get(self, name: str, path: str, **query: str) -> Any:
        """Returns the body, or a Failure."""
        with self.admin(name) as client:
            reply = client.get(path, query)
        return reply if isinstance(reply, errors.Failure) else reply.body

    def put(self, name: str, path: str, body: Any, **fields: Any) -> Any:
        with self.admin(name) as client:
            reply = client.send_command("PUT", path, body, **fields)
        return reply if isinstance(reply, errors.Failure) else reply.body

    def leader(self) -> str | None:
        """Returns the live entry that reports to be the leader, or None."""
        for name in self._processes:
            state = self.get(name, "state", consistency="local")
            if state and state["replication"]["role"] == "leader":
                return name
        return None

    async def call(
        self, name: str, target: str, **headers: str
    ) -> request_path_rig.Reply:
        """Sends one POST request on a new connection."""
        caller = request_path_rig.Caller(self.address(name))
        try:
            return await caller.request(
                "POST",
                target,
                {key.replace("_", "-"): text for key, text in headers.items()},
                b"body",
            )
        finally:
            await caller.aclose()

    def start_upstream(self, name: str, zone: str, *options: str) -> None:
        """Starts an upstream of service "bidding" in a zone."""
        number = len(self._run_files) + 1
        runs = self.folder / f"runs-{name}.jsonl"
        self._run_files.append(runs)
        entries = [n for n, z in self._zones_by_entry.items() if z == zone]
        arguments = ["--upstream-id", name, "--service", "bidding"]
        arguments += ["--address", self.spare_address(100 + number)]
        arguments += ["--availability-zone", zone, "--log-file", str(runs)]
        arguments += ["--entry", *map(self.address, entries), *options]
        self._standins.enter_context(request_path_rig.run_standin(*arguments))

    def runs(self) -> list[dict]:
        """Returns all runs that the upstreams logged."""
        records = []
        for path in self._run_files:
            for line in path.read_text(encoding="utf-8").splitlines():
                record = json.loads(line)
                if record["event"] == "run":
                    records.append(record)
        return records


@contextlib.asynccontextmanager
async def run_system(
    subnet: int, zones: dict[str, int], extra_settings: str = ""
) -> AsyncIterator[System]:
    """Runs a system until a leader is known and every entry is ready."""
    with tempfile.TemporaryDirectory() as folder:
        system = System(pathlib.Path(folder), subnet, zones, extra_settings)
        system.write_settings()
        try:
            system.start_proxy()
            system.start()
            for name in system.names:
                await wait_until(
                    lambda name=name: system.get(name, "configuration"),
                    f"committed configuration at {name}",
                )
            yield system
        except BaseException:
            system.print_logs()
            raise
        finally:
            system.close()
