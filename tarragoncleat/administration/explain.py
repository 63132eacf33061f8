"""Explains the outcome of a request from the logs of several processes."""

from collections.abc import Iterable, Iterator, Mapping
import dataclasses
import json
import pathlib
from typing import Any

from tarragoncleat.kernel import errors

__all__ = ["Explanation", "explain", "parse_lines", "read_lines"]

_CONTEXT_MS = 3_000
# Events that may have caused the failure of a request.
_CONTEXT_EVENTS = frozenset(
    {"leadership", "members", "leader_contact", "worker_changed", "process"}
)
_CALLER_CAUSES = {
    "none": "the caller presented no key, and the queue needs one",
    "unknown": "no customer had the caller's key",
    "other_customer": "a job of another customer has the id",
    "other_queue": "a job of another queue has the id",
}
_REFUSED_ORDERS = {"start_refused": "start", "stop_refused": "stop"}
_HEAD_FIELDS = ("time_ms", "node", "level", "event")


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The log lines of a request, and the cause of its failure.

    Attributes:
        request_id: Id of the request.
        lines: Lines that mention it, in order of time.
        context: System events shortly before the last of the lines that name
            a cause.
        cause: One sentence, or None if the logs contain no cause.
    """

    request_id: str
    lines: tuple[Mapping[str, Any], ...]
    context: tuple[Mapping[str, Any], ...]
    cause: str | None

    def render(self) -> str:
        """Returns the explanation as text."""
        rendered = [
            _render_line(_without_other_runs(line, self.request_id))
            for line in self.lines
        ]
        if self.context:
            rendered.append("meanwhile:")
            rendered.extend(f"  {_render_line(line)}" for line in self.context)
        rendered.append(f"cause: {self.cause or 'not found in these logs'}")
        return "\n".join(rendered)


def read_lines(
    files: Iterable[pathlib.Path],
) -> list[dict[str, Any]] | errors.Failure:
    """Reads log lines; text before the JSON object of a line is skipped."""
    lines: list[dict[str, Any]] = []
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as stream:
                lines.extend(parse_lines(stream))
        except OSError as error:
            return errors.Failure(
                errors.ErrorKind.BAD_REQUEST, f"{file}: {error.strerror}"
            )
    return sorted(lines, key=lambda line: line["time_ms"])


def parse_lines(log_lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the events of log lines."""
    for text in log_lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and isinstance(line.get("time_ms"), int):
            yield line


def explain(request_id: str, lines: Iterable[Mapping[str, Any]]) -> Explanation:
    """Builds the explanation of a request from log lines."""
    all_lines = list(lines)
    own_lines = [
        line for line in all_lines if _mentions_request(line, request_id)
    ]
    lines_with_cause = [
        line for line in own_lines if _cause_of(line, request_id)
    ]
    if not lines_with_cause:
        return Explanation(request_id, tuple(own_lines), (), None)
    last_line = lines_with_cause[-1]
    context = [
        line
        for line in all_lines
        if line.get("event") in _CONTEXT_EVENTS
        and 0 <= last_line["time_ms"] - line["time_ms"] <= _CONTEXT_MS
    ]
    cause = _give_up_cause(own_lines, request_id) or _cause_of(
        last_line, request_id
    )
    if cause and last_line.get("event") == "job_ended" and _is_late(last_line):
        cause += _hold_cause(own_lines)
    return Explanation(request_id, tuple(own_lines), tuple(context), cause)


def _give_up_cause(
    lines: Iterable[Mapping[str, Any]], request_id: str
) -> str | None:
    """Returns why the job was given up, or None if it was not."""
    prefix = f"{request_id}."
    for line in lines:
        if request_id not in line.get("given_up", ()):
            continue
        for task, crashes in line.get("runs", ()):
            if str(task).startswith(prefix):
                return f"{crashes} workers crashed under {task}"
    return None


def _hold_cause(lines: Iterable[Mapping[str, Any]]) -> str:
    """Returns for which limits of its customer the job waited, as a clause."""
    limits = [_held_by(line) for line in lines if _held_by(line)]
    return f"; {limits[-1]}" if limits else ""


def _held_by(line: Mapping[str, Any]) -> str:
    if line.get("event") != "jobs_held_back":
        return ""
    customer = line.get("customer")
    if line.get("cause") == "cap":
        return f"it waited because customer {customer} was at its cap"
    return (
        f"customer {customer} sent more jobs a second than its weight, so it"
        " waited behind the others"
    )


def _without_other_runs(
    line: Mapping[str, Any], request_id: str
) -> Mapping[str, Any]:
    """Returns a line without the runs and names of other requests."""
    if line.get("event") == "jobs_held_back":
        return {**line, "jobs": [request_id]}
    if "runs" not in line:
        return line
    prefix = f"{request_id}."
    runs = [run for run in line["runs"] if str(run[0]).startswith(prefix)]
    return {**line, "runs": runs}


def _mentions_request(line: Mapping[str, Any], request_id: str) -> bool:
    if line.get("job") == request_id or request_id in line.get("jobs", ()):
        return True
    prefix = f"{request_id}."
    if str(line.get("task", "")).startswith(prefix):
        return True
    runs = line.get("runs", ())
    return any(str(run[0]).startswith(prefix) for run in runs)


def _cause_of(line: Mapping[str, Any], request_id: str) -> str | None:
    event = line.get("event")
    if event == "request_refused":
        return (
            f"{line.get('node')} answered {line.get('status')} after "
            f"{line.get('waited_ms')} ms: {line.get('reason')}"
        )
    if event == "caller_refused":
        return _CALLER_CAUSES.get(str(line.get("key")))
    if event == "submission_refused":
        return (
            f"{line.get('node')} refused it, to be tried again after "
            f"{line.get('retry_after_s')} s: {line.get('reason')}"
        )
    if event == "job_ended" and line.get("state") == "failed":
        return "a task used up the attempts that its queue allows"
    if event == "job_ended" and _is_late(line):
        return (
            f"it took {line.get('age_ms')} ms; its objective was "
            f"{line.get('objective_ms')} ms"
        )
    if event == "jobs_held_back":
        return _held_by(line)
    if event == "job_cancelled":
        return "the client cancelled it"
    if event == "runs_ended":
        return _run_cause(line, request_id)
    if event in _REFUSED_ORDERS:
        worker, outcome = line.get("worker"), line.get("outcome")
        order = _REFUSED_ORDERS[event]
        return f"worker {worker} refused to {order} a run: {outcome}"
    return None


def _is_late(line: Mapping[str, Any]) -> bool:
    return int(line.get("age_ms", 0)) > int(line.get("objective_ms", 0)) > 0


def _run_cause(line: Mapping[str, Any], request_id: str) -> str | None:
    prefix = f"{request_id}."
    for task, run, worker, ending in line.get("runs", ()):
        if str(task).startswith(prefix):
            return f"run {run} of {task} on worker {worker} ended {ending}"
    return None


def _render_line(line: Mapping[str, Any]) -> str:
    fields = " ".join(
        f"{name}={json.dumps(value, separators=(',', ':'))}"
        for name, value in line.items()
        if name not in _HEAD_FIELDS
    )
    return f"{line['time_ms']} {line.get('node')} {line.get('event')} {fields}"
