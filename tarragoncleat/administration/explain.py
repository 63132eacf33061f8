"""Tells the story of one request from the logs of several processes."""

from collections.abc import Iterable, Iterator, Mapping
import dataclasses
import json
import pathlib
from typing import Any

from tarragoncleat.kernel import errors

__all__ = ["Story", "explain", "read_lines"]

_CONTEXT_MS = 3_000
# Events of the system that can be behind what happened to a request.
_CONTEXT_EVENTS = frozenset(
    {"leadership", "members", "leader_contact", "worker_changed", "process"}
)
_HEAD = ("time_ms", "node", "level", "event")


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """What the logs say of a request.

    Attributes:
        request_id: Id of the request.
        lines: Lines that name it, in the order of time.
        context: Changes of the system shortly before its last bad line.
        cause: One sentence, or None when the logs hold no cause.
    """

    request_id: str
    lines: tuple[Mapping[str, Any], ...]
    context: tuple[Mapping[str, Any], ...]
    cause: str | None

    def render(self) -> str:
        """Returns the story as text."""
        shown = [
            _render(_own_part(line, self.request_id)) for line in self.lines
        ]
        if self.context:
            shown.append("meanwhile:")
            shown.extend(f"  {_render(line)}" for line in self.context)
        shown.append(f"cause: {self.cause or 'not found in these logs'}")
        return "\n".join(shown)


def read_lines(
    files: Iterable[pathlib.Path],
) -> list[dict[str, Any]] | errors.Failure:
    """Reads log lines; what stands before the JSON object is skipped."""
    lines: list[dict[str, Any]] = []
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as opened:
                lines.extend(_parse(opened))
        except OSError as error:
            return errors.Failure(
                errors.ErrorKind.BAD_REQUEST, f"{file}: {error.strerror}"
            )
    return sorted(lines, key=lambda line: line["time_ms"])


def _parse(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and isinstance(line.get("time_ms"), int):
            yield line


def explain(request_id: str, lines: Iterable[Mapping[str, Any]]) -> Story:
    """Returns the story of a request."""
    all_lines = list(lines)
    own = [line for line in all_lines if _names(line, request_id)]
    bad = [line for line in own if _cause_of(line, request_id)]
    if not bad:
        return Story(request_id, tuple(own), (), None)
    last = bad[-1]
    context = [
        line
        for line in all_lines
        if line.get("event") in _CONTEXT_EVENTS
        and 0 <= last["time_ms"] - line["time_ms"] <= _CONTEXT_MS
    ]
    cause = _cause_of(last, request_id)
    return Story(request_id, tuple(own), tuple(context), cause)


def _own_part(line: Mapping[str, Any], request_id: str) -> Mapping[str, Any]:
    """Returns a line with only the request's own runs."""
    if "runs" not in line:
        return line
    prefix = f"{request_id}."
    runs = [run for run in line["runs"] if str(run[0]).startswith(prefix)]
    return {**line, "runs": runs}


def _names(line: Mapping[str, Any], request_id: str) -> bool:
    if line.get("job") == request_id:
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
    if event == "job_ended" and line.get("state") == "failed":
        return "a task failed as often as its queue allows"
    if event == "job_ended" and _is_late(line):
        return (
            f"it took {line.get('age_ms')} ms where "
            f"{line.get('objective_ms')} ms were owed"
        )
    if event == "job_cancelled":
        return "its submitter cancelled it"
    if event == "runs_ended":
        return _run_cause(line, request_id)
    if event == "start_refused":
        worker, outcome = line.get("worker"), line.get("outcome")
        return f"worker {worker} refused a start: {outcome}"
    return None


def _is_late(line: Mapping[str, Any]) -> bool:
    return int(line.get("age_ms", 0)) > int(line.get("objective_ms", 0)) > 0


def _run_cause(line: Mapping[str, Any], request_id: str) -> str | None:
    prefix = f"{request_id}."
    for task, run, worker, ending in line.get("runs", ()):
        if str(task).startswith(prefix):
            return f"run {run} of {task} on worker {worker} ended {ending}"
    return None


def _render(line: Mapping[str, Any]) -> str:
    fields = " ".join(
        f"{name}={json.dumps(value, separators=(',', ':'))}"
        for name, value in line.items()
        if name not in _HEAD
    )
    return f"{line['time_ms']} {line.get('node')} {line.get('event')} {fields}"
