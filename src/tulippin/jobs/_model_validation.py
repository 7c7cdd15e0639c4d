"""Validates persisted models and drops their invalid parts.

A model is an advisory input, so an invalid part costs only that part: an
image, a queue's run time, a job's load cycle. All owners that read the model
divide by its values and take their roots and logarithms, so a single invalid
value would fail in each of them.
"""

from __future__ import annotations

import math
import typing as t

import attrs

from tulippin.jobs.load_cycles import is_period
from tulippin.jobs.pair_model import MIN_VARIANCE
from tulippin.jobs.records import (
    ModelRecord,
    PairRecord,
    RunTimeRecord,
    SwingRecord,
)

# Outliers raise the variance of images that always run together, by 0.0025
# each, and a few samples that tell two of them apart give large means.
_MAX_VARIANCE: t.Final = 1e6
_MAX_MEAN: t.Final = 1e6
# Largest count up to which floats represent every integer.
_MAX_SAMPLE_COUNT: t.Final = 2**53
# A microsecond: no response and no run takes less.
_MIN_TIME_MS: t.Final = 0.001
# About eleven days.
_MAX_TIME_MS: t.Final = 1e9
# Logarithms of times of up to _MAX_TIME_MS, and products of two of these.
_MAX_LOG_FIGURE: t.Final = 1e3
# A load is 1 at most, but a wave fitted to the start of a cycle may exceed it.
_MAX_LOAD: t.Final = 100.0
_MAX_NAME_LENGTH: t.Final = 60

_Part = t.TypeVar('_Part')


def drop_faults(record: ModelRecord) -> tuple[ModelRecord, tuple[str, ...]]:
    """Return the valid parts of a model, and what is wrong with the others.

    Parameters
    ----------
    record : ModelRecord
        The model, as read or before it is written.

    Returns
    -------
    tuple of ModelRecord and tuple of str
        The model without its invalid parts, and a reason for each of them.
    """
    faults: list[str] = []
    valid = ModelRecord(
        _keep_valid(record.pairs, _find_pair_fault, 'image', faults),
        _keep_valid(
            record.lowest_tails_ms, _find_time_fault, 'tail of', faults
        ),
        _keep_valid(
            record.run_times_ms, _find_time_fault, 'run time of', faults
        ),
        _drop_cycle_faults(record.swings, faults),
        _keep_valid(
            record.run_time_fits, _find_fit_fault, 'run times of', faults
        ),
    )
    return valid, tuple(faults)


def _keep_valid(
    parts: t.Mapping[str, _Part],
    find_fault: t.Callable[[_Part], str],
    kind: str,
    faults: list[str],
) -> dict[str, _Part]:
    """Return the valid parts, and append the faults of the others."""
    kept = {}
    for name, part in parts.items():
        fault = find_fault(part)
        if fault:
            faults.append(f'{kind} {name[:_MAX_NAME_LENGTH]!r}: {fault}')
        else:
            kept[name] = part
    return kept


def _find_time_fault(time_ms: float) -> str:
    # Any comparison with NaN is false.
    if _MIN_TIME_MS <= time_ms <= _MAX_TIME_MS:
        return ''
    return f'{time_ms:g} ms is out of range'


def _find_fit_fault(fit: RunTimeRecord) -> str:
    if not 0 <= fit.count <= _MAX_SAMPLE_COUNT:
        return 'its count of runs is out of range'
    figures = (fit.log_estimate, fit.log_run, fit.variance, fit.covariance)
    if not all(abs(figure) <= _MAX_LOG_FIGURE for figure in figures):
        return 'one of its figures is out of range'
    return 'its variance is negative' if fit.variance < 0 else ''


# -- pairs --------------------------------------------------------------------


def _find_pair_fault(pair: PairRecord) -> str:
    """Return why a pair is invalid; an empty string if it is valid."""
    return (
        _find_shape_fault(pair)
        or _find_value_fault(pair)
        or _find_matrix_fault(pair.covariances)
    )


def _find_shape_fault(pair: PairRecord) -> str:
    count = len(pair.means)
    lengths = [len(row) for row in pair.covariances]
    if lengths != list(range(count, 0, -1)):
        return 'its covariances do not match its means'
    if not pair.sample_counts.keys() <= pair.means.keys():
        return 'it counts samples of an image without a mean'
    return ''


def _find_value_fault(pair: PairRecord) -> str:
    for count in pair.sample_counts.values():
        if not 0 <= count <= _MAX_SAMPLE_COUNT:
            return 'a sample count is out of range'
    for mean in pair.means.values():
        if not abs(mean) <= _MAX_MEAN:
            return f'a mean of {mean:g} is out of range'
    for row in pair.covariances:
        for value in row:
            if not abs(value) <= _MAX_VARIANCE:
                return f'a covariance of {value:g} is out of range'
    return ''


def _find_matrix_fault(covariances: t.Sequence[t.Sequence[float]]) -> str:
    """Return why a covariance matrix is too certain; empty if it is not.

    Each pivot of its Gaussian elimination is the variance of an image, given
    those before it. A pivot near or below 0 would be divided by, or would give
    a sample more weight than any sample can have.
    """
    remaining = [list(row) for row in covariances]
    for column, row in enumerate(remaining):
        if row[0] < MIN_VARIANCE:
            return f'a variance of {row[0]:g} is too small'
        for offset, value in enumerate(row[1:], 1):
            factor = value / row[0]
            remaining[column + offset] = [
                lower - factor * upper
                for lower, upper in zip(
                    remaining[column + offset], row[offset:], strict=True
                )
            ]
    return ''


# -- load cycles --------------------------------------------------------------


def _drop_cycle_faults(swings: SwingRecord, faults: list[str]) -> SwingRecord:
    if not (is_period(swings.period_ms) and _is_load(swings.mean)):
        faults.append(
            f'swings: out-of-range period of {swings.period_ms:g} ms'
            f' around {swings.mean:g}'
        )
        return SwingRecord()
    waves = _keep_valid(swings.waves, _find_wave_fault, 'swing of', faults)
    return attrs.evolve(swings, waves=waves)


def _find_wave_fault(wave: tuple[float, float, float]) -> str:
    return '' if all(map(_is_load, wave)) else 'its wave is out of range'


def _is_load(value: float) -> bool:
    return math.isfinite(value) and abs(value) <= _MAX_LOAD
