"""Learned sizes: what each job class really uses, by quantile."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.types import Resources

_QUANTILE: t.Final = 0.95
_STEP: t.Final = 0.05
_MIN_SAMPLES: t.Final = 5


@attrs.define
class ClassSize:
    """Running quantile of one class's use, part by part."""

    cpu_millicores: float = 0.0
    memory_mb: float = 0.0
    sample_count: int = 0

    def add(self, used: Resources) -> None:
        """Move the estimate towards the quantile by one sample."""
        self.sample_count += 1
        self.cpu_millicores = _move(self.cpu_millicores, used.cpu_millicores)
        self.memory_mb = _move(self.memory_mb, used.memory_mb)


def _move(estimate: float, sample: float) -> float:
    """Take one step of stochastic quantile tracking.

    Steps up and down are in the ratio of the quantile's odds, and of a
    size relative to the sample, so that no scale need be known.
    """
    if not estimate:
        return float(sample)
    step = _STEP * max(estimate, sample)
    if sample > estimate:
        return min(sample, estimate + step * _QUANTILE * 4)
    return max(sample, estimate - step * (1 - _QUANTILE))


@attrs.define
class SizeModel:
    """Learned sizes by job class."""

    classes: dict[str, ClassSize] = attrs.field(factory=dict)

    def learn(self, job_class: str, used: Resources) -> None:
        """Take one measured use into account."""
        self.classes.setdefault(job_class, ClassSize()).add(used)

    def get_size(self, job_class: str) -> Resources:
        """Return the learned size, zero where there is too little data."""
        found = self.classes.get(job_class)
        if found is None or found.sample_count < _MIN_SAMPLES:
            return Resources()
        return Resources(int(found.cpu_millicores), int(found.memory_mb))
