"""A core machine is replaced as planned; then another one loses its disk."""

import asyncio
import pathlib
import shutil
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import small_fleet as fleet_module  # noqa: E402

CATCH_UP_S = 4.0
SUCCESSOR_AGE_S = CATCH_UP_S + 2.0
DISK_LOSS_AFTER_S = 1.0
DARK_S = 1.0
# recovery-s is 12.
SETTLE_S = 20
ASK_S = 25


async def replace_and_wipe(fleet):
    processes = fleet.processes
    # The new machine comes first, with an empty disk, at a new address.
    processes.hosts["core-4"] = f"{processes.base}.4"
    processes.start("core-4")
    await asyncio.sleep(SUCCESSOR_AGE_S)
    removed = processes.leader()
    processes.signal(removed, signal.SIGTERM)
    await asyncio.to_thread(processes.wait, removed)
    fleet.record(f"platform: {removed} has ended, and is removed for good")
    await asyncio.sleep(DISK_LOSS_AFTER_S)
    wiped = next(
        name for name in ("core-1", "core-2", "core-3") if name != removed
    )
    processes.kill(wiped)
    shutil.rmtree(processes.folder / wiped)
    fleet.record(f"platform: {wiped} has lost its disk")
    await asyncio.sleep(DARK_S)
    processes.start(wiped)
    del processes.hosts[removed]


async def case(fleet, trouble):
    job = fleet_module.new_job_id()
    await fleet.submit(job, fleet_module.one_task_job(2_000))
    await fleet.put_manifest(fleet.manifest(2))
    await asyncio.sleep(3)
    if trouble:
        await replace_and_wipe(fleet)
        await asyncio.sleep(SETTLE_S)
    version = state = None
    until_s = fleet.record.now_s() + ASK_S
    while fleet.record.now_s() < until_s and not (version and state):
        for node in fleet.processes.control:
            status, fields = await fleet_module.call(
                node, "GET", "/config", timeout_s=2
            )
            seen = fields.get("version", "") if status == 200 else ""
            version = seen or version
            fleet.record(f"operator: GET /config at {node} -> {status} {seen}")
        status, answer = await fleet.state(job)
        state = answer if status in (200, 410) else state
        await asyncio.sleep(1)
    broken = []
    if state is None:
        broken.append("the accepted job gets no answer")
    elif state != "completed":
        broken.append(f"the accepted job is {state}")
    if version != 2:
        broken.append("the acknowledged manifest doesn't come")
    return ", ".join(broken)


fleet_module.main(case, FOLDER, workers=4)
