"""Learned sizes: a quantile of the measured use of each job class."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.types import Resources

_QUANTILE: t.Final = 0.95
_RELATIVE_STEP: t.Final = 0.05
_MIN_SAMPLES: t.Final = 5


@attrs.define
class ClassSize:
    """Running quantile of a job class's use, for each resource."""

    cpu_millicores: float = 0.0
    memory_mb: float = 0.0
    sample_count: int = 0

    def add(self, used: Resources) -> None:
        """Move the estimate towards the quantile by one sample."""
        self.sample_count += 1
        self.cpu_millicores = _update_quantile(
            self.cpu_millicores, used.cpu_millicores
        )
        self.memory_mb = _update_quantile(self.memory_mb, used.memory_mb)


def _update_quantile(estimate: float, sample: float) -> float:
    """Take one step of stochastic quantile estimation.

    Steps up are larger than steps down, weighted by the quantile, and
    proportional to the values, so that no scale has to be configured.
    """
    if not estimate:
        return float(sample)
    step = _RELATIVE_STEP * max(estimate, sample)
    if sample > estimate:
        return min(sample, estimate + step * _QUANTILE * 4)
    return max(sample, estimate - step * (1 - _QUANTILE))


@attrs.define
class SizeModel:
    """Learned sizes by job class."""

    classes: dict[str, ClassSize] = attrs.field(factory=dict)

    def learn(self, job_class: str, used: Resources) -> None:
        """Update the size of a job class with one measured use."""
        self.classes.setdefault(job_class, ClassSize()).add(used)

    def get_size(self, job_class: str) -> Resources:
        """Return the learned size of a job class, zero with too few samples."""
        found = self.classes.get(job_class)
        if found is None or found.sample_count < _MIN_SAMPLES:
            return Resources()
        return Resources(int(found.cpu_millicores), int(found.memory_mb))
