"""Random jobs of a model's world."""

import random

from tarragoncleat.batch.replicated import model
from tarragoncleat_model import worker as worker_module

__all__ = ["QUEUE", "build_configuration", "build_job"]

QUEUE = model.QueueKey("model.example", "/jobs/")
SERVICE = "service"
MAX_ATTEMPTS = 3
_MS_PER_S = 1000


def build_configuration() -> model.FleetConfiguration:
    """Returns a configuration with one queue and its service."""
    queue = model.QueuePolicy(
        "queue",
        QUEUE.host,
        QUEUE.path_prefix,
        SERVICE,
        3_000,
        600,
        0,
        MAX_ATTEMPTS,
        1.6,
    )
    service = model.ServicePolicy(SERVICE, False, False)
    return model.FleetConfiguration(1, b"{}", (queue,), (service,))


def build_job(
    kind: str, generator: random.Random
) -> tuple[model.JobDefinition, worker_module.TaskBehaviour]:
    """Returns a job of a kind, and what its tasks do.

    Args:
        kind: One of "plain", "burst", "chain", "gang" and "lasting".
        generator: Source of the job's properties.
    """
    duration_s = generator.choice([0.2, 0.6, 1.5, 3.0])
    failures = generator.choice([0, 0, 0, 1])
    fields: dict = {
        "cpu_millicores": 500,
        "memory_mb": 64,
        "estimated_ms": int(duration_s * _MS_PER_S),
        "checkpointing": generator.random() < 0.3,
    }
    count = generator.randint(1, 4)
    if kind == "burst":
        count, failures = 12, 0
        fields["cpu_millicores"] = 50
    elif kind == "gang":
        count, failures = generator.randint(2, 3), 0
        duration_s = generator.choice([0.6, 1.5, 3.0, 6.0])
        fields |= {
            "gang": True,
            "max_per_worker": 1,
            "estimated_ms": int(duration_s * _MS_PER_S),
        }
    elif kind == "lasting":
        count, failures = generator.randint(2, 3), 0
        fields |= {
            "long_running": True,
            "max_unavailable": 1,
            "checkpointing": False,
        }
        if generator.random() < 0.7:
            fields["max_per_worker"] = 1
    steps = [model.StepDefinition(count, **fields)]
    if kind == "chain":
        steps.append(model.StepDefinition(2, depends_on=(0,), **fields))
    definition = model.JobDefinition("payload", tuple(steps))
    return definition, worker_module.TaskBehaviour(
        duration_s, failures, steps[0]
    )
