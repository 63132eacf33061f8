"""Tests of the service reports."""

import unittest

from tarragoncleat.administration import reports
from tarragoncleat.kernel import ids
from tarragoncleat.state import commands
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tests import builders

_STATE = pools.InstanceState


class ReportTest(unittest.TestCase):
    """Guards against reports that misstate what a service received."""

    def setUp(self) -> None:
        self.driver = builders.FleetDriver()
        builders.populate(self.driver, 4)
        self.started_ms = self.driver.time_ms
        self.record("i0", _STATE.LOST)
        self.record("i0", _STATE.RETURNING)
        self.record("i0", _STATE.IN_SERVICE)
        new_owed = profiles.Capacity(instances=5)
        self.driver.time_ms += 10_000
        self.driver.apply_ok(
            commands.PutProfile(builders.build_profile(owed=new_owed))
        )
        self.driver.time_ms += 10_000
        denial = commands.Denial(
            ids.ServiceId("service"), "<script>|alert(1)</script>"
        )
        self.driver.apply_ok(commands.RecordDenials((denial,)))

    def record(self, name: str, state: pools.InstanceState) -> None:
        self.driver.time_ms += 10_000
        self.driver.apply_ok(
            commands.RecordInstanceState(ids.InstanceId(name), state, "seen")
        )

    def build(self, **limits: int) -> reports.Report:
        return reports.build_report(
            self.driver.fleet, ids.ServiceId("service"), ledger.Filter(**limits)
        )

    def test_points_follow_losses_returns_and_owed_capacity(self) -> None:
        """Guards against a history that misses or misplaces a change."""
        points = [
            (p.time_ms - self.started_ms, p.granted, p.owed)
            for p in self.build().points
        ]
        self.assertEqual(
            points[-3:], [(10_000, 3, 4), (30_000, 4, 4), (40_000, 4, 5)]
        )
        self.assertEqual(points[0][0], 0)

    def test_time_below_owed_is_counted_within_the_limits(self) -> None:
        """Guards against time below owed from outside of the report."""
        start = self.started_ms
        whole = self.build(since_ms=start)
        self.assertEqual(whole.below_owed_ms, 30_000)
        part = self.build(since_ms=start + 15_000, until_ms=start + 45_000)
        self.assertEqual(part.below_owed_ms, 15_000 + 5_000)
        self.assertEqual(part.points[0].granted, 3)
        self.assertEqual(part.counts.get("denial"), None)

    def test_text_of_callers_is_escaped(self) -> None:
        """Guards against injected HTML and broken Markdown tables."""
        page = reports.to_html(self.build())
        self.assertNotIn("<script>", page)
        self.assertIn("&lt;script&gt;", page)
        text = reports.to_markdown(self.build())
        self.assertIn("&lt;script>\\|alert", text)


if __name__ == "__main__":
    unittest.main()
