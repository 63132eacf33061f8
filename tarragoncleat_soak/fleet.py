"""Runs the processes of a soak, and brings faults about from outside them."""

from collections.abc import Iterator, Sequence
import itertools
import json
import math
import pathlib
import signal
import subprocess
import sys
import threading
import time
from typing import Any, TypeAlias

from tarragoncleat_soak import faults as faults_module
from tarragoncleat_soak import history
from tests import builders
from tests import fault_proxy
from tests import platform_rig

__all__ = ["Fleet"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_ENTRIES = 2
_WORKER_PORT = 7_000
_FIRST_PROXY_PORT = 10_000
# Room for the end of a worker that drains.
_TERMINATE_S = 4.0
_CLOCK_RATES = (1.0, 0.98, 0.99)
_Kind: TypeAlias = faults_module.Kind


class Fleet:
    """Control nodes, entries, stand-in workers, and the proxies before them.

    Clients reach entries, workers reach control nodes, and leaders reach
    workers through a proxy.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        subnet: int,
        worker_count: int,
        program: Sequence[str] | None = None,
    ) -> None:
        """Creates the fleet without starting it.

        Args:
            folder: Folder of all files.
            subnet: Third byte of the addresses.
            worker_count: Number of workers.
            program: Arguments that start a process of the system; the product
                itself by default.
        """
        self._folder = folder
        options = {} if program is None else {"program": program}
        self.group = platform_rig.Group(folder, subnet, _ENTRIES, **options)
        self._base = f"{builders.LOOPBACK}.{subnet}"
        self.workers = [f"worker-{i}" for i in range(1, worker_count + 1)]
        ports = itertools.count(_FIRST_PROXY_PORT)
        targets = {name: self.group.address(name) for name in self.group.names}
        for number, name in enumerate(self.workers):
            targets[name] = f"{self._base}.{20 + number}:{_WORKER_PORT}"
        self._targets = targets
        self._links = {
            name: f"{self._base}.200:{next(ports)}" for name in targets
        }
        self._proxy_control = f"{self._base}.201:9999"
        self._proxy: subprocess.Popen | None = None
        self._processes: dict[str, subprocess.Popen] = {}
        self._locks = {name: threading.Lock() for name in targets}
        # Time of the end by signal, by process id of the worker.
        self._killed_s: dict[int, float] = {}

    @property
    def targets(self) -> faults_module.Targets:
        """What faults can happen to."""
        return faults_module.Targets(
            self.group.names, self.workers, list(self._links.values())
        )

    def link(self, name: str) -> str:
        """Returns the address of the proxy before a process."""
        return self._links[name]

    def start(self) -> None:
        """Starts all processes, and waits for a leader."""
        routes = [
            f"{link}={self._targets[name]}"
            for name, link in self._links.items()
        ]
        self._proxy = subprocess.Popen(
            [
                *(sys.executable, "-m", "tests.fault_proxy"),
                *("--routes", *routes, "--control", self._proxy_control),
            ],
            cwd=_ROOT,
        )
        self.group.start()
        for name in self.workers:
            self._start_worker(name)
        self.group.wait_leader()

    def close(self) -> None:
        """Kills all processes."""
        self.group.close()
        processes = list(self._processes.values())
        if self._proxy is not None:
            processes.append(self._proxy)
        for process in processes:
            process.kill()
            process.wait()

    def inject(self, fault: faults_module.Fault) -> None:
        """Brings a fault about, and ends it after its time.

        A process that takes longer to end than was drawn has its next fault
        after that.
        """
        if fault.kind in (_Kind.DELAY, _Kind.HOLD, _Kind.DROP, _Kind.RESET):
            self._disturb_link(fault)
            return
        is_worker = fault.target in self.workers
        with self._locks[fault.target]:
            (self._disturb_worker if is_worker else self._disturb_node)(fault)

    def is_on_node(self, fault: faults_module.Fault) -> bool:
        """Whether a fault can cut a node off, and isn't one of a worker."""
        node_links = [self._links[name] for name in self.group.names]
        is_node = fault.target in (*self.group.names, *node_links)
        return is_node and fault.kind is not _Kind.RELOAD

    def read_runs(self) -> list[history.Run]:
        """Returns the runs that all workers have recorded."""
        runs: list[history.Run] = []
        for name in self.workers:
            path = self._folder / f"{name}.events"
            with path.open(encoding="utf-8") as lines:
                runs.extend(_read_runs(lines, self._killed_s))
        return runs

    def _start_worker(self, name: str) -> None:
        number = self.workers.index(name)
        nodes = self.group.control_names
        control = [self._links[node] for node in nodes]
        command = [
            *(sys.executable, "-m", "tarragoncleat_soak.worker"),
            *("--name", name, "--address", self._targets[name]),
            *("--advertised", self._links[name]),
            *("--control", *control[number % len(nodes) :]),
            *control[: number % len(nodes)],
            *("--zone", f"zone-{number % 3}", "--service", "bidding"),
            *("--events", str(self._folder / f"{name}.events")),
            *("--clock-rate", str(_CLOCK_RATES[number % len(_CLOCK_RATES)])),
        ]
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command, cwd=_ROOT, stdout=log, stderr=log
            )

    def _disturb_link(self, fault: faults_module.Fault) -> None:
        if fault.kind is _Kind.RESET:
            self._command_proxy(fault.target, reset=True)
            return
        changes: dict[_Kind, tuple[dict[str, Any], dict[str, Any]]] = {
            _Kind.DELAY: ({"delay_ms": fault.delay_ms}, {"delay_ms": 0}),
            _Kind.HOLD: ({"hold": True}, {"hold": False}),
            _Kind.DROP: ({"drop": True}, {"drop": False}),
        }
        begin, end = changes[fault.kind]
        self._command_proxy(fault.target, direction=fault.direction, **begin)
        time.sleep(fault.length_s)
        self._command_proxy(fault.target, direction=fault.direction, **end)

    def _command_proxy(self, link: str, **command: Any) -> None:
        reply = fault_proxy.send_command(
            self._proxy_control, route=link, **command
        )
        if not reply["ok"]:
            raise ValueError(f"{link}: {reply['reason']}")

    def _disturb_node(self, fault: faults_module.Fault) -> None:
        group, name = self.group, fault.target
        if fault.kind is _Kind.RELOAD:
            group.signal(signal.SIGHUP, name)
        elif fault.kind is _Kind.PAUSE:
            group.signal(signal.SIGSTOP, name)
            time.sleep(fault.length_s)
            group.signal(signal.SIGCONT, name)
        else:
            is_kill = fault.kind is _Kind.KILL
            (group.kill if is_kill else group.terminate)(name)
            time.sleep(fault.length_s)
            group.start_process(name)

    def _disturb_worker(self, fault: faults_module.Fault) -> None:
        process = self._processes[fault.target]
        if fault.kind is _Kind.PAUSE:
            process.send_signal(signal.SIGSTOP)
            time.sleep(fault.length_s)
            process.send_signal(signal.SIGCONT)
            return
        if fault.kind is _Kind.TERMINATE:
            process.terminate()
            try:
                process.wait(_TERMINATE_S)
            except subprocess.TimeoutExpired:
                process.kill()
        else:
            process.kill()
        process.wait()
        self._killed_s[process.pid] = time.monotonic()
        time.sleep(fault.length_s)
        self._start_worker(fault.target)


def _read_runs(
    lines: Iterator[str], killed_s: dict[int, float]
) -> Iterator[history.Run]:
    """Joins starts and ends; open runs ended when their worker was killed."""
    open_starts: dict[tuple[str, int], dict] = {}
    worker_end_s = math.inf
    for line in lines:
        row = json.loads(line)
        if row["event"] == "boot":
            yield from _close_runs(open_starts, worker_end_s)
            open_starts = {}
            worker_end_s = killed_s.get(row["pid"], math.inf)
            continue
        key = (row["task"], row["run"])
        if row["event"] == "start":
            open_starts[key] = row
            continue
        start = open_starts.pop(key)
        yield _build_run(start, row["at_s"], row["ending"])
    yield from _close_runs(open_starts, worker_end_s)


def _close_runs(
    open_starts: dict[tuple[str, int], dict], end_s: float
) -> Iterator[history.Run]:
    for start in open_starts.values():
        yield _build_run(start, end_s, "open")


def _build_run(start: dict, end_s: float, ending: str) -> history.Run:
    return history.Run(
        start["task"],
        start["run"],
        start["worker"],
        start["at_s"],
        end_s,
        ending,
    )
