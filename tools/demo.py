"""A small Kyushu from start to stop, on loopback.

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

_FOLDER = pathlib.Path("demo-run")
_ZONES = ("fukuoka-a", "fukuoka-b", "kumamoto", "kagoshima")
_REPLICAS = _ZONES[:3]
_SERVICES = ("bidding", "closing")
_WORKERS_PER_POOL = 4
_CALLERS = 16
_FIRM = ("--firm", "hakata-kobo")
_PAUSE_S = 0.02
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


class _StepError(Exception):
    """A step of the demonstration failed."""


@dataclasses.dataclass
class _Tally:
    """What the callers saw, by request id of their own making."""

    answered: set[str] = dataclasses.field(default_factory=set)
    not_run: set[str] = dataclasses.field(default_factory=set)
    lost: list[str] = dataclasses.field(default_factory=list)


class _Processes:
    """The started processes; each is ended by its own pid."""

    def __init__(self) -> None:
        self._started: dict[str, subprocess.Popen] = {}

    def start(self, name: str, *arguments: str) -> None:
        log = (_FOLDER / f"{name}.log").open("wb")
        with log:
            self._started[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log
            )

    def stop(self, prefix: str) -> list[str]:
        """Stops processes by SIGTERM and returns those that ended badly."""
        chosen = [name for name in self._started if name.startswith(prefix)]
        for name in chosen:
            self._started[name].send_signal(signal.SIGTERM)
        return [name for name in chosen if not self._ended_well(name)]

    def kill_rest(self) -> None:
        for process in self._started.values():
            process.kill()

    def _ended_well(self, name: str) -> bool:
        process = self._started.pop(name)
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
        (_FOLDER / f"{name}.toml").write_text(text, encoding="utf-8")


def _cli(*arguments: str, body: object = None) -> Any:
    """Runs an operator's command and returns its JSON output."""
    urls = ",".join(_entry_url(number) for number in range(1, 5))
    done = subprocess.run(
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
    if done.returncode:
        raise _StepError(f"{' '.join(arguments)}: {done.stderr}{done.stdout}")
    return json.loads(done.stdout)


def _put(kind: str, name: str, body: dict) -> None:
    _cli(kind, "put", name, "--file", "-", body=body)


def _profile(standing: str, settle_s: int) -> dict:
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
                *("--log-file", str(_FOLDER / f"runs-{service}-{zone}.jsonl")),
            )


def _register_fleet(processes: _Processes) -> None:
    _put("profile", "bids", _profile("urgent", settle_s=1))
    _put("profile", "lots", _profile("normal", settle_s=1))
    for index, service in enumerate(_SERVICES):
        _put("pool", f"pool-{service}", {"firm": "hakata-kobo"})
        _put(
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
    _put("instance", name, body)


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
    _cli("job", "submit", "--file", "-", body=jobs)


def _wait_for(condition: Any, timeout_s: float, what: str) -> float:
    started_s = time.monotonic()
    while time.monotonic() - started_s < timeout_s:
        if condition():
            return time.monotonic() - started_s
        time.sleep(0.05)
    raise _StepError(f"no {what} within {timeout_s} s")


def _is_ready(number: int) -> bool:
    try:
        answer = httpcore.request("GET", f"{_entry_url(number)}/readyz")
    except (httpcore.NetworkError, httpcore.TimeoutException):
        return False
    return answer.status == 200


def _is_in_force(revision: int) -> bool:
    entries = _cli("configuration")["entries"].values()
    applied = [entry["applied_index"] for entry in entries]
    return len(applied) == len(_ZONES) and min(applied) >= revision


async def _call(
    tally: _Tally, stop: anyio.Event, number: int, service: str
) -> None:
    """Sends bids, each with its own key, until told to stop."""
    url = f"{_entry_url(number)}/services/{service}/bids"
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        while not stop.is_set():
            name = uuid.uuid4().hex
            await _send(pool, url, name, tally)
            await anyio.sleep(_PAUSE_S)


async def _send(
    pool: httpcore.AsyncConnectionPool, url: str, name: str, tally: _Tally
) -> None:
    headers = {"Idempotency-Key": name}
    try:
        answer = await pool.request(
            "POST", f"{url}?bid={name}", headers=headers, content=b"100 yen"
        )
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        tally.lost.append(f"{name}: {error!r}")
        return
    outcome = dict(answer.headers).get(b"tarragoncleat-outcome")
    if answer.status == 200:
        tally.answered.add(name)
    elif outcome == b"not-run":
        tally.not_run.add(name)
    else:
        tally.lost.append(f"{name}: {answer.status} {answer.content!r}")


def _operate(seen: dict[str, float]) -> None:
    """Changes the configuration and runs a wave while callers call."""
    changed = _cli(
        *("profile", "put", "bids", "--file", "-"),
        body=_profile("urgent", settle_s=2),
    )
    revision = int(changed["revision"])
    seen["configuration in force everywhere after, s"] = _wait_for(
        lambda: _is_in_force(revision), _START_TIMEOUT_S, "configuration"
    )
    _submit_jobs()
    pools = ",".join(f"pool-{service}" for service in _SERVICES)
    _cli(*("wave", "propose", "kernel-update", "--pools", pools, *_FIRM))
    _cli("wave", "approve", "kernel-update")
    seen["maintenance wave finished after, s"] = _wait_for(
        lambda: _wave_state() == "finished", _WAVE_TIMEOUT_S, "end of the wave"
    )


def _wave_state() -> str:
    shown = _cli("wave", "show", "kernel-update")
    return str(shown["state"])


async def _run_traffic(seen: dict[str, float]) -> _Tally:
    tally = _Tally()
    stop = anyio.Event()
    async with anyio.create_task_group() as callers:
        for index in range(_CALLERS):
            service = _SERVICES[index % len(_SERVICES)]
            callers.start_soon(_call, tally, stop, 1 + index % 4, service)
        await anyio.to_thread.run_sync(_operate, seen)
        stop.set()
    return tally


def _runs() -> collections.Counter[str]:
    runs: collections.Counter[str] = collections.Counter()
    for path in _FOLDER.glob("runs-*.jsonl"):
        for line in path.read_text(encoding="utf-8").splitlines():
            record = json.loads(line)
            if record["event"] == "run":
                runs[record["target"].rpartition("bid=")[2]] += 1
    return runs


def _judge(tally: _Tally, ended_badly: list[str]) -> list[str]:
    runs = _runs()
    problems = [f"lost: {text}" for text in tally.lost]
    problems += [f"run {n} times: {b}" for b, n in runs.items() if n > 1]
    problems += [f"not run: {b}" for b in tally.answered if not runs[b]]
    problems += [f"run after not-run: {b}" for b in tally.not_run if runs[b]]
    problems += [f"ended badly: {name}" for name in ended_badly]
    return problems


def main() -> int:
    """Runs the demonstration."""
    shutil.rmtree(_FOLDER, ignore_errors=True)
    _FOLDER.mkdir()
    _write_settings()
    seen: dict[str, float] = {}
    processes = _Processes()
    with contextlib.ExitStack() as stack:
        stack.callback(processes.kill_rest)
        for name in _ZONES:
            path = str(_FOLDER / f"{name}.toml")
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
        tally = anyio.run(_run_traffic, seen)
        print(_cli_text("report", "--service", "closing"))
        ended_badly = processes.stop("upstream") + processes.stop("entry")
        ended_badly += processes.stop("worker")
    problems = _judge(tally, ended_badly)
    for what, seconds in seen.items():
        print(f"{what}: {seconds:.2f}")
    print(f"requests answered: {len(tally.answered)}")
    print(f"requests refused, not run: {len(tally.not_run)}")
    for problem in problems:
        print(f"PROBLEM {problem}")
    print(f"requests lost or doubled, processes ended badly: {len(problems)}")
    return 1 if problems else 0


def _cli_text(*arguments: str) -> str:
    done = subprocess.run(
        [sys.executable, "-m", "tarragoncleat", *arguments],
        env={**os.environ, "TARRAGONCLEAT_URL": _entry_url(1)},
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


if __name__ == "__main__":
    sys.exit(main())
