"""An executor fails part of its orders for some seconds; holds go on."""

import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins")
)
import rig as rig_module

EXECUTORS = 6
RUN_MS = 1_000
# kcc-grid's largest dose is 6.5 s.
FAILS_FOR_S = 4.0
# `finish_s`, and as long again.
WAIT_S = 28.0


def case(rig):
    rig.start_system()
    # The tasks are packed on one executor, whose number isn't known before.
    fails_for_s = FAILS_FOR_S if rig_module.TROUBLE else 0.0
    for number in range(1, EXECUTORS + 1):
        rig.add_executor(number, fails_for_s=fails_for_s)
    rig.put_config()
    rig.wait_ready()
    rig.wait(lambda: len(rig.events()) >= EXECUTORS, "boot of the executors")
    time.sleep(4.0)
    step = {"count": 1, "cpu": 1000, "mem-mb": 256, "estimated-ms": RUN_MS}
    job = rig.submit([step], {"ms": RUN_MS, "cpu": 1000})
    accepted_s = time.monotonic()
    while time.monotonic() < accepted_s + WAIT_S:
        state = rig.state(job, quiet=False)
        if state in ("completed", "failed", "cancelled", "410"):
            break
        time.sleep(2.0)
    runs = [row for row in rig.events() if row["event"] == "start"]
    failing = {
        row["machine"] for row in rig.events() if row["event"] == "order_failed"
    }
    rig.note(
        f"job {job} is {state}; {len(runs)} starts; failed orders: {failing}"
    )
    if len(failing) > 1:
        raise rig_module.CannotRun("more than one executor failed")
    if not runs:
        idle_s = time.monotonic() - accepted_s - fails_for_s
        return [
            f"LOST: job {job} is {state} and has nothing running, for "
            f"{idle_s:.1f} s after the last disturbance, while all executors "
            "are sound and empty"
        ]
    return []


if __name__ == "__main__":
    rig_module.run(case, pathlib.Path(__file__).resolve().parent)
