"""What callers, operators and workers saw, and the promises that it must keep.

All times are of the machine's monotonic clock, which its processes share.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping, Sequence
import dataclasses
import enum
import threading
from typing import NewType

__all__ = [
    "Attempt",
    "BrokenPromise",
    "Bounds",
    "History",
    "Job",
    "JobId",
    "Promise",
    "Run",
    "check_runs",
]

JobId = NewType("JobId", str)

_OK = 200
_GONE = 410
_REFUSALS = (429, 503)
# No answer, and what a node may answer while its leader is gone.
_ALLOWED_ANSWERS = (None, _OK, 502, 504, *_REFUSALS)


class Promise(enum.Enum):
    """What must hold whatever happens to processes and links."""

    ONE_RUN = "a task runs on one worker at a time"
    ONE_START = "a run is started on one worker only"
    NOT_RUN = "a job that was only refused never runs"
    STORED = "an accepted job is known"
    ENDED = "an accepted job ends once the faults are over"
    NOT_GIVEN_UP = "a job fails only after the allowed number of failures"
    CANCELLED = "no task starts long after the cancellation of its job"
    CONFIGURATION = "a configuration isn't older than one confirmed long before"
    ANSWERED = "a node doesn't deny what is configured"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the promises, from the users' pages."""

    visible_s: float = 3.0
    cancel_s: float = 3.0
    configuration_s: float = 2.0
    finish_s: float = 14.0


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenPromise:
    """A promise that was broken.

    Attributes:
        promise: The promise.
        subject: The job, task or configuration.
        detail: What was seen.
        at_s: When it was seen.
    """

    promise: Promise
    subject: str
    detail: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One submission of a job; `status` is None without an answer."""

    sent_s: float
    status: int | None


@dataclasses.dataclass(slots=True)
class Job:
    """A job as its client saw it.

    Attributes:
        job_id: Its id.
        attempts: Its submissions.
        accepted_s: When it was confirmed; None if it wasn't.
        cancel_sent_s: When its cancellation was first requested.
        cancelled_s: When its cancellation was confirmed.
        state: The last state that was shown.
        state_s: When it was shown.
    """

    job_id: JobId
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    accepted_s: float | None = None
    cancel_sent_s: float | None = None
    cancelled_s: float | None = None
    state: str = ""
    state_s: float = 0.0

    @property
    def was_only_refused(self) -> bool:
        """Whether all answers say that the job never runs."""
        return bool(self.attempts) and all(
            attempt.status in _REFUSALS for attempt in self.attempts
        )

    @property
    def has_ended(self) -> bool:
        """Whether the job was shown in a final state."""
        return self.state in ("completed", "failed", "cancelled")


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run of a task, as its worker recorded it.

    Attributes:
        task: Name of the task: JOB.OCCURRENCE.STEP.INDEX.
        number: Number of the run.
        worker: The worker's incarnation.
        start_s: Its start.
        end_s: Its end; infinite if the worker doesn't tell.
        ending: How it ended.
    """

    task: str
    number: int
    worker: str
    start_s: float
    end_s: float
    ending: str

    @property
    def job_id(self) -> JobId:
        """The task's job."""
        return JobId(self.task.partition(".")[0])


class History:
    """Records answers, and checks each promise that they can break."""

    def __init__(self, bounds: Bounds = Bounds()) -> None:
        """Creates an empty history."""
        self.bounds = bounds
        self.jobs: dict[JobId, Job] = {}
        self.broken: list[BrokenPromise] = []
        self._confirmed: list[tuple[float, int]] = []
        # Clients, operators and readers run in threads.
        self._lock = threading.Lock()

    def record_attempt(
        self, job: Job, attempt: Attempt, reason: str, now_s: float
    ) -> None:
        """Records the answer to a submission, with the reason of a refusal."""
        job.attempts.append(attempt)
        status = attempt.status
        if status == _OK and job.accepted_s is None:
            job.accepted_s = now_s
        if status not in _ALLOWED_ANSWERS:
            detail = f"{status} {reason}"
            self.add_broken(Promise.ANSWERED, job.job_id, detail, now_s)

    def record_state(
        self, job: Job, sent_s: float, status: int, state: str, now_s: float
    ) -> None:
        """Records the answer to a question for a job's state."""
        if status == _OK:
            job.state, job.state_s = state, now_s
        known_since_s = job.accepted_s
        if status != _GONE or known_since_s is None:
            return
        if sent_s > known_since_s + self.bounds.visible_s:
            self.add_broken(
                Promise.STORED, job.job_id, "not known after its answer", now_s
            )

    @property
    def confirmed_count(self) -> int:
        """Number of confirmed configurations."""
        return len(self._confirmed)

    def record_confirmed(self, version: int, now_s: float) -> None:
        """Records that a configuration was confirmed."""
        with self._lock:
            self._confirmed.append((now_s, version))

    def record_read(
        self, node: str, version: int, sent_s: float, now_s: float
    ) -> None:
        """Records a configuration that was read."""
        until_s = sent_s - self.bounds.configuration_s
        with self._lock:
            confirmed = [v for at_s, v in self._confirmed if at_s < until_s]
        newest = max(confirmed, default=0)
        if version < newest:
            self.add_broken(
                Promise.CONFIGURATION, node, f"{version} after {newest}", now_s
            )

    def add_broken(
        self, promise: Promise, subject: str, detail: str, at_s: float
    ) -> None:
        """Records a broken promise."""
        with self._lock:
            self.broken.append(BrokenPromise(promise, subject, detail, at_s))

    def check_ended(self, now_s: float) -> None:
        """Checks that all accepted jobs have ended."""
        for job in self.jobs.values():
            if job.accepted_s is None or job.has_ended:
                continue
            if job.cancel_sent_s is None:
                detail = f"last state {job.state!r}"
                self.add_broken(Promise.ENDED, job.job_id, detail, now_s)


def check_runs(
    history: History,
    runs: Iterable[Run],
    max_attempts: int,
    disturbed: Sequence[tuple[float, float]] = (),
) -> Iterator[BrokenPromise]:
    """Returns the promises that the runs of all workers break.

    Args:
        history: What the clients saw.
        runs: The runs of all workers.
        max_attempts: Number of failures of a task with which its job fails.
        disturbed: Start and end of each time when a node may be out of touch.
    """
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    for task, task_runs in by_task.items():
        task_runs.sort(key=lambda run: run.start_s)
        yield from _check_task(task, task_runs)
        job = history.jobs.get(task_runs[0].job_id)
        if job is not None:
            yield from _check_job(job, task_runs, history.bounds, disturbed)
    yield from _check_failed(history.jobs, by_task, max_attempts)


def _check_task(task: str, runs: list[Run]) -> Iterator[BrokenPromise]:
    workers: dict[int, str] = {}
    latest: Run | None = None
    for run in runs:
        if workers.setdefault(run.number, run.worker) != run.worker:
            yield BrokenPromise(
                Promise.ONE_START,
                task,
                f"run {run.number} on {workers[run.number]} and {run.worker}",
                run.start_s,
            )
        if latest is not None and run.start_s < latest.end_s:
            yield BrokenPromise(
                Promise.ONE_RUN,
                task,
                f"run {run.number} on {run.worker} starts"
                f" {latest.end_s - run.start_s:.3f} s before the end of run"
                f" {latest.number} on {latest.worker} ({latest.ending})",
                run.start_s,
            )
        if latest is None or run.end_s > latest.end_s:
            latest = run


def _check_job(
    job: Job,
    runs: list[Run],
    bounds: Bounds,
    disturbed: Sequence[tuple[float, float]],
) -> Iterator[BrokenPromise]:
    for run in runs:
        if job.was_only_refused:
            yield BrokenPromise(
                Promise.NOT_RUN, run.task, f"on {run.worker}", run.start_s
            )
        if job.cancelled_s is None:
            continue
        is_disturbed = any(
            start_s < run.start_s and end_s > job.cancelled_s
            for start_s, end_s in disturbed
        )
        late_s = run.start_s - job.cancelled_s
        if late_s > bounds.cancel_s and not is_disturbed:
            yield BrokenPromise(
                Promise.CANCELLED,
                run.task,
                f"{late_s:.1f} s after the confirmation",
                run.start_s,
            )


def _check_failed(
    jobs: Mapping[JobId, Job],
    runs: Mapping[str, list[Run]],
    max_attempts: int,
) -> Iterator[BrokenPromise]:
    failures: collections.Counter[JobId] = collections.Counter()
    for task_runs in runs.values():
        failed = sum(run.ending == "failed" for run in task_runs)
        job_id = task_runs[0].job_id
        failures[job_id] = max(failures[job_id], failed)
    for job in jobs.values():
        if job.state == "failed" and failures[job.job_id] < max_attempts:
            yield BrokenPromise(
                Promise.NOT_GIVEN_UP,
                job.job_id,
                f"{failures[job.job_id]} failures",
                job.state_s,
            )
