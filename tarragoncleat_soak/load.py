"""Clients and operators of a soak, which retry as real ones do."""

from collections.abc import Sequence
import dataclasses
import http.client
import json
import random
import time
from typing import Any

from tarragoncleat_soak import history as history_module

__all__ = ["MAX_ATTEMPTS", "Answer", "Client", "Operator"]

# Failures of a task with which its job fails.
MAX_ATTEMPTS = 3
_HOST = "hall.example"
_PREFIX = "/bids/"
_TIMEOUT_S = 2.0
_MAX_SUBMISSIONS = 6
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 1.0
_THINK_S = 0.4
_CANCELLED_SHARE = 0.2
_FAILING_SHARE = 0.1
# Of a job's first step. The longest outlasts the silence after which a worker
# is taken for lost, and the bound of a cancellation. After the lease of a lost
# worker it still ends within the time that a job has after the faults.
_RUNS_S = (0.05, 0.3, 1.0, 4.8, 4.8)
_LATER_RUN_S = 0.3
_FAILING_RUN_S = 0.1
# Tasks of a step go to different workers, so that each has some.
_TASK = {"cpu": 300, "mem-mb": 64, "anti-affinity": 1}
_STEADY_QUEUE = {
    "name": "r-1",
    "host": _HOST,
    "path-prefix": _PREFIX,
    "type": "unsafe",
    "timeout-ms": 3_000,
    "target-latency-ms": 600,
    "priority": 1,
    "service": "bidding",
    "max-attempts": MAX_ATTEMPTS,
    "stretch": 1.6,
}
_MAX_REDIRECTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer; `status` is None if there was none."""

    status: int | None
    fields: dict[str, Any]
    sent_s: float
    location: str = ""


class _Connection:
    """A connection that stays open until it breaks."""

    def __init__(self, address: str) -> None:
        self._connection = http.client.HTTPConnection(
            address, timeout=_TIMEOUT_S
        )

    def call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Answer:
        """Sends a request, on a new connection if the last one broke."""
        content = None if body is None else json.dumps(body)
        sent_s = time.monotonic()
        try:
            self._connection.request(method, path, content, {"Host": _HOST})
            response = self._connection.getresponse()
            text = response.read()
        except (OSError, http.client.HTTPException):
            self._connection.close()
            return Answer(None, {}, sent_s)
        location = response.getheader("Location", "")
        return Answer(response.status, _decode(text), sent_s, location)

    def close(self) -> None:
        self._connection.close()


def _decode(text: bytes) -> dict[str, Any]:
    """Returns the fields of a body; text that isn't JSON is the reason."""
    try:
        return json.loads(text) if text else {}
    except ValueError:
        return {"reason": text.decode(errors="replace")}


class Client:
    """Submits jobs one after the other, and asks until they end."""

    def __init__(
        self,
        entries: Sequence[str],
        history: history_module.History,
        source: random.Random,
    ) -> None:
        """Creates the client.

        Args:
            entries: Addresses of the entries.
            history: Records the answers.
            source: Draws jobs and entries.
        """
        self._connections = [_Connection(entry) for entry in entries]
        self._history = history
        self._source = source

    def submit_one(self) -> None:
        """Submits a job, and sometimes cancels it."""
        job_id = history_module.JobId(f"{self._source.getrandbits(64):016x}")
        job = history_module.Job(job_id)
        self._history.jobs[job_id] = job
        body = self._draw_job()
        pause_s = _FIRST_PAUSE_S
        for _ in range(_MAX_SUBMISSIONS):
            answer = self._call("POST", job_id, body)
            self._history.record_attempt(
                job,
                history_module.Attempt(answer.sent_s, answer.status),
                answer.fields.get("reason", ""),
                time.monotonic(),
            )
            if job.accepted_s is not None:
                break
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_PAUSE_S)
        if self._source.random() < _CANCELLED_SHARE:
            self._cancel(job)
        self.ask(job)
        time.sleep(self._source.uniform(0, 2 * _THINK_S))

    def ask(self, job: history_module.Job) -> None:
        """Asks for the state of a job."""
        answer = self._call("GET", job.job_id)
        if answer.status is not None:
            self._history.record_state(
                job,
                answer.sent_s,
                answer.status,
                answer.fields.get("state", ""),
                time.monotonic(),
            )

    def close(self) -> None:
        """Closes the connections."""
        for connection in self._connections:
            connection.close()

    def _cancel(self, job: history_module.Job) -> None:
        job.cancel_sent_s = time.monotonic()
        answer = self._call("DELETE", job.job_id)
        if answer.status == http.client.OK:
            job.cancelled_s = time.monotonic()

    def _call(
        self,
        method: str,
        job_id: history_module.JobId,
        body: dict[str, Any] | None = None,
    ) -> Answer:
        connection = self._source.choice(self._connections)
        return connection.call(method, f"{_PREFIX}{job_id}", body)

    def _draw_job(self) -> dict[str, Any]:
        source = self._source
        fails = source.random() < _FAILING_SHARE
        spec = {
            "runs_s": [
                _FAILING_RUN_S if fails else source.choice(_RUNS_S),
                _LATER_RUN_S,
            ],
            "cpu": _TASK["cpu"],
            "fails": source.randint(1, MAX_ATTEMPTS + 1) if fails else 0,
        }
        steps: list[dict[str, Any]] = [
            {**_TASK, "count": source.randint(1, 4), "depends-on": earlier}
            for earlier in ([], [0])[: source.randint(1, 2)]
        ]
        return {"spec": json.dumps(spec), "steps": steps}


class Operator:
    """Changes the configuration, and reads it at any node."""

    def __init__(
        self,
        nodes: Sequence[str],
        history: history_module.History,
        source: random.Random,
    ) -> None:
        """Creates the operator of the control nodes at these addresses."""
        self._nodes = nodes
        self._history = history
        self._source = source
        self._version = 0

    def change(self) -> None:
        """Sends a new configuration until a node confirms it."""
        self._version += self._source.randint(1, 3)
        body = self._configuration()
        pause_s = _FIRST_PAUSE_S
        for _ in range(4 * _MAX_SUBMISSIONS):
            node = self._source.choice(self._nodes)
            answer = self._call(node, "PUT", body)
            if answer.status == http.client.OK:
                now_s = time.monotonic()
                self._history.record_confirmed(self._version, now_s)
                return
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_PAUSE_S)

    def read(self) -> None:
        """Reads the configuration at one node."""
        node = self._source.choice(self._nodes)
        answer = self._call(node, "GET")
        if answer.status == http.client.OK:
            self._history.record_read(
                node,
                answer.fields["version"],
                answer.sent_s,
                time.monotonic(),
            )
        time.sleep(self._source.uniform(0, 2 * _THINK_S))

    def _call(
        self, node: str, method: str, body: dict[str, Any] | None = None
    ) -> Answer:
        url = node
        for _ in range(1 + _MAX_REDIRECTS):
            connection = _Connection(url)
            answer = connection.call(method, "/config", body)
            connection.close()
            if answer.status != http.client.TEMPORARY_REDIRECT:
                return answer
            url = answer.location.split("/")[2]
        return answer

    def _configuration(self) -> dict[str, Any]:
        changing = {
            **_STEADY_QUEUE,
            "name": "r-2",
            "path-prefix": f"/version-{self._version}/",
        }
        service = {
            "name": "bidding",
            "rejects-overload": True,
            "spare": False,
        }
        return {
            "version": self._version,
            "routes": [_STEADY_QUEUE, changing],
            "services": [service],
        }
