"""Benchmark of calls to workers, with stand-in worker processes.

The stand-ins belong to the tests, so run it in the root of the repository.
"""

from collections.abc import Iterator
import contextlib
import subprocess
import sys
import time

import anyio

from tarragoncleat.decisions import worker_client
from tarragoncleat.kernel import errors
from tarragoncleat_bench import rows

__all__ = ["run"]

_WORKER_COUNT = 16
_CALLERS = 16
_DURATION_S = 4.0
_START_TIMEOUT_S = 10.0
_MS_PER_S = 1000


def run(seed: int) -> list[rows.Row]:
    """Measures calls (reports and lease renewals) and their processor time."""
    with _run_workers() as addresses:
        calls, failures, elapsed_s, processor_s = anyio.run(
            _call_workers, addresses
        )
    label = f"{_CALLERS} in parallel, {_WORKER_COUNT} workers"
    figures = (
        ("worker calls a second", "calls/s", calls / elapsed_s),
        ("processor time of a worker call", "ms", processor_s / calls * 1000),
        ("failed worker calls", "calls", failures),
    )
    return [
        rows.Row("workers", f"{name}: {label}", unit, figure, seed=seed)
        for name, unit, figure in figures
    ]


@contextlib.contextmanager
def _run_workers() -> Iterator[list[str]]:
    addresses = [f"127.25.200.{n + 1}:7000" for n in range(_WORKER_COUNT)]
    processes = []
    try:
        for number, address in enumerate(addresses):
            command = [sys.executable, "-m", "tests.standin_worker"]
            command += ["--address", address, "--instance-id", f"w{number}"]
            processes.append(subprocess.Popen(command))
        yield addresses
    finally:
        for process in processes:
            process.terminate()
            process.wait(10)


async def _call_workers(addresses: list[str]) -> tuple[int, int, float, float]:
    client = worker_client.WorkerClient(1.0)
    calls = failures = 0
    for address in addresses:
        await _wait_until_ready(client, address)
    started_s, processor_s = time.monotonic(), time.process_time()
    deadline_s = started_s + _DURATION_S

    async def report_and_renew(address: str) -> None:
        nonlocal calls, failures
        while time.monotonic() < deadline_s:
            report = await client.read_report(address)
            calls += 1
            if isinstance(report, errors.Failure):
                failures += 1
                continue
            lease_ms = report.clock_ms + 3 * _MS_PER_S
            failure = await client.renew_lease(address, 1, lease_ms)
            calls += 1
            failures += failure is not None

    async with anyio.create_task_group() as group:
        for number in range(_CALLERS):
            group.start_soon(
                report_and_renew, addresses[number % len(addresses)]
            )
    elapsed_s = time.monotonic() - started_s
    await client.close()
    processor_s = time.process_time() - processor_s
    return calls, failures, elapsed_s, processor_s


async def _wait_until_ready(
    client: worker_client.WorkerClient, address: str
) -> None:
    with anyio.fail_after(_START_TIMEOUT_S):
        while isinstance(await client.read_report(address), errors.Failure):
            await anyio.sleep(0.05)
