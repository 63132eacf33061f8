"""Demonstrates a small Kyushu region on loopback, from start to stop.

Starts one entry for each of the four availability zones, stand-in upstreams of
two services and stand-in workers; sends caller traffic; applies a
configuration change; runs a maintenance wave; prints the report; and stops
every process gracefully. The exit status is 0 only if no request was lost or
run twice and every process stopped cleanly.
"""

import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
from typing import Any
import uuid

import anyio
import httpcore

_RUN_FOLDER = pathlib.Path("demo-run")
_ZONES = ("fukuoka-a", "fukuoka-b", "kumamoto", "kagoshima")
_REPLICAS = _ZONES[:3]
_SERVICES = ("bidding", "closing")
_WORKERS_PER_POOL = 4
_CALLER_COUNT = 16
_FIRM = ("--firm", "hakata-kobo")
_CALL_PAUSE_S = 0.02
_START_TIMEOUT_S = 20.0
_WAVE_TIMEOUT_S = 45.0
_STOP_TIMEOUT_S = 20.0
_ENTRY_SETTINGS = """
[entry]
entry_id = "{name}"
availability_zone = "{name}"
region = "kyushu"
http_address = "127.40.{number}.1:8080"
peer_address = "127.40.{number}.1:9080"
{data_folder}

[controller]
interval_ms = 200
lease_ms = 1500

[objectives]
roll_out = 3.0
"""
_PEER_SETTINGS = """
[[peers]]
entry_id = "{name}"
availability_zone = "{name}"
address = "127.40.{number}.1:9080"
replica = {replica}
"""


class _DemoError(Exception):
    """A step of the demonstration failed."""


@dataclasses.dataclass
class _CallerResults:
    """Outcomes that the callers saw, by the bid id that a caller generated."""

    answered: set[str] = dataclasses.field(default_factory=set)
    not_run: set[str] = dataclasses.field(default_factory=set)
    lost: list[str] = dataclasses.field(default_factory=list)


class _Processes:
    """The running processes, each signalled by its own pid."""

    def __init__(self) -> None:
        self._running: dict[str, subprocess.Popen] = {}

    def start(self, name: str, *arguments: str) -> None:
        log = (_RUN_FOLDER / f"{name}.log").open("wb")
        with log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log
            )

    def stop(self, prefix: str) -> list[str]:
        """Stops processes by SIGTERM and returns those with an unclean exit."""
        names = [name for name in self._running if name.startswith(prefix)]
        for name in names:
            self._running[name].send_signal(signal.SIGTERM)
        return [name for name in names if not self._wait_for_clean_exit(name)]

    def kill_remaining(self) -> None:
        for process in self._running.values():
            process.kill()

    def _wait_for_clean_exit(self, name: str) -> bool:
        process = self._running.pop(name)
        try:
            status = process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return False
        return status in (0, -signal.SIGTERM)


def _entry_url(number: int) -> str:
    return f"http://127.40.{number}.1:8080"


def _write_settings() -> None:
    numbered = list(enumerate(_ZONES, 1))
    for number, name in numbered:
        folder = f'data_folder = "data-{name}"' if name in _REPLICAS else ""
        text = _ENTRY_SETTINGS.format(
            name=name, number=number, data_folder=folder
        )
        for other_number, other in numbered:
            if other != name:
                text += _PEER_SETTINGS.format(
                    name=other,
                    number=other_number,
                    replica=str(other in _REPLICAS).lower(),
                )
        (_RUN_FOLDER / f"{name}.toml").write_text(text, encoding="utf-8")


def _run_cli(*arguments: str, body: object = None) -> Any:
    """Runs a command of the operators' CLI and returns its JSON output."""
    urls = ",".join(_entry_url(number) for number in range(1, 5))
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "tarragoncleat",
            *arguments,
            *("--output", "json", "--url", urls),
        ],
        input=None if body is None else json.dumps(body),
        capture_output=True,
        text=True,
        check=False,
    )
    if completed.returncode:
        raise _DemoError(
            f"{' '.join(arguments)}: {completed.stderr}{completed.stdout}"
        )
    return json.loads(completed.stdout)


def _put_resource(kind: str, name: str, body: dict) -> None:
    _run_cli(kind, "put", name, "--file", "-", body=body)


def _profile_body(standing: str, settle_s: int) -> dict:
    return {
        "firm": "hakata-kobo",
        "owed": {"instances": _WORKERS_PER_POOL - 1, "slots": 32},
        "tolerance": {"max_out": 1, "max_out_s": 600},
        "standing": standing,
        "settle_s": settle_s,
    }


def _start_upstreams(processes: _Processes) -> None:
    for index, service in enumerate(_SERVICES):
        for number, zone in enumerate(_ZONES, 1):
            processes.start(
                f"upstream-{service}-{zone}",
                *("tests.standin_upstream", "--upstream-id"),
                f"{service}-{zone}",
                *("--service", service, "--availability-zone", zone),
                *("--address", f"127.40.{number}.{10 + index}:7000"),
                *("--entry", f"127.40.{number}.1:8080", "--delay-ms", "3"),
                *(
                    "--log-file",
                    str(_RUN_FOLDER / f"runs-{service}-{zone}.jsonl"),
                ),
            )


def _register_fleet(processes: _Processes) -> None:
    _put_resource("profile", "bids", _profile_body("urgent", settle_s=1))
    _put_resource("profile", "lots", _profile_body("normal", settle_s=1))
    for index, service in enumerate(_SERVICES):
        _put_resource("pool", f"pool-{service}", {"firm": "hakata-kobo"})
        _put_resource(
            "service",
            service,
            {
                "firm": "hakata-kobo",
                "profile_id": ("bids", "lots")[index],
                "pool_id": f"pool-{service}",
            },
        )
        for number in range(1, _WORKERS_PER_POOL + 1):
            _add_worker(processes, service, index, number)


def _add_worker(
    processes: _Processes, service: str, index: int, number: int
) -> None:
    address = f"127.40.{number}.{100 + index}:7000"
    name = f"worker-{service}-{number}"
    processes.start(
        name,
        *("tests.standin_worker", "--address", address, "--instance-id", name),
    )
    body = {
        "pool_id": f"pool-{service}",
        "availability_zone": _ZONES[number - 1],
        "rack": f"{_ZONES[number - 1]}-rack-1",
        "cores": 16,
        "memory_mb": 65_536,
        "accelerators": 0,
        "address": address,
    }
    _put_resource("instance", name, body)


def _submit_jobs() -> None:
    jobs = [
        {
            "job_id": f"settle-{number}",
            "service_id": "closing",
            "demand": {"cores": 2, "memory_mb": 4_096},
            "declared_run_s": 2,
        }
        for number in range(6)
    ]
    jobs.append(
        {
            "job_id": "too-large",
            "service_id": "closing",
            "demand": {"cores": 400, "memory_mb": 4_096},
            "declared_run_s": 2,
        }
    )
    _run_cli("job", "submit", "--file", "-", body=jobs)


def _wait_for(condition: Any, timeout_s: float, description: str) -> float:
    started_s = time.monotonic()
    while time.monotonic() - started_s < timeout_s:
        if condition():
            return time.monotonic() - started_s
        time.sleep(0.05)
    raise _DemoError(f"no {description} within {timeout_s} s")


def _is_ready(number: int) -> bool:
    try:
        answer = httpcore.request("GET", f"{_entry_url(number)}/readyz")
    except (httpcore.NetworkError, httpcore.TimeoutException):
        return False
    return answer.status == 200


def _is_in_force(revision: int) -> bool:
    entries = _run_cli("configuration")["entries"].values()
    applied = [entry["applied_index"] for entry in entries]
    return len(applied) == len(_ZONES) and min(applied) >= revision


async def _send_bids(
    results: _CallerResults, stop: anyio.Event, number: int, service: str
) -> None:
    """Sends bids, each with its own idempotency key, until `stop` is set."""
    url = f"{_entry_url(number)}/services/{service}/bids"
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        while not stop.is_set():
            bid_id = uuid.uuid4().hex
            await _send_bid(pool, url, bid_id, results)
            await anyio.sleep(_CALL_PAUSE_S)


async def _send_bid(
    pool: httpcore.AsyncConnectionPool,
    url: str,
    bid_id: str,
    results: _CallerResults,
) -> None:
    headers = {"Idempotency-Key": bid_id}
    try:
        answer = await pool.request(
            "POST", f"{url}?bid={bid_id}", headers=headers, content=b"100 yen"
        )
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        results.lost.append(f"{bid_id}: {error!r}")
        return
    outcome = dict(answer.headers).get(b"tarragoncleat-outcome")
    if answer.status == 200:
        results.answered.add(bid_id)
    elif outcome == b"not-run":
        results.not_run.add(bid_id)
    else:
        results.lost.append(f"{bid_id}: {answer.status} {answer.content!r}")


def _run_operations(durations_s: dict[str, float]) -> None:
    """Changes the configuration and runs a wave during the caller traffic."""
    put_result = _run_cli(
        *("profile", "put", "bids", "--file", "-"),
        body=_profile_body("urgent", settle_s=2),
    )
    revision = int(put_result["revision"])
    durations_s["configuration in force everywhere after, s"] = _wait_for(
        lambda: _is_in_force(revision), _START_TIMEOUT_S, "configuration"
    )
    _submit_jobs()
    pools = ",".join(f"pool-{service}" for service in _SERVICES)
    _run_cli(*("wave", "propose", "kernel-update", "--pools", pools, *_FIRM))
    _run_cli("wave", "approve", "kernel-update")
    durations_s["maintenance wave finished after, s"] = _wait_for(
        lambda: _wave_state() == "finished", _WAVE_TIMEOUT_S, "end of the wave"
    )


def _wave_state() -> str:
    wave = _run_cli("wave", "show", "kernel-update")
    return str(wave["state"])


async def _run_traffic(durations_s: dict[str, float]) -> _CallerResults:
    results = _CallerResults()
    stop = anyio.Event()
    async with anyio.create_task_group() as callers:
        for index in range(_CALLER_COUNT):
            service = _SERVICES[index % len(_SERVICES)]
            callers.start_soon(
                _send_bids, results, stop, 1 + index % 4, service
            )
        await anyio.to_thread.run_sync(_run_operations, durations_s)
        stop.set()
    return results


def _count_runs() -> collections.Counter[str]:
    run_counts: collections.Counter[str] = collections.Counter()
    for path in _RUN_FOLDER.glob("runs-*.jsonl"):
        for line in path.read_text(encoding="utf-8").splitlines():
            record = json.loads(line)
            if record["event"] == "run":
                run_counts[record["target"].rpartition("bid=")[2]] += 1
    return run_counts


def _find_problems(
    results: _CallerResults, unclean_exits: list[str]
) -> list[str]:
    run_counts = _count_runs()
    problems = [f"lost: {text}" for text in results.lost]
    problems += [
        f"run {count} times: {bid_id}"
        for bid_id, count in run_counts.items()
        if count > 1
    ]
    problems += [
        f"not run: {bid_id}"
        for bid_id in results.answered
        if not run_counts[bid_id]
    ]
    problems += [
        f"run after not-run: {bid_id}"
        for bid_id in results.not_run
        if run_counts[bid_id]
    ]
    problems += [f"unclean exit: {name}" for name in unclean_exits]
    return problems


def main() -> int:
    """Runs the demonstration."""
    shutil.rmtree(_RUN_FOLDER, ignore_errors=True)
    _RUN_FOLDER.mkdir()
    _write_settings()
    durations_s: dict[str, float] = {}
    processes = _Processes()
    with contextlib.ExitStack() as stack:
        stack.callback(processes.kill_remaining)
        for name in _ZONES:
            path = str(_RUN_FOLDER / f"{name}.toml")
            processes.start(
                f"entry-{name}",
                *("tarragoncleat", "entry", "--settings", path),
            )
        for number in range(1, 5):
            _wait_for(
                lambda number=number: _is_ready(number),
                _START_TIMEOUT_S,
                "ready entry",
            )
        _start_upstreams(processes)
        _register_fleet(processes)
        results = anyio.run(_run_traffic, durations_s)
        print(_run_cli_for_text("report", "--service", "closing"))
        unclean_exits = processes.stop("upstream") + processes.stop("entry")
        unclean_exits += processes.stop("worker")
    problems = _find_problems(results, unclean_exits)
    for description, seconds in durations_s.items():
        print(f"{description}: {seconds:.2f}")
    print(f"requests answered: {len(results.answered)}")
    print(f"requests refused, not run: {len(results.not_run)}")
    for problem in problems:
        print(f"PROBLEM {problem}")
    print(f"requests lost or doubled, processes ended badly: {len(problems)}")
    return 1 if problems else 0


def _run_cli_for_text(*arguments: str) -> str:
    completed = subprocess.run(
        [sys.executable, "-m", "tarragoncleat", *arguments],
        env={**os.environ, "TARRAGONCLEAT_URL": _entry_url(1)},
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout


if __name__ == "__main__":
    sys.exit(main())
