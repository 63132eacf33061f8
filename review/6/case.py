"""A worker is back while the record of its expired lease waits for a commit."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import small_fleet as fleet_module  # noqa: E402

ROUNDS = 4
# The leader counts a lease as over when the worker's clock, which may be 2%
# slow, has passed it for certain, and 0.1 s more: 4.5 s / 0.98 + 0.1 s.
LEADER_MARGIN_S = 0.19
CUT_BEFORE_S, JOIN_AFTER_S, THAW_AFTER_S = 0.10, 0.30, 0.95


async def play_round(fleet, trouble):
    processes = fleet.processes
    begun = len(fleet.starts)
    long_job, second, short = (fleet_module.new_job_id() for _ in range(3))
    await fleet.submit(long_job, fleet_module.one_task_job(30_000))
    await fleet.until(lambda: len(fleet.starts) > begun, 10, "a start")
    worker = fleet.starts[begun][1]
    leader = processes.leader()
    followers = [
        name
        for name in processes.hosts
        if name.startswith("core") and name != leader
    ]
    held = []
    worker.on_held_request = lambda path, body: held.append((path, body))
    await asyncio.sleep(1.0)
    if trouble:
        fleet.record(f"platform: {worker.instance} is cut off; {leader} leads")
        worker.linked.clear()
    await fleet.submit(second, fleet_module.one_task_job(8_000))
    await fleet.submit(short, fleet_module.one_task_job(300))
    if not trouble:
        await asyncio.sleep(6)
        return
    released_s = worker.lease_end_s() + LEADER_MARGIN_S
    await asyncio.sleep(released_s - CUT_BEFORE_S - time.monotonic())
    for name in followers:
        processes.signal(name, signal.SIGSTOP)
    await asyncio.sleep(released_s + JOIN_AFTER_S - time.monotonic())
    fleet.record(f"platform: {worker.instance} is joined again")
    worker.beat_to = f"{processes.hosts[leader]}:{fleet_module.CONTROL_PORT}"
    worker.linked.set()
    await asyncio.sleep(released_s + THAW_AFTER_S - time.monotonic())
    for name in followers:
        processes.signal(name, signal.SIGCONT)
    await asyncio.sleep(5)


async def case(fleet, trouble):
    for _ in range(ROUNDS if trouble else 1):
        await play_round(fleet, trouble)
        found = fleet_module.find_second_runs(fleet)
        if found:
            return "; ".join(found)
        await asyncio.sleep(4)
    return ""


fleet_module.main(case, FOLDER, workers=8)
