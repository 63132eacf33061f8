"""Random faults of a model's world."""

from collections.abc import Sequence
import dataclasses
import enum
import random

__all__ = ["Fault", "FaultKind", "Theme", "draw_faults"]


class FaultKind(enum.Enum):
    """What goes wrong, at an instance or at the leader."""

    CUT = "cut"
    REFUSING = "refusing"
    LOSING = "losing"
    DELAYING = "delaying"
    CRASH = "crash"
    LEADER_KILLED = "leader-killed"
    LEADER_FROZEN = "leader-frozen"
    PLATFORM_DOWN = "platform-down"
    WAVE = "wave"
    COMMITS_STALLED = "commits-stalled"


class Theme(enum.Enum):
    """Which kinds of faults a world has, since all at once hide each other."""

    ALL = "all"
    ORDERS = "orders"
    SILENCE = "silence"
    MAINTENANCE = "maintenance"
    COMMITS = "commits"


_KINDS = {
    Theme.ALL: tuple(FaultKind),
    Theme.ORDERS: (
        FaultKind.REFUSING,
        FaultKind.LOSING,
        FaultKind.DELAYING,
        FaultKind.LEADER_KILLED,
    ),
    Theme.SILENCE: (FaultKind.CUT, FaultKind.CRASH, FaultKind.LEADER_FROZEN),
    Theme.MAINTENANCE: (FaultKind.WAVE, FaultKind.CRASH),
    Theme.COMMITS: (
        FaultKind.COMMITS_STALLED,
        FaultKind.LOSING,
        FaultKind.CRASH,
        FaultKind.LEADER_FROZEN,
    ),
}
_DURATIONS_S = (0.5, 1.5, 3.0, 3.6, 4.5, 5.0, 7.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault.

    Attributes:
        kind: What goes wrong.
        at_s: When, from the start of the play.
        for_s: How long.
        instances: At which instances.
        share: Share of the orders concerned.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    instances: tuple[str, ...]
    share: float


def draw_faults(
    generator: random.Random,
    theme: Theme,
    instances: Sequence[str],
    until_s: float,
) -> list[Fault]:
    """Returns the faults of a world, in order of time.

    Args:
        generator: Source of the faults.
        theme: Kinds to draw from.
        instances: Names of the instances.
        until_s: When the last fault has begun.
    """
    count = generator.randint(4, 12)
    faults = [
        _draw_fault(generator, kind, instances, until_s)
        for kind in generator.choices(_KINDS[theme], k=count)
    ]
    if theme is Theme.SILENCE:
        faults += _draw_long_cuts(generator, instances, until_s)
    if theme is Theme.MAINTENANCE:
        faults += _draw_interrupted_wave(generator, instances, until_s)
    if theme is Theme.COMMITS:
        faults += _draw_returns_in_stalls(generator, instances, until_s)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_fault(
    generator: random.Random,
    kind: FaultKind,
    instances: Sequence[str],
    until_s: float,
) -> Fault:
    count = generator.randint(1, max(1, len(instances) // 2))
    return Fault(
        kind,
        generator.uniform(1.0, until_s),
        generator.choice(_DURATIONS_S),
        tuple(sorted(generator.sample(instances, count))),
        generator.choice([0.3, 1.0]),
    )


def _draw_long_cuts(
    generator: random.Random, instances: Sequence[str], until_s: float
) -> list[Fault]:
    """Returns cuts in which the leases of some of the instances expire."""
    return [
        Fault(
            FaultKind.CUT,
            generator.uniform(2.0, until_s),
            generator.uniform(3.2, 4.8),
            tuple(instances[1:]),
            1.0,
        )
        for _ in range(2)
    ]


def _draw_returns_in_stalls(
    generator: random.Random, instances: Sequence[str], until_s: float
) -> list[Fault]:
    """Returns cuts that end about when the leases do, while commits stall."""
    faults = []
    for _ in range(3):
        cut_s = generator.uniform(1.0, until_s)
        lease_end_s = cut_s + generator.uniform(4.5, 4.9)
        faults += [
            Fault(
                FaultKind.CUT,
                cut_s,
                generator.uniform(4.8, 5.6),
                tuple(instances[1:]),
                1.0,
            ),
            Fault(
                FaultKind.COMMITS_STALLED,
                lease_end_s,
                generator.uniform(0.8, 2.5),
                (),
                1.0,
            ),
        ]
    return faults


def _draw_interrupted_wave(
    generator: random.Random, instances: Sequence[str], until_s: float
) -> list[Fault]:
    """Returns a wave whose leader is lost while no orders are taken."""
    down_s = generator.uniform(1.0, until_s / 2)
    wave_s = down_s + generator.uniform(0.0, 1.0)
    kill_s = wave_s + generator.uniform(0.3, 2.0)
    chosen = tuple(sorted(generator.sample(instances, 2)))
    return [
        Fault(FaultKind.PLATFORM_DOWN, down_s, 7.0, (), 1.0),
        Fault(FaultKind.WAVE, wave_s, 0.0, chosen, 1.0),
        Fault(FaultKind.LEADER_KILLED, kill_s, 0.0, (), 1.0),
    ]
