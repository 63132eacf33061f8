"""Entries as real processes, behind proxies that delay other zones."""

from collections.abc import Sequence
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

__all__ = ["KYUSHU_ZONES", "Cluster", "Node"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PEER_PORT = 9_700
_PROXY_PORT = 9_701
_CONTROL_PORT = 9_702
_READY_TIMEOUT_S = 120.0
_POLL_S = 0.02
# Kyushu's zones by the number of their entries.
KYUSHU_ZONES = (
    *("fukuoka-a", "fukuoka-b", "kumamoto", "kagoshima", "fukuoka-a"),
    *("fukuoka-b", "kumamoto", "kagoshima", "fukuoka-a"),
)


def _claim_net() -> tuple[int, socket.socket]:
    """Returns a third address part that no other cluster here uses."""
    for net in range(1, 255):
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((f"127.23.{net}.254", _CONTROL_PORT))
        except OSError:
            claim.close()
            continue
        return net, claim
    raise OSError("every network 127.23.x is in use")


class Node:
    """One process and its standard streams."""

    def __init__(self, name: str, settings: pathlib.Path, keys: int) -> None:
        """Starts the process."""
        self.name = name
        self._settings = settings
        self._keys = keys
        self.start()

    def start(self) -> None:
        """Starts the process again after it ended."""
        log = self._settings.with_suffix(".log")
        with log.open("ab") as errors_file:
            self.process = subprocess.Popen(
                [
                    *(sys.executable, "-m", "tarragoncleat_bench.control_node"),
                    *("--settings", str(self._settings)),
                    *("--keys", str(self._keys)),
                ],
                cwd=_ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors_file,
                text=True,
            )

    def send(self, **command: Any) -> None:
        """Sends a command without waiting for its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    def receive(self) -> dict:
        """Waits for the answer of the oldest command."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise ConnectionError(f"{self.name} ended")
        return json.loads(line)

    def ask(self, **command: Any) -> dict:
        """Sends a command and waits for its answer."""
        self.send(**command)
        return self.receive()

    def propose(self, first: int, count: int, **options: Any) -> dict:
        """Proposes tags and returns what became of them."""
        self.send_proposals(first, count, **options)
        return self.receive()

    def send_proposals(self, first: int, count: int, **options: Any) -> None:
        """Starts to propose tags."""
        defaults = {
            "bytes": 100,
            "parallel": 1,
            "interval_s": 0.0,
            "timeout_s": 30.0,
        }
        command = {**defaults, **options, "first": first, "count": count}
        self.send(do="propose", **command)

    def kill(self) -> None:
        """Ends the process at once, as a crash does."""
        self.process.send_signal(signal.SIGKILL)
        self._close()

    def stop(self) -> None:
        """Ends the input, upon which the process ends by itself."""
        if self.process.poll() is None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            try:
                self.process.wait(timeout=5)
            except subprocess.TimeoutExpired:
                self.process.kill()
        self._close()

    def _close(self) -> None:
        self.process.wait()
        for stream in (self.process.stdin, self.process.stdout):
            if stream is not None and not stream.closed:
                stream.close()


class Cluster:
    """Entries in several zones; the first ones are replicas."""

    def __init__(
        self,
        folder: pathlib.Path,
        zones: Sequence[str],
        replicas: int,
        delay_ms: float = 0.0,
        keys: int = 1_000,
        consensus: str = "",
    ) -> None:
        """Starts the processes on free addresses 127.23.NET.x.

        Args:
            folder: Folder of the settings, logs and data.
            zones: Zone of each entry.
            replicas: How many of the entries are replicas.
            delay_ms: One-way delay between zones.
            keys: Keys of the state machine.
            consensus: Lines of the `[consensus]` section.
        """
        self._net, self._claim = _claim_net()
        self._proxy: subprocess.Popen | None = None
        self._is_delayed = delay_ms > 0
        self._zones = zones
        self._replicas = replicas
        if self._is_delayed:
            self._start_proxy(delay_ms)
        self.nodes = {}
        for number, _ in enumerate(zones):
            name = f"entry-{number:02d}"
            path = folder / f"{name}.toml"
            path.write_text(self._settings(number, consensus), "utf-8")
            self.nodes[name] = Node(name, path, keys)

    def close(self) -> None:
        """Stops every process."""
        for node in self.nodes.values():
            node.stop()
        if self._proxy is not None:
            self._proxy.kill()
            self._proxy.wait()
        self._claim.close()

    def running(self) -> list[Node]:
        """Returns the nodes whose process runs."""
        nodes = self.nodes.values()
        return [node for node in nodes if node.process.poll() is None]

    def wait_leader(self, other_than: str = "") -> Node:
        """Waits until a running node leads and returns it."""
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for node in self.running():
                status = node.ask(do="status")
                if status["role"] == "leader" and node.name != other_than:
                    return node
            time.sleep(_POLL_S)
        raise TimeoutError("no leader")

    def wait_in_touch(self) -> None:
        """Waits until no running node refuses proposals for want of a leader.

        A process that has just started, and has not heard of the leader yet,
        refuses proposals as not run.
        """
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        for node in self.running():
            while node.ask(do="status")["dump"]["cut_off_since_ms"] is not None:
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"{node.name} has no contact")
                time.sleep(_POLL_S)

    def wait_applied(self, index: int) -> None:
        """Waits until every running node has applied `index`."""
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        for node in self.running():
            while node.ask(do="status")["applied_index"] < index:
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"{node.name} has not applied {index}")
                time.sleep(_POLL_S)

    def _host(self, number: int) -> str:
        return f"127.23.{self._net}.{number + 1}"

    def _settings(self, number: int, consensus: str) -> str:
        lines = [
            "[entry]",
            f'entry_id = "entry-{number:02d}"',
            f'availability_zone = "{self._zones[number]}"',
            'region = "kyushu"',
            f'http_address = "{self._host(number)}:8080"',
            f'peer_address = "{self._host(number)}:{_PEER_PORT}"',
        ]
        if number < self._replicas:
            lines.append(f'data_folder = "data-{number:02d}"')
        lines += ["[consensus]", consensus]
        for other, zone in enumerate(self._zones):
            if other == number:
                continue
            is_near = zone == self._zones[number]
            direct = is_near or not self._is_delayed
            port = _PEER_PORT if direct else _PROXY_PORT
            lines += [
                "[[peers]]",
                f'entry_id = "entry-{other:02d}"',
                f'availability_zone = "{zone}"',
                f'address = "{self._host(other)}:{port}"',
                f"replica = {str(other < self._replicas).lower()}",
            ]
        return "\n".join(lines) + "\n"

    def _start_proxy(self, delay_ms: float) -> None:
        routes = [
            f"{self._host(n)}:{_PROXY_PORT}={self._host(n)}:{_PEER_PORT}"
            for n, _ in enumerate(self._zones)
        ]
        control = f"{self._host(200)}:{_CONTROL_PORT}"
        self._proxy = subprocess.Popen(
            [
                *(sys.executable, "-m", "tests.fault_proxy"),
                *("--routes", *routes, "--control", control),
            ],
            cwd=_ROOT,
        )
        from tests import fault_proxy

        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while True:
            try:
                for route in routes:
                    fault_proxy.send_command(
                        control,
                        route=route.partition("=")[0],
                        direction="both",
                        delay_ms=delay_ms,
                    )
                return
            except OSError:
                if time.monotonic() > deadline_s:
                    raise
                time.sleep(_POLL_S)
