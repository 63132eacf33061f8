"""Losses of instances under jobs, and when they speak against a job.

A job may crash the worker of each instance that runs it, together with the
jobs beside it. So `decisions.pool_capacity` places suspects alone, and a job is
ended after crashes of workers that it had to itself. A silent worker may only
have been cut off, so its loss is weak evidence.
"""

import dataclasses

from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs

__all__ = ["NO_LOSSES", "JobLosses", "is_cleared"]

# Several, because one instance may fail again and again by itself.
_MIN_INSTANCES_ALONE = 3
# Bounds the losses of a job that never gets an instance to itself.
_MAX_LOSSES = 8
_SUSPICIOUS_SILENT_LOSSES = 3
# Longer than the lease of a worker, after which its loss is known.
_CLEARING_RUN_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class JobLosses:
    """Losses of instances under a job since it last ran for long.

    Attributes:
        crashed_on: Instances whose worker restarted while it ran the job.
        alone_on: Those of them on which no other job was placed.
        silent_count: Instances that were lost with the job for other causes, or
            before they reported that it ran.
    """

    crashed_on: tuple[ids.InstanceId, ...] = ()
    alone_on: tuple[ids.InstanceId, ...] = ()
    silent_count: int = 0

    @property
    def is_suspect(self) -> bool:
        """Whether the job should run on an instance of its own."""
        return (
            bool(self.crashed_on)
            or self.silent_count >= _SUSPICIOUS_SILENT_LOSSES
        )

    @property
    def is_guilty(self) -> bool:
        """Whether the job should not be placed again."""
        count = len(self.crashed_on) + self.silent_count
        return (
            len(set(self.alone_on)) >= _MIN_INSTANCES_ALONE
            or count >= _MAX_LOSSES
        )

    @property
    def reason(self) -> str:
        """Why the job was given up."""
        count = len(self.crashed_on) + self.silent_count
        return (
            f"given up: {count} instances were lost under it, "
            f"{len(self.alone_on)} of them while it ran there alone"
        )

    def with_crash(
        self, instance_id: ids.InstanceId, was_alone: bool
    ) -> "JobLosses":
        """Returns the losses with the crash of a worker that ran the job."""
        alone = (instance_id,) if was_alone else ()
        return dataclasses.replace(
            self,
            crashed_on=(*self.crashed_on, instance_id),
            alone_on=(*self.alone_on, *alone),
        )

    def with_silent_loss(self) -> "JobLosses":
        """Returns the losses with that of a silent instance."""
        return dataclasses.replace(self, silent_count=self.silent_count + 1)


NO_LOSSES = JobLosses()


def is_cleared(job: jobs.Job, now_ms: int) -> bool:
    """Whether a job has run for so long that earlier losses don't count."""
    return bool(
        job.started_at_ms and now_ms - job.started_at_ms >= _CLEARING_RUN_MS
    )
