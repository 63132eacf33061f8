"""Plays one seed: traffic and faults, then the checks."""

from collections.abc import Callable, Sequence
import dataclasses
import functools
import json
import pathlib
import random
import threading
import time
from typing import Any

from tarragoncleat_soak import faults as faults_module
from tarragoncleat_soak import fleet as fleet_module
from tarragoncleat_soak import history as history_module
from tarragoncleat_soak import load

__all__ = ["Outcome", "Plan", "play"]

_CLIENTS = 4
_READERS = 2
_POLL_S = 0.2
# After a fault a node may be out of touch for this long.
_CONTACT_S = 3.0
_CHANGE_PAUSE_S = 0.5
# Faults begin within this share of the traffic.
_DISTURBED_SHARE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What is played.

    Attributes:
        seed: Seed of the faults and of the traffic.
        duration_s: Length of the traffic.
        workers: Number of workers.
        folder: Folder of all files of the run.
        subnet: Third byte of the addresses.
        program: Arguments that start a process of the system; the product by
            default.
    """

    seed: int
    duration_s: float
    workers: int
    folder: pathlib.Path
    subnet: int
    program: Sequence[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What came of a run."""

    seed: int
    faults: int
    jobs: int
    accepted: int
    runs: int
    versions: int
    broken: Sequence[history_module.BrokenPromise]


class _Threads:
    """Repeats calls in threads until stopped."""

    def __init__(self) -> None:
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self.errors: list[Exception] = []

    def repeat(self, call: Callable[[], None], pause_s: float = 0.0) -> None:
        """Repeats a call with this pause."""

        def run() -> None:
            while not self._stop.is_set():
                self._guard(call)
                self._stop.wait(pause_s)

        self._start(run)

    def once(self, call: Callable[[], None]) -> None:
        """Executes a call."""
        self._start(lambda: self._guard(call))

    def stop(self) -> None:
        """Waits for the end of all calls; raises the first error of one."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        if self.errors:
            raise self.errors[0]

    def _guard(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception as error:  # noqa: BLE001 - raised again by `stop`
            self.errors.append(error)
            self._stop.set()

    def _start(self, call: Callable[[], None]) -> None:
        thread = threading.Thread(target=call)
        thread.start()
        self._threads.append(thread)


class _Run:
    """One run: its fleet, its history and its timeline."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._fleet = fleet_module.Fleet(
            plan.folder, plan.subnet, plan.workers, plan.program
        )
        self._history = history_module.History()
        self._disturbed: list[tuple[float, float]] = []
        self._faults = faults_module.draw(
            plan.seed,
            self._fleet.targets,
            plan.duration_s * _DISTURBED_SHARE,
        )

    def play(self) -> Outcome:
        """Plays the seed, and returns what came of it."""
        try:
            self._fleet.start()
            self._operator("first").change()
            self._disturb()
            self._settle()
        finally:
            self._fleet.close()
        return self._check()

    def _operator(self, name: str) -> load.Operator:
        nodes = self._fleet.group.control_names
        addresses = [self._fleet.group.address(node) for node in nodes]
        source = random.Random(f"{self._plan.seed} {name}")
        return load.Operator(addresses, self._history, source)

    def _client(self, name: str) -> load.Client:
        entries = [
            self._fleet.link(entry)
            for entry in self._fleet.group.names
            if entry not in self._fleet.group.control_names
        ]
        source = random.Random(f"{self._plan.seed} {name}")
        return load.Client(entries, self._history, source)

    def _disturb(self) -> None:
        """Plays the traffic and the faults."""
        traffic, faults = _Threads(), _Threads()
        started_s = time.monotonic()
        clients = [self._client(f"client {n}") for n in range(_CLIENTS)]
        for client in clients:
            traffic.repeat(client.submit_one)
        for number in range(_READERS):
            traffic.repeat(self._operator(f"reader {number}").read)
        traffic.repeat(self._operator("operator").change, _CHANGE_PAUSE_S)
        try:
            for fault in self._faults:
                _sleep_until(started_s + fault.at_s)
                faults.once(functools.partial(self._inject, fault))
            _sleep_until(started_s + self._plan.duration_s)
        finally:
            try:
                traffic.stop()
            finally:
                # A fault that ends later would start a process that stays.
                faults.stop()
        for client in clients:
            client.close()

    def _inject(self, fault: faults_module.Fault) -> None:
        started_s = time.monotonic()
        self._fleet.inject(fault)
        ended_s = time.monotonic() + _CONTACT_S
        if self._fleet.is_on_node(fault):
            self._disturbed.append((started_s, ended_s))

    def _settle(self) -> None:
        """Asks for all jobs until they have ended, or their time is over."""
        client = self._client("settling")
        until_s = time.monotonic() + self._history.bounds.finish_s
        while time.monotonic() < until_s:
            waiting = [
                job
                for job in self._history.jobs.values()
                if job.accepted_s is not None and not job.has_ended
            ]
            if not waiting:
                break
            for job in waiting:
                client.ask(job)
            time.sleep(_POLL_S)
        client.close()
        self._history.check_ended(time.monotonic())

    def _check(self) -> Outcome:
        runs = self._fleet.read_runs()
        broken = [
            *self._history.broken,
            *history_module.check_runs(
                self._history, runs, load.MAX_ATTEMPTS, self._disturbed
            ),
        ]
        jobs = self._history.jobs.values()
        outcome = Outcome(
            self._plan.seed,
            len(self._faults),
            len(jobs),
            sum(job.accepted_s is not None for job in jobs),
            len(runs),
            self._history.confirmed_count,
            sorted(broken, key=lambda item: item.at_s),
        )
        self._write(outcome)
        return outcome

    def _write(self, outcome: Outcome) -> None:
        """Keeps the faults, the jobs and the broken promises."""
        rows: dict[str, Sequence[Any]] = {
            "faults.jsonl": self._faults,
            "jobs.jsonl": list(self._history.jobs.values()),
            "broken.jsonl": outcome.broken,
        }
        for name, items in rows.items():
            lines = (
                json.dumps(dataclasses.asdict(i), default=str) for i in items
            )
            text = "".join(f"{line}\n" for line in lines)
            (self._plan.folder / name).write_text(text, encoding="utf-8")


def play(plan: Plan) -> Outcome:
    """Plays one seed; its files are in the plan's folder."""
    plan.folder.mkdir(parents=True, exist_ok=True)
    return _Run(plan).play()


def _sleep_until(time_s: float) -> None:
    time.sleep(max(0.0, time_s - time.monotonic()))
