"""Decides what a request's path leads to, and who calls.

A refusal must be certain, because it says that a request never runs. An old
state may lack a new queue or key, so refusals are decided by a state that this
node has confirmed to be the latest.
"""

import dataclasses

from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.cluster import log_node
from tarragoncleat.kernel import errors

__all__ = ["JobRequest", "JobRouter", "Target", "job_id_of"]

JobRequest = (
    messages.SubmitRequest | messages.ReadRequest | messages.CancelRequest
)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What a request's path leads to.

    Attributes:
        version: Version of the configuration that decided; 0 if there is none.
        queue: The queue, or None.
        caller: Who calls; None if the caller may not use the queue, or if
            there is none.
        job: The job at the path, also if its queue was removed, or None.
    """

    version: int
    queue: model.QueuePolicy | None
    caller: customers.Caller | None
    job: jobs.Job | None

    @property
    def visible_job(self) -> jobs.Job | None:
        """The job, if it is one of the queue and the caller may see it."""
        if self.queue is None or self.caller is None or self.job is None:
            return None
        if self.is_other_queues_job:
            return None
        return self.job if self.caller.may_see(self.job.caller) else None

    @property
    def is_other_queues_job(self) -> bool:
        """Whether the job with the path's id was submitted to another queue."""
        if self.queue is None or self.job is None:
            return False
        return self.job.queue != self.queue.key

    def has_queue(self, queue: model.QueuePolicy | None) -> bool:
        """Whether the path leads to this queue."""
        if self.queue is None or queue is None:
            return False
        return self.queue.key == queue.key


def job_id_of(queue: model.QueuePolicy, path: str) -> str:
    """Returns the part of a path after the queue's prefix."""
    return path[len(queue.path_prefix) :]


class JobRouter:
    """Routes requests on the leader."""

    def __init__(
        self, node: log_node.LogNode, state: state_module.BatchState
    ) -> None:
        """Creates a router for a replica's log and state."""
        self._node = node
        self._state = state

    def find(self, request: JobRequest) -> Target:
        """Returns a request's target by this node's state."""
        configuration = self._state.configuration
        version = configuration.version if configuration is not None else 0
        queue = self._state.route(request.host, request.path)
        if queue is None:
            job = self._state.job_at(request.host, request.path)
            return Target(version, None, None, job)
        caller = self._state.customers.authenticate(queue, request.key)
        job = self._state.job(job_id_of(queue, request.path))
        return Target(version, queue, caller, job)

    async def read(self, request: JobRequest) -> Target | errors.Failure:
        """Returns a request's target by the latest state."""
        return await self._node.read(lambda: self.find(request))

    async def locate(self, request: JobRequest) -> Target | errors.Failure:
        """Returns a request's target; that it is refused is certain."""
        target = self.find(request)
        if target.caller is not None:
            return target
        return await self.read(request)
