"""Tests of the platform's daemons as real processes while commits stall."""

import signal
import time
from typing import Any
import unittest

from tests import platform_rig

# A follower that is paused for longer than this elects a new leader.
_STALL_S = 0.45
_AHEAD_S = 0.1
_ROUNDS = 3
_MAX_ATTEMPTS = 40
# The commit was not decided in time, and nothing was done.
_UNDECIDED = (503, 504)
_JOB = {"spec": "x", "steps": [{"count": 1, "cpu": 500, "mem-mb": 64}]}


def _answers(group: platform_rig.Group, leader: str) -> list[dict[str, Any]]:
    """Returns the leader's answers to callers, as it logged them."""
    return [
        row
        for event in ("job_accepted", "job_cancelled", "queue_answered")
        for row in group.events(leader, event)
    ]


def _arrival_ms(rows: list[dict[str, Any]], **fields: Any) -> int:
    """Returns when the latest answer with one of these fields was requested."""
    arrivals = [
        row["time_ms"] - row["waited_ms"]
        for row in rows
        if any(row.get(name) == value for name, value in fields.items())
    ]
    return max(arrivals)


class StalledCommitTest(unittest.TestCase):
    """Guards against answers by a configuration older than one in the log."""

    def _answers_in_stall(
        self, group: platform_rig.Group, version: int, method: str, body: Any
    ) -> tuple[platform_rig.Answer, platform_rig.Answer] | None:
        """Sends requests behind a configuration whose commit is stalled.

        Both followers of the leader are paused. The configuration drops one
        route and adds another.

        Returns:
            The answers on the dropped and on the added route; None if the
            leader changed, a request was not decided, or the leader's log
            doesn't show that both were behind the configuration.
        """
        old, new = f"old-{version}", f"new-{version}"
        job_id = f"{version:016x}"
        leader, term = group.wait_leader()
        group.put_routes(leader, version, old)
        path = f"/{old}/{job_id}"
        if method == "DELETE":
            group.call_until_ok("front-1", "POST", path, _JOB)
        followers = [name for name in group.control_names if name != leader]
        group.signal(signal.SIGSTOP, *followers)
        fields = platform_rig.build_configuration(version + 1, new)
        change = group.send(leader, "PUT", "/config", fields)
        time.sleep(_AHEAD_S)
        added_path = f"/{new}/{job_id}a"
        on_added = group.send("front-1", "POST", added_path, _JOB)
        on_dropped = group.send("front-1", method, path, body)
        time.sleep(_STALL_S - _AHEAD_S)
        group.signal(signal.SIGCONT, *followers)
        answers = on_dropped.wait(), on_added.wait()
        is_decided = change.wait().status == 200 and not any(
            answer.status in _UNDECIDED for answer in answers
        )
        if not is_decided or group.leadership() != (leader, term):
            return None
        put_ms = _arrival_ms(
            group.events(leader, "configuration_answered"), version=version + 1
        )
        arrivals_ms = [
            _arrival_ms(_answers(group, leader), path=path, job=job_id),
            _arrival_ms(
                _answers(group, leader), path=added_path, job=f"{job_id}a"
            ),
        ]
        return answers if put_ms < min(arrivals_ms) else None

    def _stalled_answers(
        self, subnet: int, method: str, body: Any
    ) -> list[tuple[platform_rig.Answer, platform_rig.Answer]]:
        """Returns the answers of rounds in which the commit stalled."""
        answers = []
        with platform_rig.run_group(subnet) as group:
            for number in range(1, _MAX_ATTEMPTS + 1):
                in_stall = self._answers_in_stall(
                    group, 10 * number, method, body
                )
                if in_stall is not None:
                    answers.append(in_stall)
                if len(answers) == _ROUNDS:
                    break
        self.assertTrue(answers, "no round stalled the commit")
        return answers

    def test_job_behind_a_configuration_is_refused_on_its_dropped_route(
        self,
    ) -> None:
        """Guards against a job that is accepted on a route just dropped.

        The job waits in the log behind the configuration that drops its route.
        The leader chose its queue by the configuration before.
        """
        for on_dropped, _ in self._stalled_answers(41, "POST", _JOB):
            self.assertEqual(on_dropped.status, 404, on_dropped)

    def test_cancellation_behind_a_configuration_is_refused(self) -> None:
        """Guards against a cancellation that succeeds on a dropped route."""
        for on_dropped, _ in self._stalled_answers(42, "DELETE", None):
            self.assertEqual(on_dropped.status, 404, on_dropped)

    def test_job_behind_a_configuration_is_accepted_on_its_added_route(
        self,
    ) -> None:
        """Guards against answers of one leader out of the order of arrival.

        The request arrives after the configuration that adds its route, and
        later ones are decided by that configuration.
        """
        for _, on_added in self._stalled_answers(43, "POST", _JOB):
            self.assertEqual(on_added.status, 200, on_added)


class EventLoopTest(unittest.TestCase):
    """Guards against what the users' platform doesn't allow."""

    def test_daemons_do_not_use_io_uring(self) -> None:
        """Some event loops open one wherever the kernel has it, as uvloop's."""
        with platform_rig.run_group(47) as group:
            group.wait_ready()
            for name in (*group.control_names, "front-1"):
                # A third node may still be starting, on a busy machine.
                files = group.wait_event_loop(name)
                self.assertFalse(any("io_uring" in file for file in files))


if __name__ == "__main__":
    unittest.main()
