"""What is expected of a job: the chains of its steps, done and still to do."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs.types import Step


@attrs.frozen
class JobForecast:
    """What is expected of one occurrence of a job, as of one moment.

    Parameters
    ----------
    computed_ms : int
        When it was computed.
    total_ms : float
        The longest chain of run times of all steps, from which the objective
        follows. Known run times replace predicted ones.
    left_ms : tuple of float
        For each step the expected time of the longest chain from it on.
    upper_left_ms : tuple of float
        The same at an upper quantile of the run times.
    value_density : float
        The value of the job for each millicore-millisecond that is left of it.
    """

    computed_ms: int
    total_ms: float
    left_ms: tuple[float, ...]
    upper_left_ms: tuple[float, ...]
    value_density: float


def compute_chains_ms(
    steps: t.Sequence[Step],
    own_ms: t.Sequence[float],
    first_ms: t.Sequence[float] | None = None,
) -> tuple[float, ...]:
    """Return for each step the time of the longest chain from it on.

    Parameters
    ----------
    steps : sequence of Step
        The steps of a job, each after those that it depends on.
    own_ms : sequence of float
        The time of each step within a chain that begins before it.
    first_ms : sequence of float, optional
        The time of each step as the first one of a chain, if it differs.
    """
    chains_ms = list(own_ms)
    after_ms = [0.0 for _ in steps]
    for index in reversed(range(len(steps))):
        chains_ms[index] = own_ms[index] + after_ms[index]
        for predecessor in steps[index].after:
            after_ms[predecessor] = max(after_ms[predecessor], chains_ms[index])
    if first_ms is None:
        return tuple(chains_ms)
    return tuple(
        first + after for first, after in zip(first_ms, after_ms, strict=True)
    )
