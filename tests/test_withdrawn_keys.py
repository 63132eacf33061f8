"""Tests of withdrawn keys with real processes that freeze or lose state."""

import json
import shutil
import signal
import time
import unittest

from tarragoncleat.administration import explain
from tests import platform_rig

_OLD, _NEW = "old1key8v1x6pw90", "new2key8v1x6pw91"
_UNKNOWN = "bad3key8v1x6pw92"
_JOB = {"spec": "x", "steps": [{"count": 1, "cpu": 500, "mem-mb": 64}]}
_ENTRY = "front-1"
_OK, _UNAUTHORIZED, _UNAVAILABLE = 200, 401, 503
_ATTEMPTS = 30
_INTERVAL_S = 0.05
_WAIT_S = 30.0


def _fields(version: int, *keys: str) -> dict:
    """Returns a configuration with one customer that has these keys."""
    fields = platform_rig.build_configuration(version, "first")
    return {**fields, "tenants": [{"name": "a", "api-keys": list(keys)}]}


class WithdrawnKeyTest(unittest.TestCase):
    """Guards against a key that works after its withdrawal was confirmed."""

    def setUp(self) -> None:
        self.job_count = 0

    def _submit(self, group: platform_rig.Group, key: str) -> int:
        """Submits a new job and returns the status of the answer."""
        self.job_count += 1
        path = f"/first/{self.job_count:016x}"
        return group.call(_ENTRY, "POST", path, _JOB, key).status

    def _wait_status(
        self, group: platform_rig.Group, key: str, status: int
    ) -> None:
        """Submits jobs until the answer has this status."""
        deadline_s = time.monotonic() + _WAIT_S
        while self._submit(group, key) != status:
            self.assertLess(time.monotonic(), deadline_s, status)
            time.sleep(_INTERVAL_S)

    def _put(
        self, group: platform_rig.Group, name: str, version: int, *keys: str
    ) -> None:
        fields = _fields(version, *keys)
        group.call_until_ok(name, "PUT", "/config", fields)

    def _assert_never_accepted(self, group: platform_rig.Group) -> None:
        """Checks answers to the old key in the time of a change of leader."""
        for _ in range(_ATTEMPTS):
            self.assertNotEqual(self._submit(group, _OLD), _OK)
            time.sleep(_INTERVAL_S)
        self._wait_status(group, _NEW, _OK)
        self._wait_status(group, _OLD, _UNAUTHORIZED)

    def _assert_secret(self, group: platform_rig.Group) -> None:
        """Checks logs, metrics and explanations for keys."""
        lines = explain.parse_lines(group.read_logs().splitlines())
        explanation = explain.explain(f"{self.job_count:016x}", lines)
        self.assertIn("no customer has this key", explanation.render())
        texts = [group.read_logs(), explanation.render()]
        names = [*group.control_names, _ENTRY]
        texts += [group.read_metrics(name) for name in names]
        self.assertIn('kind="unauthorized"', texts[-1])
        for text in texts:
            for key in (_OLD, _NEW, _UNKNOWN):
                self.assertNotIn(key, text)

    def test_frozen_leader_that_wakes_takes_no_withdrawn_key(self) -> None:
        """Guards against the old version of a leader that was suspended.

        The entry is suspended with it, so that it still sends to this leader
        when both wake. Also guards against keys in logs and metrics, and
        against an entry without a leader that answers by what it knew.
        """
        with platform_rig.run_group(44) as group:
            leader, _ = group.wait_leader()
            self._put(group, leader, 2, _OLD)
            self._wait_status(group, _OLD, _OK)
            path = f"/first/{self.job_count:016x}"
            group.signal(signal.SIGSTOP, leader, _ENTRY)
            followers = [name for name in group.control_names if name != leader]
            self._put(group, followers[0], 3, _NEW)
            pending = [
                group.send(_ENTRY, method, path, body, _OLD)
                for method, body in (("GET", None), ("POST", _JOB)) * 5
            ]
            group.signal(signal.SIGCONT, leader, _ENTRY)
            for answer in pending:
                self.assertNotEqual(answer.wait().status, _OK)
            self._assert_never_accepted(group)
            self.assertEqual(self._submit(group, ""), _UNAUTHORIZED)
            self.assertEqual(self._submit(group, _UNKNOWN), _UNAUTHORIZED)
            self._assert_secret(group)
            group.signal(signal.SIGSTOP, *group.control_names)
            for key in (_OLD, _NEW):
                self._wait_status(group, key, _UNAVAILABLE)
            group.signal(signal.SIGCONT, *group.control_names)
            self._assert_never_accepted(group)

    def test_restored_disk_and_restart_bring_no_key_back(self) -> None:
        """Guards against the keys of an older state of a replica."""
        with platform_rig.run_group(45) as group:
            leader, _ = group.wait_leader()
            self._put(group, leader, 2, _OLD)
            self._wait_status(group, _OLD, _OK)
            replica = next(
                name for name in group.control_names if name != leader
            )
            folder = group.data_folder(replica)
            backup = folder.with_suffix(".backup")
            group.kill(replica)
            shutil.copytree(folder, backup)
            group.start_process(replica)
            self._put(group, leader, 3, _NEW)
            group.kill(replica)
            shutil.rmtree(folder)
            backup.rename(folder)
            group.start_process(replica)
            group.signal(signal.SIGSTOP, leader)
            self._assert_never_accepted(group)
            for name in group.control_names:
                group.kill(name)
            for name in group.control_names:
                group.start_process(name)
            self._assert_never_accepted(group)

    def test_changes_of_two_operators_are_not_merged(self) -> None:
        """Guards against a key that only an overtaken version lists.

        Two operators send at once, and the confirmation of the overtaken
        version is lost, so that it is sent again.
        """
        with platform_rig.run_group(46) as group:
            first, second, third = group.control_names
            fields = _fields(5, _OLD)
            pending = group.send(first, "PUT", "/config", fields)
            self._put(group, second, 6, _NEW)
            self.assertIn(pending.wait().status, (_OK, _UNAVAILABLE))
            group.call_until_ok(third, "PUT", "/config", fields)
            self.assertEqual(self._submit(group, _OLD), _UNAUTHORIZED)
            self._wait_status(group, _NEW, _OK)
            read = group.call(first, "GET", "/config")
            self.assertEqual(
                read.body, json.loads(json.dumps(_fields(6, _NEW)))
            )


if __name__ == "__main__":
    unittest.main()
