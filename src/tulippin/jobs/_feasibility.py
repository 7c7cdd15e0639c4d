"""Hard conditions on the workers for a task, which no policy overrides."""

from __future__ import annotations

import enum
import typing as t

from tulippin.jobs import (
    _advice,
    _evacuation,
    _interference,
    _own_misses,
    _probation,
    _worker_leases,
)
from tulippin.jobs.state import Job, SchedulerState, Task, Worker
from tulippin.jobs.types import Step

# Share of a worker's memory that opportunistic tasks leave free, so that
# urgent tasks start without preemption: a base share, and more in proportion
# to the free processors. Typical urgent tasks take half as much memory per
# processor as the workers have.
_BASE_MEMORY_SHARE: t.Final = 0.05
_MEMORY_SHARE_PER_FREE_CPU_SHARE: t.Final = 0.6
# A worker with tasks is polled once a second; a lost answer makes that 1.4 s.
_MAX_REPORT_AGE_MS: t.Final = 1600
# Maximum age of the entry of a worker that doesn't enforce its capacity. A
# reduced capacity takes effect 3 s and a heartbeat later; its entry is written
# up to a heartbeat after that, and read within a second.
_MAX_ENTRY_AGE_MS: t.Final = 3000
_PERCENT: t.Final = 100


class Obstacle(enum.Enum):
    """Why a worker can't take a task."""

    NO_CAPACITY = 'no_capacity'
    STALE_TAILS = 'stale_tails'
    BUSY = 'busy'
    KEPT_MEMORY = 'kept_memory'
    TARGET_MISSED = 'target_missed'
    UNLISTED = 'unlisted'
    UNCONFIRMED = 'unconfirmed'
    SILENT = 'silent'
    LEAVING = 'leaving'
    EVACUATED = 'evacuated'
    LIMITED_LEASE = 'limited_lease'
    OUTDATED_ENTRY = 'outdated_entry'
    PAUSED = 'paused'
    OTHER_SERVICE = 'other_service'
    LABEL = 'label'
    TICKET = 'ticket'
    WORKER_LIMIT = 'worker_limit'
    PROBATION = 'probation'


def is_feasible(
    worker: Worker, job: Job, task: Task, step: Step, state: SchedulerState
) -> bool:
    """Whether a worker meets all hard conditions of a task and has capacity."""
    return find_obstacle(worker, job, task, step, state) is None


def find_obstacle(
    worker: Worker,
    job: Job,
    task: Task,
    step: Step,
    state: SchedulerState,
    *,
    has_waited: bool = False,
    pace_percent: int = 100,
) -> Obstacle | None:
    """Return the first hard condition that a worker doesn't meet, or None.

    Parameters
    ----------
    worker : Worker
        The worker to check.
    job, task, step : Job, Task, Step
        The task to start.
    state : SchedulerState
        Holds the configuration and what is known of the worker.
    has_waited : bool
        Whether the task may use the memory that is kept for urgent tasks: no
        such task may come for as long as it waits, and those that come can
        preempt it.
    pace_percent : int
        The pace at which an opportunistic task would start.
    """
    if not worker.has_capacity(step.reserved):
        return Obstacle.NO_CAPACITY
    if step.opportunistic:
        if has_stale_tails(worker, state):
            return Obstacle.STALE_TAILS
        if not _fits_idle_processors(worker, step, pace_percent):
            return Obstacle.BUSY
        if lacks_memory(worker, step) and not has_waited:
            return Obstacle.KEPT_MEMORY
        if _own_misses.pauses_runs(worker, state):
            return Obstacle.TARGET_MISSED
    return find_closure(worker, job, task, step, state)


def is_open(
    worker: Worker, job: Job, task: Task, step: Step, state: SchedulerState
) -> bool:
    """Whether a worker may run a task, apart from its free capacity."""
    return find_closure(worker, job, task, step, state) is None


def find_closure(
    worker: Worker, job: Job, task: Task, step: Step, state: SchedulerState
) -> Obstacle | None:
    """Return why a worker may not run a task whatever its free capacity."""
    refusal = find_run_refusal(worker, state)
    if refusal is not None:
        return refusal
    entry = worker.entry
    if entry.service != job.queue.service:
        return Obstacle.OTHER_SERVICE
    if step.required_label and step.required_label not in entry.labels:
        return Obstacle.LABEL
    if job.queue.advised and not _advice.get_ticket(worker, job, task, state):
        return Obstacle.TICKET
    if not _is_below_worker_limit(worker, task, step):
        return Obstacle.WORKER_LIMIT
    may_start = _probation.may_start_beside(worker, task, state)
    return None if may_start else Obstacle.PROBATION


def fits_when_idle(worker: Worker, job: Job, step: Step) -> bool:
    """Whether a listed worker could run a task if it ran nothing else."""
    entry = worker.entry
    if not worker.is_listed or entry.capacity is None:
        return False
    has_label = not step.required_label or step.required_label in entry.labels
    is_of_service = entry.service == job.queue.service
    return is_of_service and has_label and entry.capacity.fits(step.size)


def accepts_runs(worker: Worker, state: SchedulerState) -> bool:
    """Whether new runs may be started on a worker."""
    return find_run_refusal(worker, state) is None


def find_run_refusal(worker: Worker, state: SchedulerState) -> Obstacle | None:
    """Return why no new run may be started on a worker, or None.

    It has to be listed, in the durable roster, reconciled and responding, and
    must not be draining, evacuated, quarantined or paused. A start order must
    not outlast the leases that may be granted there at present. After a restart
    its entry has to be a new one, as capacity, labels and service may differ.
    """
    if _evacuation.is_closed(worker, state):
        return Obstacle.EVACUATED
    if not (worker.is_listed and worker.is_rostered):
        return Obstacle.UNLISTED
    if not worker.is_reconciled:
        return Obstacle.UNCONFIRMED
    if not (
        worker.entry.capacity is not None
        and worker.is_entry_current
        and _is_capacity_confirmed(worker, state)
    ):
        return Obstacle.OUTDATED_ENTRY
    if worker.failed_count:
        return Obstacle.SILENT
    if worker.entry.draining:
        return Obstacle.LEAVING
    if not _worker_leases.may_get_starts(worker, state):
        return Obstacle.LIMITED_LEASE
    blocked_until_ms = max(worker.quarantined_until_ms, worker.paused_until_ms)
    return Obstacle.PAUSED if blocked_until_ms > state.now_ms else None


def _is_capacity_confirmed(worker: Worker, state: SchedulerState) -> bool:
    """Whether a worker enforces its capacity or has a current entry.

    Workers that don't enforce their capacity start whatever they are ordered
    to. Nothing is started there on an outdated entry, as while the store is
    unavailable, or while the worker has orphaned runs.
    """
    current_configuration = state.configuration
    if (
        current_configuration is None
        or worker.entry.service
        in current_configuration.capacity_enforcing_services
    ):
        return True
    is_recent = state.now_ms - worker.entry_read_ms <= _MAX_ENTRY_AGE_MS
    return is_recent and not worker.orphaned_runs


def list_available(state: SchedulerState) -> list[Worker]:
    """Return the workers on which new runs may be started."""
    return [one for one in state.workers.values() if accepts_runs(one, state)]


def has_stale_tails(worker: Worker, state: SchedulerState) -> bool:
    """Whether a worker serves tasks whose latency tails are out of date."""
    is_old = state.now_ms - worker.answered_ms > _MAX_REPORT_AGE_MS
    return is_old and bool(worker.serving)


def _is_below_worker_limit(worker: Worker, task: Task, step: Step) -> bool:
    """Whether a worker is below the step's limit of tasks per worker."""
    if not step.max_per_worker:
        return True
    sibling_count = sum(
        1
        for attempt in worker.attempts.values()
        if attempt.key[:3] == task.key[:3]
    )
    return sibling_count < step.max_per_worker


def _fits_idle_processors(
    worker: Worker, step: Step, pace_percent: int
) -> bool:
    """Whether a worker has enough idle processors for a task at a pace."""
    wanted = step.size.cpu_millicores * pace_percent / _PERCENT
    used = _interference.get_used(worker) + wanted
    return used <= worker.entry.capacity.cpu_millicores


def lacks_memory(worker: Worker, step: Step) -> bool:
    """Whether a task would use memory that is kept for urgent tasks.

    What slow-started runs hold counts as free, as they give it back.
    """
    yielding_mb = sum(
        one.step.reserved.memory_mb
        for one in worker.fillers.values()
        if one.is_slow_start
    )
    return _is_kept(worker, step.reserved.memory_mb - yielding_mb)


def uses_kept_memory(worker: Worker) -> bool:
    """Whether the runs on a worker use memory that is kept for urgent tasks."""
    return worker.entry.capacity is not None and _is_kept(worker, 0)


def _is_kept(worker: Worker, wanted_mb: int) -> bool:
    free = worker.free
    capacity = worker.entry.capacity
    free_share = free.cpu_millicores / max(1, capacity.cpu_millicores)
    kept_share = (
        _BASE_MEMORY_SHARE + _MEMORY_SHARE_PER_FREE_CPU_SHARE * free_share
    )
    return free.memory_mb - wanted_mb < capacity.memory_mb * kept_share
