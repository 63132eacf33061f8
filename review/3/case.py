"""A rack that runs a gang is cut off while the gang ends."""

import pathlib
import signal
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins")
)
import rig as rig_module

RACK_EXECUTORS, OTHER_EXECUTORS = 4, 2
RUN_MS = 8_000
# The cut begins this long before the gang ends.
BEFORE_END_S = 2.5
CUT_S = 3.6
# Executors start this far apart, and are called as far apart from then on.
APART_S = 0.5
WAIT_S = 35.0
IDLE_S = 14.0 + 3.0


def case(rig):
    rig.start_system()
    leader = rig.wait(rig.leader, "leader")
    core = next(name for name in rig.cores if name != leader)
    zone = rig.zone_of(core)
    rig.note(f"{leader} leads; the executors of rack r-1 are in {zone}")
    rig.put_config()
    rack = []
    for number in range(1, RACK_EXECUTORS + 1):
        rack.append(rig.add_executor(number, cut=True, zone=zone, rack="r-1"))
        time.sleep(APART_S)
    for number in range(1, OTHER_EXECUTORS + 1):
        other = rig.zone_of(leader)
        rig.add_executor(RACK_EXECUTORS + number, zone=other, rack="r-0")
    rig.wait_ready()
    time.sleep(5.0)
    step = {
        "count": RACK_EXECUTORS,
        "cpu": 1000,
        "mem-mb": 256,
        "estimated-ms": RUN_MS,
        "gang-scheduled": True,
        "rack-local": True,
        "anti-affinity": 1,
    }
    spec = {"ms": RUN_MS, "cpu": 1000, "gang": RACK_EXECUTORS}
    job = rig.submit([step], spec)

    def rows(event):
        return [row for row in rig.events() if row["event"] == event]

    rig.wait(lambda: len(rows("start")) == RACK_EXECUTORS, "start of the gang")
    begun_s = max(row["at_s"] for row in rows("start"))
    if rig_module.TROUBLE:
        cut_off_zone(rig, rack, core, begun_s + RUN_MS / 1000 - BEFORE_END_S)
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        state = rig.state(job, quiet=False)
        if state in ("completed", "failed", "cancelled", "410"):
            break
        time.sleep(1.0)
    ends = [(row["task"], row["run"], row["how"]) for row in rows("end")]
    last_s = max(row["at_s"] for row in [*rows("start"), *rows("end")])
    idle_s = time.monotonic() - last_s
    rig.note(f"job {job} is {state}; ends {ends}; idle for {idle_s:.1f} s")
    if state == "running" and idle_s > IDLE_S:
        return [
            f"LOST: gang job {job} is shown as {state}, {idle_s:.1f} s after "
            f"its tasks ended {[how for _, _, how in ends]}; nothing of it runs "
            "and all executors are empty"
        ]
    return []


def cut_off_zone(rig, rack, core, earliest_s):
    """Cuts a zone off when the lease of one executor is old, of another new."""
    deadline_s = earliest_s + 2.0
    while time.monotonic() < deadline_s:
        time.sleep(0.02)
        if time.monotonic() < earliest_s:
            continue
        holds = {}
        for row in rig.events():
            if row["event"] == "hold":
                holds[row["machine"]] = row["at_s"]
        ages = sorted(time.monotonic() - holds[machine] for machine in rack)
        if ages[0] < 0.6 and ages[-1] > 1.45:
            break
    rig.note(f"zone cut; leases are {[round(age, 1) for age in ages]} s old")
    # The zone's core machine is out of reach of the others as well.
    rig.send_signal(core, signal.SIGSTOP)
    for machine in rack:
        rig.cut(machine, True)
    time.sleep(CUT_S)
    for machine in rack:
        rig.cut(machine, False)
    rig.send_signal(core, signal.SIGCONT)


if __name__ == "__main__":
    rig_module.run(case, pathlib.Path(__file__).resolve().parent)
