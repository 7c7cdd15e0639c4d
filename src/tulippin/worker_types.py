"""Messages between an instance and its workers."""

from __future__ import annotations

import enum

import attrs

from tulippin.types import Resources


class RunState(enum.Enum):
    """State of one attempt on its worker."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'


@attrs.frozen
class StartTask:
    """Order to start an attempt, from its checkpoint if there is one."""

    task_id: str
    attempt: int
    job_class: str
    service: bool
    size: Resources
    run_ms: int
    checkpoint: str = ''


@attrs.frozen
class AttemptKey:
    """Key of one attempt on a worker."""

    task_id: str
    attempt: int


@attrs.frozen
class WorkerSync:
    """A message to a worker: leases, starts and stops, in that order.

    A worker refuses a lower epoch, and within one epoch a sequence that
    is not higher than the previous one. ``lease_until_ms`` is a time of
    the worker's clock, based on its last report, so that a delayed sync
    never extends a lease beyond the time that the sender assumes. Starts
    are valid for the worker's ``incarnation`` only: a restarted worker
    refuses them, because it may have run them before.
    """

    worker_id: str
    epoch: int
    sequence: int
    lease_until_ms: int
    incarnation: str = ''
    renew: tuple[AttemptKey, ...] = ()
    start: tuple[StartTask, ...] = ()
    stop: tuple[AttemptKey, ...] = ()
    throttle: tuple[AttemptKey, ...] = ()
    forget: tuple[AttemptKey, ...] = ()


@attrs.frozen
class RunReport:
    """State of one attempt in a worker's report."""

    task_id: str
    attempt: int
    state: RunState
    checkpoint: str = ''
    progress_ms: int = 0
    throttled: bool = False


@attrs.frozen
class UsageSample:
    """Measured use and slowdown of one attempt.

    The age of the measurement is ``usage_age_ms`` of the report.
    """

    task_id: str
    attempt: int
    used: Resources
    slowdown: float = 1.0


@attrs.frozen
class WorkerReport:
    """A worker's reply to a sync.

    It lists all attempts on the worker. The usage samples are older, by
    ``usage_age_ms``.
    """

    worker_id: str
    incarnation: str
    clock_ms: int
    runs: tuple[RunReport, ...]
    busy_slots: int = 0
    leaving: bool = False
    usage: tuple[UsageSample, ...] = ()
    usage_age_ms: int = 0
