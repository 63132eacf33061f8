"""The leader is killed while the platform takes no orders of a wave."""

import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins")
)
import cloud as cloud_module
import rig as rig_module

EXECUTORS = 8
WAVE = {
    "wave": 1,
    "machines": ["m-00001", "m-00002"],
    "duration-s": 30,
    "cap": 2,
}
MAY_MISS = 1
CLOUD_DOWN_S = 5.0
# A task that lasts is at work this long after its start.
STARTUP_S = 0.7


def case(rig):
    for number in range(1, EXECUTORS + 1):
        rig.add_executor(number)
    cloud = cloud_module.Cloud(rig, (f"{rig.net}.90", rig_module.CLOUD_PORT))
    rig.start_system()
    rig.put_config()
    rig.wait_ready()
    time.sleep(5.0)
    leader = rig.wait(rig.leader, "leader")
    if rig_module.TROUBLE:
        rig.note("the platform takes no orders")
        cloud.unavailable = True
    down_s = time.monotonic()
    host = rig.cores["core-1"]
    status, _ = rig.call(
        host, rig_module.CONTROL_PORT, "POST", "/wave-start", WAVE, 1.0
    )
    if status != 200:
        raise rig_module.CannotRun("the wave was not accepted")
    time.sleep(1.0)
    if rig_module.TROUBLE:
        rig.note(f"{leader} is killed")
        rig.kill(leader)
        rig.wait(lambda: rig.leader() not in (None, leader), "next leader")
        rig.note(f"{rig.leader()} leads")
    else:
        rig.wait(lambda: len(rig.ended_by_order) == 2, "upkeep")
        time.sleep(6.0)
    step = {
        "count": EXECUTORS,
        "cpu": 1000,
        "mem-mb": 256,
        "estimated-ms": 900,
        "long-running": True,
        "anti-affinity": 1,
        "may-miss": MAY_MISS,
    }
    rig.submit([step], {"lasts": True, "cpu": 1000})
    if rig_module.TROUBLE:
        time.sleep(max(0.0, down_s + CLOUD_DOWN_S - time.monotonic()))
        rig.note("the platform takes orders again")
        cloud.unavailable = False
        rig.restart(leader)
    time.sleep(15.0)
    rig.call(host, rig_module.CONTROL_PORT, "GET", "/wave-get/1")
    return list(find_breaks(rig))


def find_breaks(rig):
    """Yields tasks that an order ended while too many others were away."""
    starts = [row for row in rig.events() if row["event"] == "start"]
    at_work = {}
    for at_s, machine, path in sorted(rig.ended_by_order):
        at_work = {
            row["task"]: row["machine"]
            for row in starts
            if row["at_s"] + STARTUP_S < at_s
        }
        ended_before = {
            other for other_s, other, _ in rig.ended_by_order if other_s < at_s
        }
        away = [
            task
            for task, place in at_work.items()
            if place in ended_before
            and not any(
                row["task"] == task
                and row["machine"] != place
                and row["at_s"] < at_s
                for row in starts
            )
        ]
        for task, place in at_work.items():
            if place == machine and len(away) >= MAY_MISS:
                yield (
                    f"AVAIL: {path} ended {task} on {machine}, while {away} of "
                    f"its step were away by such orders (may-miss {MAY_MISS})"
                )


if __name__ == "__main__":
    rig_module.run(case, pathlib.Path(__file__).resolve().parent)
