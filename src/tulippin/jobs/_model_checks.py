"""Which parts of a kept model can be what an owner has learned.

A model only advises, so what is wrong in it costs that part alone: an
image, a queue's time, a job's swing. What passes is divided by, and its
roots and logarithms are taken, by every owner that hears of it.
"""

from __future__ import annotations

import math
import typing as t

import attrs

from tulippin.jobs.pair_model import LEAST_VARIANCE
from tulippin.jobs.records import ModelRecord, PairRecord, SwingRecord
from tulippin.jobs.swings import is_period

# Surprises raise the variance of images that are always seen together, by
# 0.0025 each; a few such samples then tell two of them far apart.
_LARGEST_VARIANCE: t.Final = 1e6
_LARGEST_MEAN: t.Final = 1e6
# Beyond what a float counts by ones.
_MOST_SAMPLES: t.Final = 2**53
# A microsecond: no answer, and no run, takes less.
_SHORTEST_MS: t.Final = 0.001
# Some eleven days.
_LONGEST_MS: t.Final = 1e9
# A load is 1 at most. A wave fitted to the start of one goes beyond that.
_LARGEST_LOAD: t.Final = 100.0
_NAME_SIGNS: t.Final = 60

_Part = t.TypeVar('_Part')


def drop_faults(record: ModelRecord) -> tuple[ModelRecord, tuple[str, ...]]:
    """Return what of a model is sound, and what is wrong with the rest.

    Parameters
    ----------
    record : ModelRecord
        As it was read, or is about to be written.

    Returns
    -------
    tuple of ModelRecord and tuple of str
        The model without its unsound parts, and a reason for each of them.
    """
    faults: list[str] = []
    sound = ModelRecord(
        _keep(record.pairs, find_pair_fault, 'image', faults),
        _keep(record.lowest_tails_ms, _find_time_fault, 'tail of', faults),
        _keep(record.run_times_ms, _find_time_fault, 'run time of', faults),
        _drop_swing_faults(record.swings, faults),
    )
    return sound, tuple(faults)


def _keep(
    parts: t.Mapping[str, _Part],
    find_fault: t.Callable[[_Part], str],
    kind: str,
    faults: list[str],
) -> dict[str, _Part]:
    """Return the parts without a fault, and note the faults of others."""
    kept = {}
    for name, part in parts.items():
        fault = find_fault(part)
        if fault:
            faults.append(f'{kind} {name[:_NAME_SIGNS]!r}: {fault}')
        else:
            kept[name] = part
    return kept


def _find_time_fault(time_ms: float) -> str:
    # Nothing compares as true with what is no number.
    if _SHORTEST_MS <= time_ms <= _LONGEST_MS:
        return ''
    return f'{time_ms:g} ms is no time'


# -- pairs --------------------------------------------------------------------


def find_pair_fault(pair: PairRecord) -> str:
    """Return why nobody can have learned this; an empty text if one can."""
    return (
        _find_form_fault(pair)
        or _find_figure_fault(pair)
        or _find_surety_fault(pair.covariances)
    )


def _find_form_fault(pair: PairRecord) -> str:
    count = len(pair.means)
    lengths = [len(row) for row in pair.covariances]
    if lengths != list(range(count, 0, -1)):
        return 'its covariances are not those of its means'
    if not pair.sample_counts.keys() <= pair.means.keys():
        return 'it counts samples of an image that it has no mean of'
    return ''


def _find_figure_fault(pair: PairRecord) -> str:
    for count in pair.sample_counts.values():
        if not 0 <= count <= _MOST_SAMPLES:
            return 'it counts samples as nobody does'
    for mean in pair.means.values():
        if not abs(mean) <= _LARGEST_MEAN:
            return f'a mean of {mean:g} is none'
    for row in pair.covariances:
        for value in row:
            if not abs(value) <= _LARGEST_VARIANCE:
                return f'a covariance of {value:g} is none'
    return ''


def _find_surety_fault(covariances: t.Sequence[t.Sequence[float]]) -> str:
    """Return where a covariance matrix tells more than can be known.

    Each pivot of its elimination is the variance of an image if those before
    it were known. One near 0, or below, would be divided by, or make a
    sample count as better than none can be.
    """
    left = [list(row) for row in covariances]
    for place, row in enumerate(left):
        if row[0] < LEAST_VARIANCE:
            return f'a variance of {row[0]:g} is more than can be known'
        for after, value in enumerate(row[1:], 1):
            factor = value / row[0]
            left[place + after] = [
                known - factor * told
                for known, told in zip(
                    left[place + after], row[after:], strict=True
                )
            ]
    return ''


# -- swings -------------------------------------------------------------------


def _drop_swing_faults(swings: SwingRecord, faults: list[str]) -> SwingRecord:
    if not (is_period(swings.period_ms) and _is_load(swings.mean)):
        faults.append(
            f'swings: no period of {swings.period_ms:g} ms'
            f' around {swings.mean:g}'
        )
        return SwingRecord()
    waves = _keep(swings.waves, _find_wave_fault, 'swing of', faults)
    return attrs.evolve(swings, waves=waves)


def _find_wave_fault(wave: tuple[float, float, float]) -> str:
    return '' if all(map(_is_load, wave)) else 'it is no wave of a load'


def _is_load(value: float) -> bool:
    return math.isfinite(value) and abs(value) <= _LARGEST_LOAD
