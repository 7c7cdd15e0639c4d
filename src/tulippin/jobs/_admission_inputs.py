"""Summarizes what an instance knows for the admission of one job."""

from __future__ import annotations

import typing as t

from tulippin.jobs import _task_limits, _unit_capacity
from tulippin.jobs.admission import Rejection, UnitLoad
from tulippin.jobs.records import LeaseRecord, UnitCapacity
from tulippin.jobs.types import JobRequest, Queue, Step

if t.TYPE_CHECKING:
    from tulippin.jobs.shell import SchedulerShell
    from tulippin.jobs.unit_shell import UnitShell

# A new owner finds out in this time which runs go on in its unit.
_SETTLING_MS: t.Final = 3000
# Usual answer time of the store above which no job is rejected: a write of an
# earlier call may then be executed after another instance has read that the
# job doesn't exist. Usually it is 4 to 9 ms.
_MAX_ANSWER_S: t.Final = 0.1


def assess_job(
    shell: SchedulerShell, job_id: str, queue: Queue, request: JobRequest
) -> Rejection | None:
    """Return why a new job is to be rejected, or None to accept it."""
    if not shell.config.features.has_admission:
        return None
    if shell.configuration is None or job_id in shell.admission.sent_ids:
        return None
    if shell.answer_times.usual_s > _MAX_ANSWER_S:
        return None
    now_ms = shell.clock()
    return shell.admission.assess(
        job_id,
        queue,
        request,
        make_loads(shell.units, request, now_ms, shell.list_evacuated_units()),
        shell.configuration.queues,
        now_ms,
    )


def note_sent(
    shell: SchedulerShell,
    job_id: str,
    queue: Queue,
    request: JobRequest,
    number: int,
) -> None:
    """Note that a job is about to be sent to a unit."""
    if shell.config.features.has_admission:
        load = make_load(shell.units[number], request, shell.clock())
        shell.admission.note_sent(job_id, queue, request, load)


def get_elapsed_ms(shell: SchedulerShell, job_id: str) -> int:
    """Return the time since the first call of a job that was rejected here.

    Counted from its acceptance, it would precede jobs that can still be in
    time, while its own time is over.
    """
    if not shell.config.features.has_admission:
        return 0
    return shell.admission.get_elapsed_ms(job_id, shell.clock())


def make_loads(
    units: t.Mapping[int, UnitShell],
    request: JobRequest,
    now_ms: int,
    evacuated_units: t.Collection[int] = (),
) -> list[UnitLoad]:
    """Return what the leases of all units say for a new job."""
    return [
        make_load(unit, request, now_ms, is_evacuated=number in evacuated_units)
        for number, unit in units.items()
    ]


def make_load(
    unit: UnitShell,
    request: JobRequest,
    now_ms: int,
    *,
    is_evacuated: bool = False,
) -> UnitLoad:
    """Return what the lease of a unit says for a new job."""
    number = unit.config.unit.number
    seen_ms = get_seen_ms(unit)
    lease = unit.lease
    if lease is None:
        return UnitLoad(number, now_ms - seen_ms, seen_ms, is_settled=False)
    return UnitLoad(
        number,
        now_ms - seen_ms,
        seen_ms,
        is_settled=_is_settled(lease, unit),
        is_usable=lease.room.capacity_millicores > 0 and not is_evacuated,
        may_start=_may_start(request, lease.room),
        backlogs=lease.backlogs,
    )


def count_kept_tasks(shell: SchedulerShell) -> dict[int, int]:
    """Return the tasks of each unit, with those sent since its lease."""
    return {
        number: _task_limits.get_published(unit.lease)
        + shell.sent_tasks.get(number, get_seen_ms(unit))
        for number, unit in shell.units.items()
    }


def get_seen_ms(unit: UnitShell) -> int:
    """Return when the last change of a lease was seen.

    An owner doesn't read its own lease, which is known from when its renewal
    was sent.
    """
    if unit.is_owner:
        return unit.state.ownership.renewed_ms
    return unit.lease_seen_ms


def _is_settled(lease: LeaseRecord, unit: UnitShell) -> bool:
    """Whether a unit is loaded and its owner has had it for some seconds.

    Each epoch counts its renewals from zero, at an interval that is at least
    the usual one.
    """
    if lease.is_loading or lease.released:
        return False
    if unit.is_owner and unit.state.ownership.must_confirm:
        return False
    held_ms = lease.renewal_count * unit.config.renew_every_ms
    return held_ms >= _SETTLING_MS


def _may_start(request: JobRequest, room: UnitCapacity) -> bool:
    """Whether all first steps of a job may start in a unit at once.

    The tasks of another image may wait there for workers that bear them, while
    those of the job's image don't wait.
    """
    return all(
        _may_start_step(step, room) for step in request.steps if not step.after
    )


def _may_start_step(step: Step, room: UnitCapacity) -> bool:
    if step.opportunistic:
        return not room.waiting_millicores.get(step.image, 0)
    fit_count = _unit_capacity.count_fitting(
        room, step.size.cpu_millicores, is_short=True
    )
    return fit_count >= step.task_count
