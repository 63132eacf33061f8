"""Metrics of queues, jobs, workers and requests.

They are derived from the log events of the process, so that the log and the
metrics can't disagree. OpenTelemetry's Prometheus exporter renders them.
"""

import functools
from typing import Any

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client

from tarragoncleat.batch import events
from tarragoncleat.cluster import leader_finder
from tarragoncleat.cluster import log_node
from tarragoncleat.kernel import loop_monitor
from tarragoncleat.kernel import refusals

__all__ = ["BatchMetrics"]

_MAX_LABELLED_CUSTOMERS = 50


class BatchMetrics:
    """The metrics of one process; `record_event` is an event listener.

    To bound the number of time series, attributes have few values, such as a
    status, a kind or an ending. A job, worker or path is never an attribute, a
    customer only of the first 50 that are seen.
    """

    def __init__(self) -> None:
        """Creates the metrics."""
        reader = prometheus.PrometheusMetricReader()
        self._provider = sdk_metrics.MeterProvider([reader])
        meter = self._provider.get_meter("tarragoncleat.batch")
        self._requests = meter.create_counter("requests", "1")
        self._request_ms = meter.create_histogram("request_time", "ms")
        self._refusals = meter.create_counter("refusals", "1")
        self._refused_jobs = meter.create_counter("submissions_refused", "1")
        self._waiting_jobs = meter.create_gauge("jobs_waiting", "1")
        self._jobs = meter.create_counter("jobs", "1")
        self._job_ms = meter.create_histogram("job_time", "ms")
        self._starts = meter.create_counter("starts", "1")
        self._waiting_cores = meter.create_gauge("waiting_cores", "1")
        self._unsuccessful_ends = meter.create_counter(
            "ends_other_than_done", "1"
        )
        self._crashes = meter.create_counter("worker_crashes", "1")
        self._given_up_jobs = meter.create_counter("jobs_given_up", "1")
        self._lost_runs = meter.create_counter("runs_lost", "1")
        self._start_refusals = meter.create_counter("starts_refused", "1")
        self._stop_refusals = meter.create_counter("stops_refused", "1")
        self._worker_changes = meter.create_counter("worker_changes", "1")
        self._term = meter.create_gauge("term", "1")
        self._leads = meter.create_gauge("leads", "1")
        self._leader_changes = meter.create_counter("leader_contacts", "1")
        self._replicas = meter.create_gauge("replicas", "1")
        self._configuration_version = meter.create_gauge(
            "configuration_version", "1"
        )
        self._operator_requests = meter.create_counter("operator_requests", "1")
        self._pool_workers = meter.create_gauge("pool_workers", "1")
        self._pool_cores = meter.create_gauge("pool_cores", "1")
        self._loop_delay_ms = meter.create_histogram("loop_delay", "ms")
        self._moves = meter.create_counter("instance_moves", "1")
        self._maintenance = meter.create_counter("maintenance_orders", "1")
        self._customer_cores = meter.create_gauge("customer_cores", "1")
        self._customer_tasks = meter.create_gauge("customer_tasks", "1")
        self._customers_at_cap = meter.create_gauge("customers_at_cap", "1")
        # Customers with a label of their own.
        self._labelled_customers: set[str] = set()
        self._commit_ms = meter.create_histogram("commit_time", "ms")
        self._listener_refusals = meter.create_counter("listener_refusals", "1")

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()

    def record_event(self, event: Any) -> None:
        """Updates the metrics of an event."""
        self._record_event(event)

    @functools.singledispatchmethod
    def _record_event(self, event: Any) -> None:
        """Ignores events without a metric."""

    @_record_event.register
    def _record_request(self, event: events.RequestAnswered) -> None:
        self._requests.add(1, {"method": event.method, "status": event.status})
        self._request_ms.record(event.took_ms, {"method": event.method})

    @_record_event.register
    def _record_refusal(self, event: events.RequestRefused) -> None:
        self._refusals.add(1, {"kind": event.kind})

    @_record_event.register
    def _record_accepted_job(self, event: events.JobAccepted) -> None:
        if event.is_new:
            self._jobs.add(1, {"state": "accepted"})

    @_record_event.register
    def _record_refused_job(self, event: events.SubmissionRefused) -> None:
        self._refused_jobs.add(
            1,
            {
                "service": event.service,
                "priority": event.priority,
                "cause": event.cause,
            },
        )

    @_record_event.register
    def _record_waiting_jobs(self, event: events.JobsWaiting) -> None:
        self._waiting_jobs.set(
            event.jobs,
            {
                "service": event.service,
                "priority": event.priority,
                "outlook": event.outlook,
            },
        )

    @_record_event.register
    def _record_ended_job(self, event: events.JobEnded) -> None:
        self._jobs.add(1, {"state": event.state})
        self._job_ms.record(event.age_ms, {"state": event.state})

    @_record_event.register
    def _record_started_runs(self, event: events.RunsStarted) -> None:
        self._starts.add(len(event.runs))
        self._waiting_cores.set(event.waiting_millicores / 1_000)

    @_record_event.register
    def _record_ended_runs(self, event: events.RunsEnded) -> None:
        for _, _, _, ending in event.runs:
            self._unsuccessful_ends.add(1, {"ending": ending})

    @_record_event.register
    def _record_lost_runs(self, event: events.RunsLost) -> None:
        self._lost_runs.add(len(event.runs), {"change": event.change})

    @_record_event.register
    def _record_crash(self, event: events.TasksSuspected) -> None:
        self._crashes.add(1, {"isolated": event.was_isolated})
        self._given_up_jobs.add(len(event.given_up))

    @_record_event.register
    def _record_refused_start(self, event: events.StartRefused) -> None:
        self._start_refusals.add(1, {"outcome": event.outcome})

    @_record_event.register
    def _record_refused_stop(self, event: events.StopRefused) -> None:
        self._stop_refusals.add(1, {"outcome": event.outcome})

    @_record_event.register
    def _record_worker_change(self, event: events.WorkerChanged) -> None:
        self._worker_changes.add(1, {"change": event.change})

    @_record_event.register
    def _record_leadership(self, event: events.LeadershipChanged) -> None:
        self._term.set(event.term)
        self._leads.set(int(event.leads))

    @_record_event.register
    def _record_leader_contact(
        self, event: leader_finder.LeaderContact
    ) -> None:
        change = "lost" if event.leader is None else "found"
        self._leader_changes.add(1, {"change": change})

    @_record_event.register
    def _record_members(self, event: log_node.MembersChanged) -> None:
        self._replicas.set(len(event.replicas))

    @_record_event.register
    def _record_configuration(self, event: events.ConfigurationInForce) -> None:
        self._configuration_version.set(event.version)

    @_record_event.register
    def _record_operator_request(self, event: events.OperatorAnswered) -> None:
        self._operator_requests.add(
            1, {"method": event.method, "status": event.status}
        )

    @_record_event.register
    def _record_pool_load(self, event: events.PoolLoad) -> None:
        workers = {
            "known": event.workers,
            "schedulable": event.schedulable,
            "arriving": event.arriving,
        }
        for state, count in workers.items():
            attributes = {"service": event.service, "state": state}
            self._pool_workers.set(count, attributes)
        millicores = {
            "used": event.used_millicores,
            "free": event.free_millicores,
            "unplaced": event.unplaced_millicores,
            "late": event.late_millicores,
        }
        for use, amount in millicores.items():
            attributes = {"service": event.service, "use": use}
            self._pool_cores.set(amount / 1_000, attributes)

    @_record_event.register
    def _record_customers(self, event: events.CustomersLoad) -> None:
        self._customers_at_cap.set(
            sum(customer.is_at_cap for customer in event.customers)
        )
        for customer in event.customers:
            if not self._may_label(customer.customer):
                continue
            name = {"customer": customer.customer}
            self._customer_cores.set(customer.used[0] / 1_000, name)
            counts = {
                "running": customer.tasks,
                "waiting": customer.waiting,
                "waiting_over_weight": customer.waiting_over_weight,
            }
            for state, count in counts.items():
                self._customer_tasks.set(count, {**name, "state": state})

    def _may_label(self, customer: str) -> bool:
        """Whether a customer has metrics; the number of those is limited."""
        if len(self._labelled_customers) < _MAX_LABELLED_CUSTOMERS:
            self._labelled_customers.add(customer)
        return customer in self._labelled_customers

    @_record_event.register
    def _record_loop_delay(self, event: loop_monitor.LoopDelayed) -> None:
        self._loop_delay_ms.record(event.max_ms)

    @_record_event.register
    def _record_move(self, event: events.InstanceMoved) -> None:
        outcome = "refused" if event.refused else "ordered"
        self._moves.add(1, {"outcome": outcome})

    @_record_event.register
    def _record_maintenance(self, event: events.MaintenanceOrdered) -> None:
        outcome = "refused" if event.refused else "ordered"
        self._maintenance.add(1, {"outcome": outcome})

    @_record_event.register
    def _record_commit(self, event: log_node.Committed) -> None:
        self._commit_ms.record(event.took_ms)

    @_record_event.register
    def _record_listener_refusal(self, event: refusals.ListenerRefused) -> None:
        self._listener_refusals.add(1, {"refusal": event.refusal})
