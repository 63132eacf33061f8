"""Draws the sequence of faults of a run from its seed.

A seed repeats the sequence, not the timing of the processes that it meets.
"""

from collections.abc import Sequence
import dataclasses
import enum
import random

__all__ = ["Fault", "Kind", "Targets", "draw"]

_FIRST_S = 2.0
_MEAN_GAP_S = 0.9
_MIN_LENGTH_S = 0.2
# Longer than the leases of workers.
_MAX_LENGTH_S = 7.0
_MAX_DELAY_MS = 800


class Kind(enum.Enum):
    """What happens to a process or to a link."""

    KILL = "kill"
    TERMINATE = "terminate"
    PAUSE = "pause"
    RELOAD = "reload"
    DELAY = "delay"
    HOLD = "hold"
    DROP = "drop"
    RESET = "reset"


_PROCESS_KINDS = (Kind.KILL, Kind.TERMINATE, Kind.PAUSE)
_LINK_KINDS = (Kind.DELAY, Kind.HOLD, Kind.DROP, Kind.RESET)
_DIRECTIONS = ("up", "down", "both")


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """What faults can happen to.

    Attributes:
        nodes: Processes of the system, which reload their settings.
        workers: Processes of workers.
        links: Addresses of the proxies.
    """

    nodes: Sequence[str]
    workers: Sequence[str]
    links: Sequence[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        at_s: Its start, from the start of the traffic.
        kind: What happens.
        target: Name of a process, or address of a proxy.
        length_s: Time until the process is restarted or continued, or the link
            works again.
        direction: Direction of the link: "up", "down" or "both".
        delay_ms: Delay of the link's bytes.
    """

    at_s: float
    kind: Kind
    target: str
    length_s: float
    direction: str = "both"
    delay_ms: int = 0

    @property
    def end_s(self) -> float:
        """End of the fault, from the start of the traffic."""
        return self.at_s + self.length_s


def draw(seed: int, targets: Targets, duration_s: float) -> list[Fault]:
    """Returns faults in order of their start; they may overlap.

    A process has only one fault at a time, a link any number.
    """
    source = random.Random(seed)
    faults: list[Fault] = []
    free_from_s: dict[str, float] = {}
    at_s = _FIRST_S
    while at_s < duration_s:
        fault = _draw_one(source, targets, at_s)
        is_process = fault.target not in targets.links
        if not is_process or free_from_s.get(fault.target, 0.0) <= at_s:
            faults.append(fault)
            free_from_s[fault.target] = fault.end_s + _MIN_LENGTH_S
        at_s += source.expovariate(1 / _MEAN_GAP_S)
    return faults


def _draw_one(source: random.Random, targets: Targets, at_s: float) -> Fault:
    length_s = source.uniform(_MIN_LENGTH_S, _MAX_LENGTH_S)
    choice = source.random()
    if choice < 0.4:
        kinds = (*_PROCESS_KINDS, Kind.RELOAD)
        return Fault(
            at_s, source.choice(kinds), source.choice(targets.nodes), length_s
        )
    if choice < 0.7:
        return Fault(
            at_s,
            source.choice(_PROCESS_KINDS),
            source.choice(targets.workers),
            length_s,
        )
    return Fault(
        at_s,
        source.choice(_LINK_KINDS),
        source.choice(targets.links),
        length_s,
        source.choice(_DIRECTIONS),
        source.randint(1, _MAX_DELAY_MS),
    )
