"""Tests of what operators see of the customers, and of refusals by caps."""

import json
from typing import Any
import unittest

from tarragoncleat.administration import explain
from tarragoncleat.batch import batch_metrics
from tarragoncleat.batch import events
from tarragoncleat.batch.leader import customer_report
from tarragoncleat.batch.replicated import customer_usage
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.scheduling import planner
from tarragoncleat.kernel import errors
from tests import batch_builders
from tests import customer_fleet


def _load(customer: str, **fields: Any) -> events.CustomerLoad:
    values: dict[str, Any] = {
        "tasks": 2,
        "used": (2_500, 0, 0),
        "cap": (0, 0, 0),
        "weight": 1.0,
        "share": 0.1,
        "is_at_cap": False,
        "waiting": 3,
        "waiting_over_weight": 1,
    }
    return events.CustomerLoad(customer, **{**values, **fields})


def _line(time_ms: int, event: str, **fields: Any) -> dict[str, Any]:
    return {"time_ms": time_ms, "node": "core-1", "event": event, **fields}


class CustomerReportTest(unittest.TestCase):
    """Guards against reports that hide who takes the room."""

    def setUp(self) -> None:
        self.fleet = customer_fleet.CustomerFleet()
        self.fleet.register(2, cpu_millicores=16_000, memory_mb=65_536)

    def _report(
        self,
    ) -> tuple[
        tuple[events.CustomerLoad, ...], dict[str, customer_report.Waiting]
    ]:
        made = planner.Planner(self.fleet.state)
        views = self.fleet.views()
        made.plan(views, views.keys(), self.fleet.now_ms)
        waiting = customer_report.count_waiting(made.services.values())
        rows = customer_report.build_rows(self.fleet.state, waiting)
        return rows, dict(waiting)

    def test_rows_show_usage_cap_and_waiting_tasks(self) -> None:
        """Guards against wrong figures, and keys or digests in a report."""
        self.fleet.configure(
            customer_fleet.build_customer("capped", 0.0, (4_000, 0, 0)),
            customer_fleet.build_customer("large", 50.0),
        )
        for _ in range(3):
            self.fleet.submit("capped", batch_builders.build_step(4))
        self.fleet.submit("large", batch_builders.build_step(16))
        self.fleet.run()
        rows, waiting = self._report()
        self.assertEqual([row.customer for row in rows], ["capped", "large"])
        capped, large = rows
        self.assertTrue(capped.is_at_cap)
        self.assertEqual((capped.tasks, capped.used[0]), (4, 4_000))
        self.assertEqual((capped.waiting, capped.waiting_over_weight), (8, 8))
        self.assertEqual((large.tasks, large.share), (16, 0.5))
        text = json.dumps(rows)
        self.assertNotIn(str(customer_fleet.key_of("capped")), text)
        found = customer_report.HeldJobs()
        causes = {(row.cause, row.jobs) for row in found.find(rows, waiting)}
        held = ("capped-000003", "capped-000002")
        self.assertEqual(
            {(cause, frozenset(jobs)) for cause, jobs in causes},
            {("cap", frozenset(held)), ("weight", frozenset(held))},
        )
        self.assertEqual(found.find(rows, waiting), [])

    def test_report_and_metrics_are_bounded(self) -> None:
        """Guards against a log line or metrics that grow with customers."""
        self.fleet.configure(
            *(
                customer_fleet.build_customer(f"c{number}")
                for number in range(200)
            )
        )
        self.fleet.submit("c199", batch_builders.build_step(16))
        self.fleet.run()
        rows, _ = self._report()
        self.assertEqual((len(rows), rows[0].customer), (20, "c199"))
        metrics = batch_metrics.BatchMetrics()
        for number in range(200):
            load = _load(f"m{number}", is_at_cap=True)
            metrics.record_event(events.CustomersLoad((load,)))
        text = metrics.render().decode()
        self.assertRegex(text, r'customer_cores\{customer="m0"[^}]*\} 2\.5')
        self.assertNotIn('customer="m60"', text)
        self.assertRegex(text, r"customers_at_cap(\{[^}]*\})? 1\.0")


class QuotaExplainedTest(unittest.TestCase):
    """Guards against refusals and late jobs without the customer's limit."""

    def test_refusal_names_the_cap(self) -> None:
        """Guards against a refusal that the caller can't act on."""
        fleet = customer_fleet.CustomerFleet()
        for cap, reason in (
            (800, "a task of step 0 needs 1000 of cpu (1/1000 core); the cap"),
            # The cap was raised after the state had decided.
            (0, "the job exceeded its customer's cap"),
        ):
            fleet.configure(
                customer_fleet.build_customer("a", 1.0, (cap, 0, 0))
            )
            request = messages.SubmitRequest(
                "host",
                "/bidding/j-1",
                batch_builders.build_job(),
                customer_fleet.key_of("a"),
            )
            queue = fleet.state.queue(fleet.queues["bidding"])
            assert queue is not None
            failure = customer_usage.over_cap_failure(
                request, queue, fleet.state.customers
            )
            self.assertIs(failure.kind, errors.ErrorKind.QUOTA)
            self.assertIn(reason, failure.reason)
        answer = errors.HTTP_RESPONSES[errors.ErrorKind.QUOTA]
        self.assertEqual(
            (answer.status, answer.outcome.value), (429, "not-run")
        )
        self.assertIsNotNone(answer.retry_after_s)

    def test_limit_is_named_as_the_cause(self) -> None:
        """Guards against a job that waited for its cap without a trace."""
        lines = [
            _line(1, "job_accepted", job="j-1"),
            _line(2, "jobs_held_back", customer="a", cause="cap", jobs=["j-1"]),
            _line(3, "jobs_held_back", customer="b", cause="cap", jobs=["j-2"]),
        ]
        found = explain.explain("j-1", lines)
        self.assertIn("customer a was at its cap", str(found.cause))
        self.assertNotIn("j-2", found.render())
        lines.append(
            _line(9, "job_ended", job="j-1", age_ms=900, objective_ms=500)
        )
        cause = str(explain.explain("j-1", lines).cause)
        self.assertIn("it took 900 ms", cause)
        self.assertIn("customer a was at its cap", cause)
        lines[1]["cause"] = "weight"
        cause = str(explain.explain("j-1", lines).cause)
        self.assertIn("more jobs a second than its weight", cause)


if __name__ == "__main__":
    unittest.main()
