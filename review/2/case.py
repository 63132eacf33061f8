"""An executor is cut off while more than 500 of its tasks end."""

import collections
import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins")
)
import rig as rig_module

EXECUTORS = 6
JOBS, TASKS = 30, 24
RUN_MS = 6_000
CUT_S = 3.0


def case(rig):
    rig.start_system()
    for number in range(1, EXECUTORS + 1):
        rig.add_executor(number, cut=True)
    rig.put_config()
    rig.wait_ready()
    rig.wait(lambda: len(rig.events()) >= EXECUTORS, "boot of the executors")
    time.sleep(4.0)
    step = {"count": TASKS, "cpu": 20, "mem-mb": 64, "estimated-ms": RUN_MS}
    jobs = [rig.submit([step], {"ms": RUN_MS, "cpu": 20}) for _ in range(JOBS)]
    total = JOBS * TASKS

    def ends():
        return [row for row in rig.events() if row["event"] == "end"]

    rig.wait(ends, "end of a task", 30)
    at_work = collections.Counter()
    for row in rig.events():
        at_work[row["machine"]] += {"start": 1, "end": -1}.get(row["event"], 0)
    machine, running = at_work.most_common(1)[0]
    rig.note(f"{running} tasks are at work on {machine}: {dict(at_work)}")
    if rig_module.TROUBLE:
        rig.cut(machine, True)
        time.sleep(CUT_S)
        rig.cut(machine, False)
    deadline_s = time.monotonic() + 40
    while time.monotonic() < deadline_s:
        if all(rig.state(job) == "completed" for job in jobs):
            break
        time.sleep(0.5)
    for job in jobs:
        rig.note(f"job {job} is {rig.state(job)}")
    time.sleep(2.0)
    return list(find_breaks(rig.events())) + [
        f"only {len(ends())} ends for {total} tasks"
        for _ in range(len(ends()) < total)
    ]


def find_breaks(events):
    """Yields starts after a run of the task ended done and was taken note of.

    An end doesn't count as taken note of if the executor's lease lapsed between
    the end and its being taken note of.
    """
    noted = {}
    pending = collections.defaultdict(list)
    for row in events:
        executor = row["executor"]
        if row["event"] == "end" and row["how"] == "done":
            pending[executor].append(row)
        elif row["event"] == "lease_lapsed":
            pending[executor].clear()
        elif row["event"] == "taken_note":
            for end in pending[executor]:
                if end["n"] <= row["up_to"]:
                    noted.setdefault(end["task"], (end, row))
            pending[executor] = [
                end for end in pending[executor] if end["n"] > row["up_to"]
            ]
    for row in events:
        if row["event"] != "start" or row["task"] not in noted:
            continue
        end, note = noted[row["task"]]
        if row["at_s"] > end["at_s"]:
            yield (
                f"TWICE: run {row['run']} of {row['task']} started "
                f"{row['at_s'] - end['at_s']:.2f} s after run {end['run']} had "
                f"ended done (end {end['n']} of {end['machine']}, taken note of)"
            )


if __name__ == "__main__":
    rig_module.run(case, pathlib.Path(__file__).resolve().parent)
