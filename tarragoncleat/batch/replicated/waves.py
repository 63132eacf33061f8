"""Maintenance waves of the batch state."""

import dataclasses

__all__ = ["Wave"]


@dataclasses.dataclass(slots=True)
class Wave:
    """Maintenance of a set of instances.

    `chosen` maps each instance whose maintenance was or is about to be ordered
    to the workers that were on it then. `begun` holds the instances whose
    maintenance has certainly begun, or which have left the fleet.
    """

    number: int
    instances: tuple[str, ...]
    duration_ms: int
    cap: int
    requested_ms: int
    chosen: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    begun: set[str] = dataclasses.field(default_factory=set)

    @property
    def remaining(self) -> list[str]:
        """Instances whose maintenance has not begun."""
        return [name for name in self.instances if name not in self.begun]

    def pack(self) -> list:
        """Returns the wave for a snapshot."""
        return [
            self.number,
            list(self.instances),
            self.duration_ms,
            self.cap,
            self.requested_ms,
            sorted(self.chosen.items()),
            sorted(self.begun),
        ]

    @classmethod
    def unpack(cls, fields: list) -> "Wave":
        """Restores a wave from the result of `pack`."""
        wave = cls(fields[0], tuple(fields[1]), *fields[2:5])
        wave.chosen = {name: tuple(ids) for name, ids in fields[5]}
        wave.begun = set(fields[6])
        return wave
