"""Counters and latency histograms of queues, jobs, workers and requests.

They are derived from the events that the process emits, so that the log and
the metrics can't disagree. OpenTelemetry's Prometheus exporter makes the text.
"""

import functools
from typing import Any

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client

from tarragoncleat.batch import events
from tarragoncleat.cluster import leader_finder
from tarragoncleat.cluster import log_node

__all__ = ["BatchMetrics"]


class BatchMetrics:
    """The instruments of one process; `take` is a listener for events.

    Attribute sets stay small: a status, a kind, an ending. A job, a worker or
    a path is never an attribute.
    """

    def __init__(self) -> None:
        """Creates the instruments."""
        reader = prometheus.PrometheusMetricReader()
        self._provider = sdk_metrics.MeterProvider([reader])
        meter = self._provider.get_meter("tarragoncleat.batch")
        self._requests = meter.create_counter("requests", "1")
        self._request_ms = meter.create_histogram("request_time", "ms")
        self._refusals = meter.create_counter("refusals", "1")
        self._jobs = meter.create_counter("jobs", "1")
        self._job_ms = meter.create_histogram("job_time", "ms")
        self._starts = meter.create_counter("starts", "1")
        self._waiting = meter.create_gauge("waiting_cores", "1")
        self._ends = meter.create_counter("ends_other_than_done", "1")
        self._start_refusals = meter.create_counter("starts_refused", "1")
        self._workers = meter.create_counter("worker_changes", "1")
        self._term = meter.create_gauge("term", "1")
        self._leads = meter.create_gauge("leads", "1")
        self._leader_changes = meter.create_counter("leader_contacts", "1")
        self._replicas = meter.create_gauge("replicas", "1")
        self._version = meter.create_gauge("configuration_version", "1")
        self._moves = meter.create_counter("instance_moves", "1")
        self._maintenance = meter.create_counter("maintenance_orders", "1")
        self._commit_ms = meter.create_histogram("commit_time", "ms")

    def render(self) -> bytes:
        """Returns the present values in Prometheus' text form."""
        return prometheus_client.generate_latest()

    def take(self, happened: Any) -> None:
        """Counts an event."""
        self._take(happened)

    @functools.singledispatchmethod
    def _take(self, happened: Any) -> None:
        """Events without an instrument change nothing."""

    @_take.register
    def _request(self, happened: events.RequestAnswered) -> None:
        self._requests.add(
            1, {"method": happened.method, "status": happened.status}
        )
        self._request_ms.record(happened.took_ms, {"method": happened.method})

    @_take.register
    def _refusal(self, happened: events.RequestRefused) -> None:
        self._refusals.add(1, {"kind": happened.kind})

    @_take.register
    def _accepted(self, happened: events.JobAccepted) -> None:
        if happened.is_new:
            self._jobs.add(1, {"state": "accepted"})

    @_take.register
    def _ended(self, happened: events.JobEnded) -> None:
        self._jobs.add(1, {"state": happened.state})
        self._job_ms.record(happened.age_ms, {"state": happened.state})

    @_take.register
    def _runs_started(self, happened: events.RunsStarted) -> None:
        self._starts.add(len(happened.runs))
        self._waiting.set(happened.waiting_millicores / 1_000)

    @_take.register
    def _runs_ended(self, happened: events.RunsEnded) -> None:
        for _, _, _, ending in happened.runs:
            self._ends.add(1, {"ending": ending})

    @_take.register
    def _start_refused(self, happened: events.StartRefused) -> None:
        self._start_refusals.add(1, {"outcome": happened.outcome})

    @_take.register
    def _worker(self, happened: events.WorkerChanged) -> None:
        self._workers.add(1, {"change": happened.change})

    @_take.register
    def _leadership(self, happened: events.LeadershipChanged) -> None:
        self._term.set(happened.term)
        self._leads.set(int(happened.leads))

    @_take.register
    def _contact(self, happened: leader_finder.LeaderContact) -> None:
        change = "lost" if happened.leader is None else "found"
        self._leader_changes.add(1, {"change": change})

    @_take.register
    def _members(self, happened: log_node.MembersChanged) -> None:
        self._replicas.set(len(happened.replicas))

    @_take.register
    def _configuration(self, happened: events.ConfigurationInForce) -> None:
        self._version.set(happened.version)

    @_take.register
    def _moved(self, happened: events.InstanceMoved) -> None:
        outcome = "refused" if happened.refused else "ordered"
        self._moves.add(1, {"outcome": outcome})

    @_take.register
    def _maintained(self, happened: events.MaintenanceOrdered) -> None:
        outcome = "refused" if happened.refused else "ordered"
        self._maintenance.add(1, {"outcome": outcome})

    @_take.register
    def _committed(self, happened: log_node.Committed) -> None:
        self._commit_ms.record(happened.took_ms)
