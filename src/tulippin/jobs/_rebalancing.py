"""Rebalances new long-running steps over the units.

Many callers submit long-running work at the same time through instances that
know the load of units with a delay of up to a second, so that of a dozen units
some received half and some twice the mean. The imbalance persists, as such
tasks run for minutes, and urgent tasks find no capacity in the fullest units:
25 of 192 urgent jobs never began in a lightly loaded deployment of 446
workers, 23 of them in the seven fullest of 16 units.

So a unit above the mean load holds back its new long-running tasks until the
other units have published their current load, and transfers its surplus.
"""

from __future__ import annotations

import collections
import typing as t
import zlib

import attrs

from tulippin.jobs import _unconfirmed_runs, _unit_capacity
from tulippin.jobs._ready_queues import StepKey
from tulippin.jobs.records import UnitCapacity
from tulippin.jobs.state import Job, SchedulerState
from tulippin.jobs.types import Step

# Delay until the load that arrived together with a job is known: owners publish
# it every 0.5 s, and read that of others every 0.45 s.
_LOAD_DELAY_MS: t.Final = 1000
# By this age of a job its surplus has been transferred; otherwise it stays.
_MAX_HOLD_MS: t.Final = 1500
# Load above the mean that is tolerated: a typical job adds 0.06 to 0.11 to the
# load of a unit, and a transfer costs two transactions.
_LOAD_MARGIN: t.Final = 0.06
# A transfer brings both units closer to the mean only if at least this part of
# the step is surplus here and missing there.
_MIN_STEP_PART: t.Final = 0.5
_RANDOM_RANGE: t.Final = 0xFFFFFFFF


@attrs.frozen
class _Balance:
    """The load of this unit relative to the mean of all units.

    Parameters
    ----------
    surplus : float
        Millicores above the tolerated load; negative if below.
    deficits : dict of int to float
        Millicores that each unit below the mean lacks.
    """

    surplus: float
    deficits: dict[int, float]


def list_held_steps(state: SchedulerState) -> frozenset[StepKey]:
    """Return the new steps that are held back while the unit is too full."""
    held_steps = frozenset(
        step_key for step_key in state.ready if _is_new(step_key, state)
    )
    if held_steps and _compute_balance(state).surplus > 0:
        return held_steps
    return frozenset()


def _is_new(step_key: StepKey, state: SchedulerState) -> bool:
    """Whether a step is recent enough to be transferred for rebalancing."""
    job = state.jobs[step_key[0]]
    is_recent = state.now_ms - job.first_seen_ms < _MAX_HOLD_MS
    return is_recent and _may_transfer(
        job, job.request.steps[step_key[2]], state
    )


def choose_units(state: SchedulerState) -> dict[StepKey, int]:
    """Return the steps to transfer, each with the unit that receives it.

    A step is transferred as a whole: split up, its image would be served in
    many units next to more other images, and opportunistic tasks that disturb
    any of them would find no worker. The unit is drawn with probabilities in
    proportion to the deficits: if all went to the emptiest unit, several
    owners would fill it at the same time.
    """
    due = _list_due(state)
    if not due:
        return {}
    balance = _compute_balance(state)
    deficits = dict(balance.deficits)
    surplus = balance.surplus
    chosen = {}
    for step_key, step, size in due:
        if surplus < _MIN_STEP_PART * size:
            continue
        unit = _draw_unit(deficits, step_key, size, step, state)
        if unit is not None:
            chosen[step_key] = unit
            deficits[unit] -= size
            surplus -= size
    return chosen


def _list_due(
    state: SchedulerState,
) -> list[tuple[StepKey, Step, int]]:
    """Return steps that may be transferred now, with their processors.

    Steps whose image the unit serves least come first, as they gain least from
    staying.
    """
    found = []
    for step_key, tasks in state.ready.items():
        job = state.jobs[step_key[0]]
        step = job.request.steps[step_key[2]]
        is_load_known = state.now_ms - job.first_seen_ms >= _LOAD_DELAY_MS
        if not (is_load_known and _may_transfer(job, step, state)):
            continue
        if not any(task.has_run or task.attempts for task in tasks.values()):
            size = len(tasks) * step.size.cpu_millicores
            found.append((step_key, step, size))
    served = _count_images(state) if len(found) > 1 else {}
    found.sort(key=lambda one: (served.get(one[1].image, 0), one[0]))
    return found


def _count_images(state: SchedulerState) -> collections.Counter[str]:
    """Return the number of serving tasks in the unit by image."""
    return collections.Counter(
        attempt.step.image
        for worker in state.workers.values()
        for attempt in worker.serving.values()
    )


def _may_transfer(job: Job, step: Step, state: SchedulerState) -> bool:
    """Whether a step's tasks may be transferred before their first run.

    Tasks that were transferred before stay, so that they don't move around.
    """
    if not step.long_running or step.gang or not state.unit_capacities:
        return False
    if _unconfirmed_runs.must_await_workers(job, step):
        return False
    return not (job.is_transferred or job.is_resumed)


def _compute_balance(state: SchedulerState) -> _Balance:
    """Compare the load of this unit with the mean of all units."""
    own_load = _unit_capacity.measure_load(state)
    capacities = [own_load, *state.unit_capacities.values()]
    capacity = sum(room.capacity_millicores for room in capacities)
    mean = sum(room.reserved_millicores for room in capacities) / max(
        1, capacity
    )
    return _Balance(
        _get_excess(own_load, mean + _LOAD_MARGIN),
        {
            number: -_get_excess(room, mean)
            for number, room in state.unit_capacities.items()
            if _get_excess(room, mean) < 0
        },
    )


def _get_excess(room: UnitCapacity, load: float) -> float:
    """Return the millicores reserved above a load; negative if below."""
    return room.reserved_millicores - load * room.capacity_millicores


def _draw_unit(
    deficits: dict[int, float],
    step_key: StepKey,
    size: int,
    step: Step,
    state: SchedulerState,
) -> int | None:
    """Return a unit with a deficit for a step, or None.

    The draw is deterministic for a step key. Units that already serve the
    step's image are preferred.
    """
    capable = [
        number
        for number, deficit in deficits.items()
        if deficit >= _MIN_STEP_PART * size
        and _unit_capacity.fits_in_unit(
            state.unit_capacities[number],
            step,
            state.jobs[step_key[0]].queue.service,
            is_new=True,
        )
    ]
    serving_units = [
        number
        for number in capable
        if step.image in state.unit_capacities[number].images
    ]
    capable = serving_units or capable
    if not capable:
        return None
    drawn = zlib.crc32(repr(step_key).encode()) / _RANDOM_RANGE
    remaining = drawn * sum(deficits[number] for number in capable)
    for number in capable:
        remaining -= deficits[number]
        if remaining <= 0:
            return number
    return capable[-1]
