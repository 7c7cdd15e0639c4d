"""How many long-running tasks a unit gives to emptier ones.

Long-running work is handed in by many callers at once, each of whose
instances knows only what owners told up to a second ago: a dozen units got
between half and twice the mean. Nothing evens that out later, as such
tasks stay for minutes, and urgent tasks then find no place for good in the
units that got most: 25 of 192 urgent jobs never began on a quiet day of
446 workers, 23 of them in the seven fullest of 16 units.

So a unit that looks fuller than the others keeps its new long-running
tasks for a moment, until the others' rooms tell of what came meanwhile,
and passes on what it has too much.
"""

from __future__ import annotations

import collections
import typing as t
import zlib

import attrs

from tulippin.jobs import _rooms, _unseen
from tulippin.jobs._ready import StepKey
from tulippin.jobs.records import UnitRoom
from tulippin.jobs.state import Job, SchedulerState
from tulippin.jobs.types import Step

# Owners tell their rooms every 0.5 s, and read the others' 0.45 s apart.
_ROOMS_TOLD_MS: t.Final = 1000
# A tick later what is too much has been passed on; if not, it stays.
_KEPT_MS: t.Final = 1500
# How much fuller than the mean a unit may be: a job of the users' sheets
# fills a unit by 0.06 to 0.11, and passing on costs two transactions.
_MARGIN: t.Final = 0.06
# Half a step more or less is as near to the mean as whole steps come.
_LEAST_PART: t.Final = 0.5
_RANDOM_RANGE: t.Final = 0xFFFFFFFF


@attrs.frozen
class _Balance:
    """A unit's room beside the mean of all, in millicores.

    ``surplus`` is what it has too much, ``deficits`` what each of the
    emptier units lacks of the mean.
    """

    surplus: float
    deficits: dict[int, float]


def list_held(state: SchedulerState) -> frozenset[StepKey]:
    """Return the steps that wait to be passed on, if the unit is too full."""
    held = frozenset(kind for kind in state.ready if _is_new(kind, state))
    if held and _weigh(state).surplus > 0:
        return held
    return frozenset()


def _is_new(kind: StepKey, state: SchedulerState) -> bool:
    """Whether a step's tasks may yet be passed on to even units out."""
    job = state.jobs[kind[0]]
    is_young = state.now_ms - job.known_ms < _KEPT_MS
    return is_young and _may_leave(job, job.request.steps[kind[2]], state)


def choose_units(state: SchedulerState) -> dict[StepKey, int]:
    """Return the waiting steps that leave, each with the unit it goes to.

    A step leaves whole: in pieces its image would be served in many units,
    beside more others, and what disturbs any of them finds no place. Each
    goes to a unit drawn by what the emptier ones lack: if all went to the
    emptiest, several owners would fill it in the same moment.
    """
    due = _list_due(state)
    if not due:
        return {}
    balance = _weigh(state)
    deficits = dict(balance.deficits)
    surplus = balance.surplus
    chosen = {}
    for kind, step, size in due:
        if surplus < _LEAST_PART * size:
            continue
        unit = _draw(deficits, kind, size, step, state)
        if unit is not None:
            chosen[kind] = unit
            deficits[unit] -= size
            surplus -= size
    return chosen


def _list_due(
    state: SchedulerState,
) -> list[tuple[StepKey, Step, int]]:
    """Return waiting steps with their processors, the lonely ones first.

    Those whose image the unit serves least lose nothing by going.
    """
    found = []
    for kind, tasks in state.ready.items():
        job = state.jobs[kind[0]]
        step = job.request.steps[kind[2]]
        is_told = state.now_ms - job.known_ms >= _ROOMS_TOLD_MS
        if not (is_told and _may_leave(job, step, state)):
            continue
        if not any(task.has_run or task.attempts for task in tasks.values()):
            size = len(tasks) * step.size.cpu_millicores
            found.append((kind, step, size))
    served = _count_images(state) if len(found) > 1 else {}
    found.sort(key=lambda one: (served.get(one[1].image, 0), one[0]))
    return found


def _count_images(state: SchedulerState) -> collections.Counter[str]:
    """Return how many tasks of each image the unit serves."""
    return collections.Counter(
        attempt.step.image
        for worker in state.workers.values()
        for attempt in worker.serving.values()
    )


def _may_leave(job: Job, step: Step, state: SchedulerState) -> bool:
    """Whether a job's tasks may go elsewhere before their first run.

    Those that were passed on once stay: they would wander.
    """
    if not step.long_running or step.gang or not state.rooms:
        return False
    if _unseen.holds_back(job, step):
        return False
    return not (job.is_guest or job.is_resumed)


def _weigh(state: SchedulerState) -> _Balance:
    own = _rooms.measure_asked(state)
    rooms = [own, *state.rooms.values()]
    capacity = sum(room.capacity_millicores for room in rooms)
    mean = sum(room.reserved_millicores for room in rooms) / max(1, capacity)
    return _Balance(
        _get_excess(own, mean + _MARGIN),
        {
            number: -_get_excess(room, mean)
            for number, room in state.rooms.items()
            if _get_excess(room, mean) < 0
        },
    )


def _get_excess(room: UnitRoom, fullness: float) -> float:
    """Return by how much a unit is fuller than so, in millicores."""
    return room.reserved_millicores - fullness * room.capacity_millicores


def _draw(
    deficits: dict[int, float],
    kind: StepKey,
    size: int,
    step: Step,
    state: SchedulerState,
) -> int | None:
    """Return a unit that lacks a step's size, by the step's name.

    One that serves the step's image already is preferred.
    """
    able = [
        number
        for number, lacking in deficits.items()
        if lacking >= _LEAST_PART * size
        and _rooms.has_place(state.rooms[number], step, is_new=True)
    ]
    alike = [
        number for number in able if step.image in state.rooms[number].images
    ]
    able = alike or able
    if not able:
        return None
    drawn = zlib.crc32(repr(kind).encode()) / _RANDOM_RANGE
    left = drawn * sum(deficits[number] for number in able)
    for number in able:
        left -= deficits[number]
        if left <= 0:
            return number
    return able[-1]
