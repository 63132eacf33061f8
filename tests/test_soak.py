"""Tests of the soak: its draws and its checks, and a short run of it."""

import concurrent.futures
import json
import pathlib
import shutil
import tempfile
import unittest

import anyio

from tarragoncleat_soak import faults
from tarragoncleat_soak import history as history_module
from tarragoncleat_soak import play
from tarragoncleat_soak import worker as worker_module

_MAX_ATTEMPTS = 3
_AT_ONCE = 2
# Files of plays that broke a promise.
_KEPT = pathlib.Path("bench-results/soak")
_TASK = "00000000000000aa.0.0.0"
_JOB = history_module.JobId("00000000000000aa")
_TARGETS = faults.Targets(("core-1", "core-2"), ("worker-1",), ("host:1",))
_Promise = history_module.Promise
_SEEDS = (1, 2, 3)
# Seeds that failed once.
_FAILED_SEEDS = (
    14,  # An entry that stopped answered waiting requests by 500.
)


def _build_run(
    number: int, worker: str, start_s: float, end_s: float, ending: str = "done"
) -> history_module.Run:
    return history_module.Run(_TASK, number, worker, start_s, end_s, ending)


def _play(seed: int) -> play.Outcome:
    with tempfile.TemporaryDirectory() as folder:
        plan = play.Plan(seed, 20.0, 8, pathlib.Path(folder), seed)
        outcome = play.play(plan)
        if outcome.broken:
            kept = _KEPT / f"seed-{seed}"
            shutil.copytree(folder, kept, dirs_exist_ok=True)
    return outcome


class DrawTest(unittest.TestCase):
    """Guards against runs that can't be repeated."""

    def test_seed_repeats_the_faults(self) -> None:
        first = faults.draw(7, _TARGETS, 30.0)
        self.assertEqual(first, faults.draw(7, _TARGETS, 30.0))
        self.assertNotEqual(first, faults.draw(8, _TARGETS, 30.0))

    def test_process_has_one_fault_at_a_time(self) -> None:
        """Guards against a restart of a process that another fault stopped."""
        for seed in range(50):
            last_end_s = dict.fromkeys(
                (*_TARGETS.nodes, *_TARGETS.workers), 0.0
            )
            for fault in faults.draw(seed, _TARGETS, 30.0):
                if fault.target in last_end_s:
                    self.assertGreater(fault.at_s, last_end_s[fault.target])
                    last_end_s[fault.target] = fault.end_s

    def test_all_kinds_are_drawn(self) -> None:
        drawn = {
            fault.kind
            for seed in range(50)
            for fault in faults.draw(seed, _TARGETS, 30.0)
        }
        self.assertEqual(drawn, set(faults.Kind))


class HistoryTest(unittest.TestCase):
    """Guards against a soak that doesn't see a broken promise."""

    def setUp(self) -> None:
        self.history = history_module.History()
        self.job = history_module.Job(_JOB)
        self.history.jobs[_JOB] = self.job

    def _answer(self, sent_s: float, status: int | None) -> None:
        attempt = history_module.Attempt(sent_s, status)
        self.history.record_attempt(self.job, attempt, "", sent_s + 0.1)

    def _broken(
        self,
        *runs: history_module.Run,
        disturbed: tuple[tuple[float, float], ...] = (),
    ) -> list[_Promise]:
        found = history_module.check_runs(
            self.history, runs, _MAX_ATTEMPTS, disturbed
        )
        return [item.promise for item in (*self.history.broken, *found)]

    def test_runs_one_after_the_other(self) -> None:
        runs = _build_run(1, "w-1", 0.0, 1.0), _build_run(2, "w-2", 1.1, 2.0)
        self.assertEqual(self._broken(*runs), [])

    def test_two_runs_at_a_time(self) -> None:
        runs = _build_run(2, "w-2", 0.9, 2.0), _build_run(1, "w-1", 0.0, 1.0)
        self.assertEqual(self._broken(*runs), [_Promise.ONE_RUN])

    def test_short_run_within_a_long_one(self) -> None:
        """Guards against a comparison with the latest start only."""
        runs = (
            _build_run(1, "w-1", 0.0, 9.0),
            _build_run(2, "w-2", 1.0, 2.0),
            _build_run(3, "w-3", 3.0, 4.0),
        )
        self.assertEqual(self._broken(*runs), [_Promise.ONE_RUN] * 2)

    def test_run_started_on_two_workers(self) -> None:
        runs = _build_run(1, "w-1", 0.0, 1.0), _build_run(1, "w-2", 2.0, 3.0)
        self.assertEqual(self._broken(*runs), [_Promise.ONE_START])

    def test_refused_job_runs(self) -> None:
        self._answer(0.0, 503)
        self._answer(1.0, 429)
        run = _build_run(1, "w-1", 2.0, 3.0)
        self.assertEqual(self._broken(run), [_Promise.NOT_RUN])

    def test_job_without_an_answer_may_run(self) -> None:
        self._answer(0.0, None)
        self._answer(1.0, 503)
        self.assertEqual(self._broken(_build_run(1, "w-1", 2.0, 3.0)), [])

    def test_accepted_job_is_not_known(self) -> None:
        self._answer(0.0, 200)
        self.history.record_state(self.job, 1.0, 410, "", 1.1)
        self.assertEqual(self._broken(), [])
        self.history.record_state(self.job, 3.2, 410, "", 3.3)
        self.assertEqual(self._broken(), [_Promise.STORED])

    def test_accepted_job_does_not_end(self) -> None:
        self._answer(0.0, 200)
        self.history.record_state(self.job, 1.0, 200, "running", 1.1)
        self.history.check_ended(20.0)
        self.assertEqual(self._broken(), [_Promise.ENDED])

    def test_job_failed_too_early(self) -> None:
        self._answer(0.0, 200)
        self.history.record_state(self.job, 9.0, 200, "failed", 9.1)
        failures = [
            _build_run(number, "w-1", number, number + 0.5, "failed")
            for number in (1, 2, 3)
        ]
        self.assertEqual(self._broken(*failures), [])
        self.assertEqual(self._broken(*failures[:2]), [_Promise.NOT_GIVEN_UP])

    def test_start_after_the_cancellation(self) -> None:
        self.job.cancelled_s = 1.0
        run = _build_run(1, "w-1", 4.1, 5.0)
        self.assertEqual(self._broken(run), [_Promise.CANCELLED])
        self.assertEqual(self._broken(run, disturbed=((0.0, 2.0),)), [])
        self.assertEqual(self._broken(_build_run(1, "w-1", 3.9, 5.0)), [])

    def test_older_configuration(self) -> None:
        self.history.record_confirmed(5, 1.0)
        self.history.record_read("core-1", 4, 2.9, 3.0)
        self.assertEqual(self._broken(), [])
        self.history.record_read("core-1", 4, 3.1, 3.2)
        self.assertEqual(self._broken(), [_Promise.CONFIGURATION])

    def test_configured_queue_is_denied(self) -> None:
        self._answer(0.0, 404)
        self.assertEqual(self._broken(), [_Promise.ANSWERED])


class WorkerTest(unittest.TestCase):
    """Guards against a stand-in that breaks promises by itself."""

    def test_worker_that_has_left_starts_nothing(self) -> None:
        """Guards against a run between the end of all and the process's."""

        async def start_twice(folder: str) -> tuple[int, int]:
            events = pathlib.Path(folder) / "worker-1.events"
            worker = worker_module.Worker(
                worker_module.Options(
                    "worker-1", "", "", [], "a", "bidding", events, 1.0
                )
            )
            body = {
                "task": _TASK,
                "run-id": 1,
                "fencing-token": 1,
                "deadline-ms": worker.clock_ms() + 5_000,
                "spec": json.dumps({"runs_s": [1.0]}),
            }
            before, _ = worker.start(body)
            worker.end_all()
            after, _ = worker.start({**body, "run-id": 2})
            return before, after

        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(anyio.run(start_twice, folder), (200, 503))


class PlayTest(unittest.TestCase):
    """Guards against promises that processes break under faults."""

    def test_seeds_keep_all_promises(self) -> None:
        seeds = (*_SEEDS, *_FAILED_SEEDS)
        with concurrent.futures.ThreadPoolExecutor(_AT_ONCE) as pool:
            outcomes = list(pool.map(_play, seeds))
        for outcome in outcomes:
            self.assertEqual(outcome.broken, [], f"seed {outcome.seed}")
            self.assertGreater(outcome.accepted, 0)
            self.assertGreater(outcome.versions, 0)


if __name__ == "__main__":
    unittest.main()
