"""Tests of the metrics that are derived from events."""

import unittest

from tarragoncleat.batch import batch_metrics
from tarragoncleat.batch import events
from tarragoncleat.kernel import loop_monitor


class MetricsTest(unittest.TestCase):
    """Tests the metrics of a few events."""

    def test_events_are_counted_in_the_text(self) -> None:
        """Guards against logged events that are missing in the metrics."""
        metrics = batch_metrics.BatchMetrics()
        metrics.record_event(events.RequestAnswered("POST", 503, 12.0))
        metrics.record_event(events.RunsStarted((("t", 1, "w"),) * 3, 1, 2_500))
        metrics.record_event(
            events.RunsEnded((("t", 1, "w", "lapsed"), ("t", 2, "w", "failed")))
        )
        metrics.record_event(events.RunsLost("w", "gone", (("t", 1), ("u", 1))))
        metrics.record_event(
            events.TasksSuspected("w", "i", True, (("j.0.0.0", 3),), ("j",))
        )
        metrics.record_event(events.JobEnded("j", "completed", 900, 2_000))
        text = metrics.render().decode()
        self.assertIn('status="503"', text)
        self.assertRegex(text, r"starts_total(\{[^}]*\})? 3\.0")
        self.assertRegex(text, r'ending="lapsed"[^}]*\} 1\.0')
        self.assertRegex(
            text, r'runs_lost_total\{[^}]*change="gone"[^}]*\} 2\.0'
        )
        self.assertRegex(
            text, r'worker_crashes_total\{[^}]*="true"[^}]*\} 1\.0'
        )
        self.assertRegex(text, r"jobs_given_up_total(\{[^}]*\})? 1\.0")
        self.assertRegex(text, r"waiting_cores(\{[^}]*\})? 2\.5")
        self.assertNotIn('"j"', text)

    def test_pool_load_and_operator_answers_are_exported(self) -> None:
        """Guards against a shortage that no metric shows per service."""
        metrics = batch_metrics.BatchMetrics()
        metrics.record_event(
            events.PoolLoad("bidding", 8, 6, 2, 4_000, 500, 9_500, 700)
        )
        metrics.record_event(
            events.OperatorAnswered("GET", "/config", 503, "no leader", 900)
        )
        metrics.record_event(loop_monitor.LoopDelayed(250, 400))
        metrics.record_event(
            events.SubmissionRefused(
                "j", "bids", "bidding", 1, "unservable", "no room", 9
            )
        )
        metrics.record_event(events.JobsWaiting("bidding", 1, "late", 17))
        text = metrics.render().decode()
        self.assertRegex(text, r'state="schedulable"[^}]*\} 6\.0')
        self.assertRegex(text, r'use="unplaced"[^}]*\} 9\.5')
        self.assertRegex(text, r'use="late"[^}]*\} 0\.7')
        self.assertRegex(text, r'operator_requests_total\{[^}]*"503"[^}]*\} 1')
        self.assertRegex(
            text, r'submissions_refused_total\{[^}]*"bidding"[^}]*\} 1\.0'
        )
        self.assertRegex(text, r'jobs_waiting\{[^}]*"late"[^}]*\} 17\.0')
        self.assertRegex(text, r"loop_delay[a-z_]*_sum(\{[^}]*\})? 250\.0")
