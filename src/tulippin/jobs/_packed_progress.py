"""Progress of a job in less space, for rows that would be too large.

Tasks with equal values share them, and the crashes under many tasks share one
description of the crashed worker.
"""

from __future__ import annotations

import itertools
import typing as t

import attrs

from tulippin.jobs.records import CrashRecord, ProgressRecord, StepRange
from tulippin.jobs.types import JobState

# Names are ``OCCURRENCE.STEP.INDEX``; the first two parts name a step.
_SEPARATOR: t.Final = '.'
# Bound on the steps of all occurrences that a record may list.
_MAX_STEPS: t.Final = 2_000_000

_Value = t.TypeVar('_Value', bound=t.Hashable)
# By the name of a step, the distance of each task's index to the one before.
_Tasks = dict[str, tuple[int, ...]]
# By the name of a step: distances, runs, ages and positions.
_CrashColumns = dict[str, tuple[tuple[int, ...], ...]]


@attrs.frozen
class PackedProgress:
    """A ``ProgressRecord`` whose tasks are grouped by equal values.

    The first ``complete_count`` entries of ``done`` are of occurrences that
    are complete. Versions that don't know this field read them as any others.
    """

    state: JobState
    done: tuple[StepRange, ...] = ()
    failures: tuple[tuple[tuple[int, ...], _Tasks], ...] = ()
    passed: tuple[tuple[tuple[int, int, int], _Tasks], ...] = ()
    avoided: tuple[tuple[tuple[str, ...], _Tasks], ...] = ()
    crashes: tuple[tuple[CrashRecord, _CrashColumns], ...] = ()
    started: tuple[tuple[tuple[int, str], _Tasks], ...] = ()
    reason: str = ''
    places: tuple[tuple[tuple[str, ...], _Tasks], ...] | None = None
    begun: tuple[StepRange, ...] | None = None
    doubts: int = 0
    moved_to: int | None = None
    complete_count: int = 0


def pack(record: ProgressRecord) -> PackedProgress:
    """Return a progress record in less space."""
    return PackedProgress(
        record.state,
        record.complete + _pack_bits(record.done),
        _pack_groups(_freeze(record.failures)),
        _pack_groups(record.passed),
        _pack_groups(_freeze(record.avoided)),
        _pack_crashes(record.crashes),
        _pack_groups(record.started),
        record.reason,
        None if record.places is None else _pack_groups(record.places),
        None if record.begun is None else _pack_bits(record.begun),
        record.doubts,
        record.moved_to,
        len(record.complete),
    )


def unpack(packed: PackedProgress) -> ProgressRecord:
    """Return the progress record that was packed.

    Raises
    ------
    ValueError
        If the packed record is malformed.
    """
    return ProgressRecord(
        packed.state,
        _unpack_bits(packed.done[packed.complete_count :]),
        {name: list(runs) for name, runs in _unpack_groups(packed.failures)},
        dict(_unpack_groups(packed.passed)),
        {name: list(ids) for name, ids in _unpack_groups(packed.avoided)},
        _unpack_crashes(packed.crashes),
        dict(_unpack_groups(packed.started)),
        packed.reason,
        None if packed.places is None else dict(_unpack_groups(packed.places)),
        None if packed.begun is None else _unpack_bits(packed.begun),
        packed.doubts,
        packed.moved_to,
        packed.done[: packed.complete_count],
    )


def _freeze(
    lists: t.Mapping[str, t.Iterable[_Value]],
) -> dict[str, tuple[_Value, ...]]:
    return {name: tuple(values) for name, values in lists.items()}


# -- bits of steps ------------------------------------------------------------


def _pack_bits(bits: t.Mapping[str, str]) -> tuple[StepRange, ...]:
    """Join consecutive occurrences of a step that have the same bits."""
    ranges: list[StepRange] = []
    entries = sorted(
        (int(number), int(occurrence), bits[name])
        for name in bits
        for occurrence, number in (name.split(_SEPARATOR),)
    )
    for number, occurrence, text in entries:
        if ranges:
            step, first, count, last_text = ranges[-1]
            if (step, first + count, last_text) == (number, occurrence, text):
                ranges[-1] = (step, first, count + 1, text)
                continue
        ranges.append((number, occurrence, 1, text))
    return tuple(ranges)


def _unpack_bits(ranges: t.Iterable[StepRange]) -> dict[str, str]:
    ranges = tuple(ranges)
    if sum(max(0, count) for _, _, count, _ in ranges) > _MAX_STEPS:
        raise ValueError('too many steps')
    return {
        f'{occurrence}.{number}': text
        for number, first, count, text in ranges
        for occurrence in range(first, first + count)
    }


# -- tasks of equal values ----------------------------------------------------


def _split_name(name: str) -> tuple[str, int]:
    """Return the step and the index in the name of a task."""
    step, _, index = name.rpartition(_SEPARATOR)
    return step, int(index)


def _pack_groups(
    values: t.Mapping[str, _Value],
) -> tuple[tuple[_Value, _Tasks], ...]:
    groups: dict[_Value, dict[str, list[int]]] = {}
    for name, value in values.items():
        step, index = _split_name(name)
        groups.setdefault(value, {}).setdefault(step, []).append(index)
    return tuple(
        (
            value,
            {
                step: _get_distances(sorted(indexes))
                for step, indexes in steps.items()
            },
        )
        for value, steps in groups.items()
    )


def _unpack_groups(
    groups: t.Iterable[tuple[_Value, _Tasks]],
) -> t.Iterator[tuple[str, _Value]]:
    for value, steps in groups:
        for step, distances in steps.items():
            for index in itertools.accumulate(distances):
                yield f'{step}.{index}', value


def _get_distances(indexes: t.Sequence[int]) -> tuple[int, ...]:
    """Return the first of some sorted numbers and the steps between them."""
    earlier = (0, *indexes)
    return tuple(map(int.__sub__, indexes, earlier))


# -- crashes ------------------------------------------------------------------


def _pack_crashes(
    crashes: t.Mapping[str, tuple[CrashRecord, ...]],
) -> tuple[tuple[CrashRecord, _CrashColumns], ...]:
    """Group crashes by all that isn't a task's own: its run and age."""
    groups: dict[CrashRecord, dict[str, list[tuple[int, ...]]]] = {}
    for name, records in crashes.items():
        step, index = _split_name(name)
        for position, crash in enumerate(records):
            shared = attrs.evolve(crash, run=0, age_ms=0)
            rows = groups.setdefault(shared, {}).setdefault(step, [])
            rows.append((index, crash.run, crash.age_ms, position))
    return tuple(
        (
            shared,
            {step: _make_columns(sorted(rows)) for step, rows in steps.items()},
        )
        for shared, steps in groups.items()
    )


def _make_columns(
    rows: t.Iterable[tuple[int, ...]],
) -> tuple[tuple[int, ...], ...]:
    indexes, *columns = zip(*rows, strict=True)
    return (_get_distances(indexes), *columns)


def _unpack_crashes(
    groups: t.Iterable[tuple[CrashRecord, _CrashColumns]],
) -> dict[str, tuple[CrashRecord, ...]]:
    found: dict[str, list[tuple[int, CrashRecord]]] = {}
    for shared, steps in groups:
        for step, (distances, *columns) in steps.items():
            indexes = itertools.accumulate(distances)
            for index, run, age_ms, position in zip(
                indexes, *columns, strict=True
            ):
                crash = attrs.evolve(shared, run=run, age_ms=age_ms)
                found.setdefault(f'{step}.{index}', []).append(
                    (position, crash)
                )
    return {
        name: tuple(
            crash for _, crash in sorted(records, key=lambda one: one[0])
        )
        for name, records in found.items()
    }
