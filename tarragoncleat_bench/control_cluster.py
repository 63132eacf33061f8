"""Runs entries as processes, with proxies that delay traffic between zones."""

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
# The zone of each of Kyushu's entries.
KYUSHU_ZONES = (
    *("fukuoka-a", "fukuoka-b", "kumamoto", "kagoshima", "fukuoka-a"),
    *("fukuoka-b", "kumamoto", "kagoshima", "fukuoka-a"),
)


def _reserve_network() -> tuple[int, socket.socket]:
    """Reserves an unused network 127.23.NET.0/24 on this machine.

    Returns:
        NET, and the bound socket that holds the reservation until it is closed.
    """
    for network in range(1, 255):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((f"127.23.{network}.254", _CONTROL_PORT))
        except OSError:
            reservation.close()
            continue
        return network, reservation
    raise OSError("all networks 127.23.1.0/24 to 127.23.254.0/24 are in use")


class Node:
    """An entry's process, with commands and answers on its standard streams."""

    def __init__(self, name: str, settings: pathlib.Path, keys: int) -> None:
        """Starts the process."""
        self.name = name
        self._settings = settings
        self._keys = keys
        self.start()

    def start(self) -> None:
        """Starts the process, for the first time or after it ended."""
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
        """Waits for the answer to the oldest unanswered command."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise ConnectionError(f"{self.name} exited")
        return json.loads(line)

    def request(self, **command: Any) -> dict:
        """Sends a command and waits for its answer."""
        self.send(**command)
        return self.receive()

    def propose(self, first: int, count: int, **options: Any) -> dict:
        """Proposes consecutive tags and returns the outcomes."""
        self.send_proposals(first, count, **options)
        return self.receive()

    def send_proposals(self, first: int, count: int, **options: Any) -> None:
        """Proposes consecutive tags without waiting for the outcomes."""
        defaults = {
            "bytes": 100,
            "parallel": 1,
            "interval_s": 0.0,
            "timeout_s": 30.0,
        }
        command = {**defaults, **options, "first": first, "count": count}
        self.send(do="propose", **command)

    def kill(self) -> None:
        """Kills the process by SIGKILL, to simulate a crash."""
        self.process.send_signal(signal.SIGKILL)
        self._wait_and_close_streams()

    def stop(self) -> None:
        """Closes the input, at which the process exits; kills it after 5 s."""
        if self.process.poll() is None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            try:
                self.process.wait(timeout=5)
            except subprocess.TimeoutExpired:
                self.process.kill()
        self._wait_and_close_streams()

    def _wait_and_close_streams(self) -> None:
        self.process.wait()
        for stream in (self.process.stdin, self.process.stdout):
            if stream is not None and not stream.closed:
                stream.close()


class Cluster:
    """A cluster of entries in several zones; the first ones are replicas."""

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
            replicas: Number of replicas; the other entries are learners.
            delay_ms: One-way delay between zones.
            keys: Number of keys of the state machine.
            consensus: Lines of the `[consensus]` section.
        """
        self._network, self._reservation = _reserve_network()
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
        self._reservation.close()

    def running(self) -> list[Node]:
        """Returns the nodes whose process runs."""
        nodes = self.nodes.values()
        return [node for node in nodes if node.process.poll() is None]

    def wait_leader(self, other_than: str = "") -> Node:
        """Waits until a running node is leader and returns it."""
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for node in self.running():
                status = node.request(do="status")
                if status["role"] == "leader" and node.name != other_than:
                    return node
            time.sleep(_POLL_S)
        raise TimeoutError("no node became leader in time")

    def wait_leader_contact(self) -> None:
        """Waits until all running nodes have contact with a leader.

        A process that has just started refuses proposals as not run until its
        first contact with the leader.
        """
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        for node in self.running():
            while (
                node.request(do="status")["dump"]["cut_off_since_ms"]
                is not None
            ):
                if time.monotonic() > deadline_s:
                    raise TimeoutError(
                        f"{node.name} has no contact with a leader"
                    )
                time.sleep(_POLL_S)

    def wait_applied(self, index: int) -> None:
        """Waits until every running node has applied `index`."""
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        for node in self.running():
            while node.request(do="status")["applied_index"] < index:
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"{node.name} has not applied {index}")
                time.sleep(_POLL_S)

    def _host(self, number: int) -> str:
        return f"127.23.{self._network}.{number + 1}"

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
            same_zone = zone == self._zones[number]
            is_direct = same_zone or not self._is_delayed
            port = _PEER_PORT if is_direct else _PROXY_PORT
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
