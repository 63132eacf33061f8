"""Watches lasting tasks by the rule LOST, from what servers printed.

The rule: for 3 s a task has nothing running, from 6 s after its last run, while
there is capacity for it twice over, if the 3 s and the 4 s before them are calm.
"""

import time

AFTER_RUN_S, SPAN_S, CALM_S = 6.0, 3.0, 4.0


def running(rig):
    """Returns the server of each running task."""
    servers = {}
    for row in rig.snapshot():
        if row["event"] == "start":
            servers[row["task"]] = row["server"]
        elif row["event"] == "end":
            servers.pop(row["task"], None)
        elif row["event"] == "server crashes":
            servers = {task: server for task, server in servers.items()
                       if server != row["server"]}
    return servers


def watch(rig, tasks, lives, cpu, room, calm_since_s, observe_s):
    """Returns by task for how long the rule's condition held on end."""
    since_s = dict.fromkeys(tasks)
    last_run_s = dict.fromkeys(tasks, time.monotonic())
    longest_s = {}
    end_s = time.monotonic() + observe_s
    while time.monotonic() < end_s:
        now_s = time.monotonic()
        servers = running(rig)
        used = dict.fromkeys(lives, 0)
        for server in servers.values():
            if server in used:
                used[server] += cpu
        has_room = any(room - count >= 2 * cpu for count in used.values())
        is_calm = now_s - calm_since_s >= CALM_S
        for task in tasks:
            if task in servers:
                last_run_s[task] = now_s
            is_due = now_s - last_run_s[task] >= AFTER_RUN_S
            if task in servers or not (has_room and is_calm and is_due):
                since_s[task] = None
                continue
            if since_s[task] is None:
                since_s[task] = now_s
            longest_s[task] = max(longest_s.get(task, 0), now_s - since_s[task])
        time.sleep(0.05)
    return {task: round(length_s, 1)
            for task, length_s in sorted(longest_s.items())
            if length_s >= SPAN_S}


def describe(late, count):
    """Returns the broken rule as a list of lines."""
    if not late:
        return []
    return [f"LOST: {len(late)} of {count} lasting tasks didn't run for "
            f"{SPAN_S:.0f} s or more of calm (at most {max(late.values())} s), "
            f"from {AFTER_RUN_S:.0f} s after their last run on, with room "
            "twice over"]
