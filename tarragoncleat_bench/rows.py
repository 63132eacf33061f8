"""Result rows of the benchmarks."""

import dataclasses

__all__ = ["Row"]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One measured figure.

    Attributes:
        group: Group of benchmarks, such as "planner".
        name: What was measured, with the scenario and the size.
        unit: Unit of `figure`, `baseline` and `lower_bound`.
        figure: The measured value.
        baseline: The baseline's value in the same run, if there is one.
        lower_bound: The best possible value, if it can be computed.
        seed: Seed of the random inputs.
    """

    group: str
    name: str
    unit: str
    figure: float
    baseline: float | None = None
    lower_bound: float | None = None
    seed: int = 0

    @property
    def ratio(self) -> float | None:
        """Figure divided by baseline."""
        if not self.baseline:
            return None
        return self.figure / self.baseline
