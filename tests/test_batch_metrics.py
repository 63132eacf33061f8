"""Tests of the metrics that are derived from events."""

import unittest

from tarragoncleat.batch import batch_metrics
from tarragoncleat.batch import events


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
        metrics.record_event(events.JobEnded("j", "completed", 900, 2_000))
        text = metrics.render().decode()
        self.assertIn('status="503"', text)
        self.assertRegex(text, r"starts_total(\{[^}]*\})? 3\.0")
        self.assertRegex(text, r'ending="lapsed"[^}]*\} 1\.0')
        self.assertRegex(text, r"waiting_cores(\{[^}]*\})? 2\.5")
        self.assertNotIn('"j"', text)
