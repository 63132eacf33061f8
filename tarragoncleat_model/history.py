"""What the workers of a model have seen, and the rules that it must keep."""

from collections.abc import Iterator
import dataclasses
import enum

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import model

__all__ = ["Break", "End", "History", "Rule", "Start"]

StepKey = tuple[str, int, int]


class Rule(enum.Enum):
    """A rule, with what breaks it."""

    TWICE = "a task runs twice at the same time"
    AGAIN = "a task starts again after an end that was taken note of"
    ROOM = "a worker runs more than it has room for"
    ORDER = "a task starts before the steps that it depends on are done"
    CHECKPOINT = "the members of a gang start from different checkpoints"
    AVAILABILITY = "an order ends a task while too many of its step are away"
    CAP = "too many instances are down for a wave"
    FAILED = "a sound job is given up"
    STARVED = "a task neither ends nor runs, beside sound and idle workers"


@dataclasses.dataclass(frozen=True, slots=True)
class Break:
    """A broken rule."""

    rule: Rule
    at_s: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A run has begun on a worker."""

    at_s: float
    task: model.TaskKey
    run: int
    worker_id: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """A run has ended on a worker, which numbers its ends."""

    at_s: float
    task: model.TaskKey
    run: int
    worker_id: str
    ending: commands.Ending
    sequence: int


class History:
    """Records events in the order of time, and finds broken rules in them."""

    def __init__(self) -> None:
        """Creates an empty history."""
        self.starts: list[Start] = []
        self.ends: list[End] = []
        self.breaks: list[Break] = []
        self.lines: list[str] = []
        self._acknowledged_s: dict[tuple[str, int], float] = {}
        self._lapses_s: dict[str, list[float]] = {}

    def note(self, at_s: float, text: str) -> None:
        """Adds a line to the trace."""
        self.lines.append(f"{at_s:8.3f}  {text}")

    def record_start(self, start: Start) -> None:
        """Records a start."""
        self.starts.append(start)
        self.note(
            start.at_s,
            f"{start.worker_id} starts {start.task} run {start.run}",
        )

    def record_end(self, end: End) -> None:
        """Records an end."""
        self.ends.append(end)
        self.note(
            end.at_s,
            f"{end.worker_id} ends {end.task} run {end.run}:"
            f" {end.ending.value} (end {end.sequence})",
        )

    def record_acknowledgement(
        self, worker_id: str, sequence: int, at_s: float
    ) -> None:
        """Records that a leader has taken note of a worker's ends."""
        for number in range(sequence, 0, -1):
            if (worker_id, number) in self._acknowledged_s:
                return
            self._acknowledged_s[(worker_id, number)] = at_s

    def record_lapse(self, worker_id: str, at_s: float) -> None:
        """Records that a worker's lease has expired."""
        self._lapses_s.setdefault(worker_id, []).append(at_s)
        self.note(at_s, f"the lease of {worker_id} expires")

    def record_break(self, rule: Rule, at_s: float, detail: str) -> None:
        """Records a broken rule."""
        self.breaks.append(Break(rule, at_s, detail))
        self.note(at_s, f"BROKEN: {rule.value}: {detail}")

    def check_starts(self) -> None:
        """Finds starts that the rules don't allow, at the end of a play."""
        for start, end in self._starts_after_the_end():
            self.record_break(
                Rule.AGAIN,
                start.at_s,
                f"{start.task} run {start.run} on {start.worker_id}, after run"
                f" {end.run} ended on {end.worker_id} at {end.at_s:.3f}",
            )

    def _starts_after_the_end(self) -> Iterator[tuple[Start, End]]:
        done: dict[model.TaskKey, End] = {}
        for end in self.ends:
            if end.ending is commands.Ending.DONE and self._is_noted(end):
                done.setdefault(end.task, end)
        for start in self.starts:
            end_or_none = done.get(start.task)
            if end_or_none is None or start.run <= end_or_none.run:
                continue
            if end_or_none.at_s < start.at_s:
                yield start, end_or_none

    def _is_noted(self, end: End) -> bool:
        """Whether an end was taken note of before its worker's lease lapsed."""
        noted_s = self._acknowledged_s.get((end.worker_id, end.sequence))
        if noted_s is None:
            return False
        return not any(
            end.at_s <= lapse_s <= noted_s
            for lapse_s in self._lapses_s.get(end.worker_id, ())
        )

    def check_checkpoints(self, gangs: set[StepKey]) -> None:
        """Finds gangs whose members started from different checkpoints."""
        found: dict[tuple[StepKey, int], set[str]] = {}
        for start in self.starts:
            if start.task[:3] in gangs:
                key = (start.task[:3], start.run)
                found.setdefault(key, set()).add(start.checkpoint)
        for (step, run), checkpoints in found.items():
            if len(checkpoints) > 1:
                self.record_break(
                    Rule.CHECKPOINT,
                    0.0,
                    f"{step} run {run}: {sorted(checkpoints)}",
                )
