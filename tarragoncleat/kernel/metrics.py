"""OpenTelemetry instruments with an in-memory reader."""

import json

from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export

__all__ = ["Metrics"]


class Metrics:
    """The instruments of one process.

    The number of attribute values must stay small: service, outcome, error
    kind. A request id, a key or a path must not be an attribute.
    """

    def __init__(self) -> None:
        """Creates the instruments."""
        self._reader = export.InMemoryMetricReader()
        self._provider = sdk_metrics.MeterProvider([self._reader])
        meter = self._provider.get_meter("tarragoncleat")
        self._requests = meter.create_counter("requests", "1")
        self._queue_time = meter.create_histogram("queue_time", "ms")
        self._retries = meter.create_counter("retries", "1")
        self._ejections = meter.create_counter("ejections", "1")
        self._revision = meter.create_gauge("configuration_revision", "1")
        self._revision_age = meter.create_gauge("configuration_age", "s")

    def count_requests(self, service: str, outcome: str, count: int) -> None:
        """Counts finished requests by their outcome."""
        self._requests.add(count, {"service": service, "outcome": outcome})

    def record_queue_time(self, service: str, milliseconds: float) -> None:
        """Records how long a request waited for an upstream."""
        self._queue_time.record(milliseconds, {"service": service})

    def count_retry(self, service: str) -> None:
        """Counts a request that was sent to another upstream."""
        self._retries.add(1, {"service": service})

    def count_ejection(self, service: str) -> None:
        """Counts an upstream that was ejected after failures."""
        self._ejections.add(1, {"service": service})

    def record_revision(self, revision: int, age_s: float) -> None:
        """Records the configuration revision in force and its age."""
        self._revision.set(revision)
        self._revision_age.set(age_s)

    def read_json(self) -> dict:
        """Returns the current values in OpenTelemetry's JSON form."""
        data = self._reader.get_metrics_data()
        return {} if data is None else json.loads(data.to_json())
