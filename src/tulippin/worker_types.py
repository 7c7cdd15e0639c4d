"""What an instance tells a worker and what the worker reports back."""

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
    """Start one attempt, from a checkpoint where one is given."""

    task_id: str
    attempt: int
    job_class: str
    service: bool
    size: Resources
    run_ms: int
    checkpoint: str = ''


@attrs.frozen
class AttemptKey:
    """Names one attempt on a worker."""

    task_id: str
    attempt: int


@attrs.frozen
class WorkerSync:
    """One message to a worker: leases, starts, stops, in that order.

    A worker refuses a lower epoch, and within one epoch a sequence that
    is not above the last. ``lease_until_ms`` is a time of the worker's
    own clock, taken from its last report, so that a delayed sync never
    extends a lease beyond what its sender reckons with. Starts are for
    the worker's ``incarnation`` only: one that has restarted refuses
    them, for it may have run them before.
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
    """One attempt in a worker's report."""

    task_id: str
    attempt: int
    state: RunState
    checkpoint: str = ''
    progress_ms: int = 0
    throttled: bool = False


@attrs.frozen
class UsageSample:
    """Use of one attempt, with the age of the measurement."""

    task_id: str
    attempt: int
    used: Resources
    slowdown: float = 1.0


@attrs.frozen
class WorkerReport:
    """A worker's reply to a sync: all it holds, and a lagging usage."""

    worker_id: str
    incarnation: str
    clock_ms: int
    runs: tuple[RunReport, ...]
    busy_slots: int = 0
    leaving: bool = False
    usage: tuple[UsageSample, ...] = ()
    usage_age_ms: int = 0
