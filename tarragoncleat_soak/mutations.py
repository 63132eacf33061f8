"""Starts a process of the system that breaks one promise on purpose.

    python -m tarragoncleat_soak.mutations lost-job control

The soak must find each of these; the product itself has no such switch.
"""

from collections.abc import Callable
import enum
import pathlib
import sys
from typing import Any

from tarragoncleat.batch.leader import job_service
from tarragoncleat.batch.leader import leader_service
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.workers import leases
from tarragoncleat.batch.workers import worker_session
from tarragoncleat.kernel import errors
from tarragoncleat_soak import history

__all__ = ["Mutation", "main"]

_PLATFORM = pathlib.Path(__file__).resolve().parent.parent / "platform"
# One of 16 jobs has an id with this last digit.
_CHOSEN_DIGIT = "0"
# Less than the time for which a worker may hold an answer back.
_EARLY_S = 0.8


class Mutation(enum.Enum):
    """Changes of the product's code; each breaks one promise."""

    STALE_CONFIGURATION = "stale-configuration"
    LOST_JOB = "lost-job"
    EARLY_RESTART = "early-restart"
    FALSE_REFUSAL = "false-refusal"
    HASTY_FAILURE = "hasty-failure"
    IGNORED_CANCELLATION = "ignored-cancellation"
    LOST_TASKS = "lost-tasks"

    @property
    def broken_promise(self) -> history.Promise:
        """The promise that this change breaks."""
        return _MUTATIONS[self][0]

    def install(self) -> None:
        """Breaks the code of this process."""
        _MUTATIONS[self][1]()


def _replace(owner: type, name: str, method: Callable) -> None:
    """Replaces a method of the product."""
    setattr(owner, name, method)


def _break_by_stale_configuration() -> None:
    """Answers reads by the first configuration that was read."""
    read = leader_service.LeaderService._read_latest_configuration
    first: list[Any] = []

    async def read_first(self: Any) -> Any:
        if not first:
            reply = await read(self)
            if isinstance(reply, errors.Failure):
                return reply
            first.append(reply)
        return first[0]

    _replace(
        leader_service.LeaderService, "_read_latest_configuration", read_first
    )


def _is_chosen(path: str) -> bool:
    return path.endswith(_CHOSEN_DIGIT)


def _break_by_lost_job() -> None:
    """Confirms some jobs without storing them."""
    submit = job_service.JobService.submit

    async def submit_most(self: Any, request: Any) -> Any:
        if _is_chosen(request.path):
            return messages.Done()
        return await submit(self, request)

    _replace(job_service.JobService, "submit", submit_most)


def _break_by_false_refusal() -> None:
    """Refuses some jobs after it has stored them."""
    submit = job_service.JobService.submit

    async def submit_and_refuse(self: Any, request: Any) -> Any:
        result = await submit(self, request)
        if _is_chosen(request.path):
            return errors.Failure(errors.ErrorKind.OVERLOADED, "mutated")
        return result

    _replace(job_service.JobService, "submit", submit_and_refuse)


def _break_by_early_restart() -> None:
    """Takes a worker that is silent for a moment for lost, with its leases."""

    def latest_expiry_s(self: Any) -> float:
        return self.last_contact_s + _EARLY_S

    def is_responsive_at(self: Any, now_s: float) -> bool:
        return now_s - self._leases.last_contact_s < _EARLY_S

    _replace(leases.LeaseTracker, "latest_expiry_s", latest_expiry_s)
    _replace(worker_session.WorkerSession, "is_responsive_at", is_responsive_at)


def _break_by_hasty_failure() -> None:
    """Fails a job at the first failure of a task."""
    end = jobs.Job.end

    def end_hastily(
        self: Any, run_end: Any, max_attempts: int, now_ms: int
    ) -> Any:
        return end(self, run_end, 1, now_ms)

    _replace(jobs.Job, "end", end_hastily)


def _break_by_ignored_cancellation() -> None:
    """Confirms cancellations without storing them."""

    async def cancel(self: Any, request: Any) -> Any:
        return messages.Done()

    _replace(job_service.JobService, "cancel", cancel)


def _break_by_lost_tasks() -> None:
    """Doesn't start the tasks of lost workers again."""

    def requeue_lost(self: Any, task: Any) -> None:
        task.state = jobs.TaskState.DROPPED

    _replace(jobs.Job, "requeue_lost", requeue_lost)


_MUTATIONS: dict[Mutation, tuple[history.Promise, Callable[[], None]]] = {
    Mutation.STALE_CONFIGURATION: (
        history.Promise.CONFIGURATION,
        _break_by_stale_configuration,
    ),
    Mutation.LOST_JOB: (history.Promise.STORED, _break_by_lost_job),
    Mutation.EARLY_RESTART: (history.Promise.ONE_RUN, _break_by_early_restart),
    Mutation.FALSE_REFUSAL: (history.Promise.NOT_RUN, _break_by_false_refusal),
    Mutation.HASTY_FAILURE: (
        history.Promise.NOT_GIVEN_UP,
        _break_by_hasty_failure,
    ),
    Mutation.IGNORED_CANCELLATION: (
        history.Promise.CANCELLED,
        _break_by_ignored_cancellation,
    ),
    Mutation.LOST_TASKS: (history.Promise.ENDED, _break_by_lost_tasks),
}


def main() -> None:
    """Installs the mutation named first, and starts the role named second."""
    name = sys.argv.pop(1)
    Mutation(name).install()
    sys.path.append(str(_PLATFORM))
    from fleet_adapter import main as adapter_main

    adapter_main.main()


if __name__ == "__main__":
    main()
