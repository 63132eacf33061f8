"""A lasting job that never fits whole keeps jobs of another queue waiting."""

import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins")
)
import cloud as cloud_module
import rig as rig_module

FIRST, SECOND = "huvo11a", "kafi81c"
MACHINES = {FIRST: 5, SECOND: 5, rig_module.SPARE: 2}
PREFIXES = {FIRST: "/puxa400/", SECOND: "/wuhu344/"}
CORE_MILLICORES = 1_000
EXECUTOR_MILLICORES = 16_000
RUN_MS = 1_500
# `finish_s` and the 3 s of the rule, with a margin.
WAIT_S = 30.0
IDLE_S = 14.0 + 3.0
ROUTE = {
    "host": rig_module.HOST,
    "type": "unsafe",
    "timeout-ms": 3000,
    "target-latency-ms": 600,
    "priority": 0,
    "max-attempts": 4,
    "stretch": 1.6,
}
SERVICE = {
    "health-check-path": "/health",
    "max-connections": 64,
    "protocol": "h1",
    "tls-enabled": False,
    "rejects-overload": True,
}


def start(rig):
    number = 0
    for service, count in MACHINES.items():
        for _ in range(count):
            number += 1
            rig.add_executor(number, service, EXECUTOR_MILLICORES)
    cloud_module.Cloud(rig, (f"{rig.net}.90", rig_module.CLOUD_PORT))
    rig.start_system()
    rig.put_config(
        routes=[
            ROUTE
            | {
                "name": f"r-{service}",
                "path-prefix": prefix,
                "service": service,
            }
            for service, prefix in PREFIXES.items()
        ],
        services=[
            SERVICE | {"name": name, "spare": name == rig_module.SPARE}
            for name in MACHINES
        ],
    )
    rig.wait_ready()
    time.sleep(5.0)


def submit_hopeless(rig):
    """Hands in a job that asks for more room than all machines have."""
    step = {
        "count": 24,
        "cpu": 12 * CORE_MILLICORES,
        "mem-mb": 256,
        "estimated-ms": 900,
        "long-running": True,
        "may-miss": 2,
    }
    spec = {"lasts": True, "cpu": step["cpu"]}
    job = rig.submit([step], spec, prefix=PREFIXES[FIRST])
    rig.note(f"job {job} asks for 24 lasting tasks of 12 cores")
    time.sleep(8.0)


def case(rig):
    start(rig)
    if rig_module.TROUBLE:
        submit_hopeless(rig)
    # Its only task fails once, by its own fault, and then runs to its end.
    step = {
        "count": 1,
        "cpu": CORE_MILLICORES,
        "mem-mb": 256,
        "estimated-ms": 500,
    }
    spec = {"ms": RUN_MS, "cpu": step["cpu"], "fails": 1}
    prefix = PREFIXES[SECOND]
    job = rig.submit([step], spec, prefix=prefix)
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        state = rig.state(job, prefix=prefix, quiet=False)
        if state in ("completed", "failed", "cancelled", "410"):
            break
        time.sleep(1.0)
    now_s = time.monotonic()
    pool = [name for name in rig.executors if rig.service_of(name) == SECOND]
    rows = [row for row in rig.events() if row.get("task", "").startswith(job)]
    ends = [row["how"] for row in rows if row["event"] == "end"]
    rig.note(f"job {job} is {state}; its runs ended {ends}; pool {pool}")
    if state == "completed":
        return []
    idle_s = now_s - rows[-1]["at_s"]
    busy = {
        row["machine"]
        for row in rig.events()
        if row["event"] == "start" and row["at_s"] > rows[0]["at_s"]
    }.intersection(pool)
    if len(pool) < 2 or rows[-1]["event"] != "end" or ends.count("failed") > 1:
        raise rig_module.CannotRun("not the situation that the case is about")
    if state == "running" and idle_s > IDLE_S:
        return [
            f"LOST: job {job} has had nothing running for {idle_s:.1f} s; "
            f"{len(pool) - len(busy)} of the {len(pool)} executors of its service "
            f"({EXECUTOR_MILLICORES} millicores each) are empty, it asks for "
            f"{CORE_MILLICORES}"
        ]
    return [f"LOST: job {job} is shown as {state}"] * (state != "running")


if __name__ == "__main__":
    rig_module.run(case, pathlib.Path(__file__).resolve().parent)
