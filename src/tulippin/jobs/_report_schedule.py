"""Decides when a worker is asked for its next report, and how long it waits.

A report answers a call that waits at the worker for the end of a run. Each end
completes the call, and a call costs the same whether it returns one end or
ten. So where nothing depends on the ends that are due next, the next call is
sent after a pause, and returns all ends of the pause. A pause ends early once a
report matters. Where no end is due, a call waits as long as the lease of the
worker and the age of the tails permit.

With ``Features.gathers_reports`` off, calls are not delayed, and their wait
depends only on what runs on the worker. The functions change only
``Worker.report_after_ms`` and ``Worker.report_reason``.
"""

from __future__ import annotations

import enum
import math
import typing as t

import attrs

from tulippin.jobs import _ownership, _probation, _ranking, _run_times
from tulippin.jobs._ready_queues import (
    OPPORTUNISTIC_PASS_INTERVAL_MS,
    get_step_key,
)
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import Step, TaskKey

# Longest pause. The runs of a worker that goes silent in a pause are given up
# later, as the next call may still renew its lease: 5.16 s after the silence
# began without pauses, 5.30 s with these. With pauses of up to 0.75 s it was
# 5.43 s, with 2.45 instead of 2.68 calls a second for each worker.
MAX_PAUSE_MS: t.Final = 250
# A shorter pause is not worth the delay.
_MIN_PAUSE_MS: t.Final = 20
# Time between two reports of a worker at most, with the pause, and so between
# two renewals of its lease: as without pauses. With a longer one, less of the
# lease may be left when a worker goes silent.
_MAX_REPORT_AGE_MS: t.Final = 1000
# The same where tasks have a latency target: their tails are compared with
# those of siblings on other workers, and are below 1 s old with a round trip.
_MAX_TAIL_AGE_MS: t.Final = 940
# The same where opportunistic tasks run beside them, far from their targets.
# A miss that begins just after a report is then seen after 0.8 s and paused
# 1.8 s later, which leaves 1.2 s of the 4 s that a miss may last.
_MAX_SHARED_TAIL_AGE_MS: t.Final = 800
# Wait of a call where opportunistic runs share processors with tasks that have
# a latency target, whose tails need frequent checks, and while an order is
# unconfirmed. With reports gathered, the former counts near a target only.
_SHARED_WAIT_MS: t.Final = 400
_PENDING_WAIT_MS: t.Final = 150
# Shortest wait of a call: without one, calls would follow each other at once.
_MIN_POLL_MS: t.Final = 50
# Ratio of tail to target from which a tail is near its target.
_NEAR_TARGET_RATIO: t.Final = 0.85
# A new owner learns within this time what runs on its workers, and times
# misses of targets from its first reports.
_NEW_OWNER_MS: t.Final = 3000
# Time before the next pass over waiting opportunistic tasks at which a pause
# ends, so that the places of ended runs are known to the pass: one tick.
_PASS_LEAD_MS: t.Final = 50
# Progress from which on the rest of a run is predicted by it. Before, a run
# may end after this share of the expected run time.
_MIN_PROGRESS_PERCENT: t.Final = 10
_EARLIEST_RUN_SHARE: t.Final = 0.5
# A run may end earlier than predicted by this share of the remaining time,
# and at least by the time between two ticks.
_EARLY_END_SHARE: t.Final = 0.15
_MIN_EARLY_END_MS: t.Final = 50
_FULL_PERCENT: t.Final = 100
# Time until ends that were read are durable, with a commit that gathers
# further ends for 0.12 s.
_COMMIT_MS: t.Final = 150
# A job is close to its objective if it is expected to meet it by less than
# this. With 450 ms on both sides, an overloaded unit committed 19 times a
# second instead of 11.
_DUE_SOON_MS: t.Final = 200
# A step with more tasks left isn't expected to be completed within a pause.
_MAX_LAST_RUNS: t.Final = 64
# A call that was answered sooner than this found its ends at the worker.
_PROMPT_ANSWER_MS: t.Final = 50

_PENDING_STATES: t.Final = frozenset(
    (AttemptState.DOUBTFUL, AttemptState.STOPPING)
)


class CallReason(enum.Enum):
    """Why a call for a report was not delayed, or no longer.

    ``RENEWAL`` is the call while no end is due soon, ``PAUSED`` the one after a
    full pause, and ``FIRST`` one that follows no report.
    """

    RENEWAL = 'renewal'
    PAUSED = 'paused'
    UNKNOWN_STATE = 'unknown_state'
    OPEN_ORDER = 'open_order'
    URGENT_RUN = 'urgent_run'
    URGENT_STEP = 'urgent_step'
    PLACE_WANTED = 'place_wanted'
    TAIL_NEAR_TARGET = 'tail_near_target'
    STEP_ENDS = 'step_ends'
    NEW_OWNER = 'new_owner'
    FIRST = 'first'
    NOT_GATHERED = 'not_gathered'


# -- pauses -----------------------------------------------------------------


def begin_pause(worker: Worker, state: SchedulerState) -> None:
    """Decide after a report when the next call is sent.

    Parameters
    ----------
    worker : Worker
        The worker, with the report applied.
    state : SchedulerState
        Holds the jobs of its runs.
    """
    worker.report_after_ms = 0
    if not state.config.features.gathers_reports:
        return
    _note_hidden_end(worker, state)
    reason = _find_reason(worker, state)
    if reason is None:
        reason, until_ms = _plan_pause(worker, state)
        if until_ms - state.now_ms >= _MIN_PAUSE_MS:
            worker.report_after_ms = until_ms
    worker.report_reason = reason.value


def end_pause(worker: Worker, reason: CallReason) -> None:
    """End the pause of a worker, if there is one: its report matters now."""
    if worker.report_after_ms:
        worker.report_after_ms = 0
        worker.report_reason = reason.value


def note_run(attempt: Attempt, worker: Worker) -> None:
    """End the pause of a worker that gets a run of an urgent task."""
    if _is_urgent(attempt.step):
        end_pause(worker, CallReason.URGENT_RUN)


def note_end(job: Job, key: TaskKey, state: SchedulerState) -> None:
    """End the pauses of workers whose next end may complete a step.

    Called for each task that is done. Predictions of the other runs' ends may
    be wrong, so that the last run of a step is not always known before.
    """
    step_key = (key.occurrence, key.step)
    is_on = state.config.features.gathers_reports
    if not is_on or job.remaining.get(step_key) != 1:
        return
    for attempt in _iter_undone(job, key, state):
        worker = state.workers.get(attempt.worker_id) if attempt else None
        if worker is not None:
            end_pause(worker, CallReason.STEP_ENDS)
            _note_hidden_end(worker, state)


def is_paused(worker: Worker, state: SchedulerState) -> bool:
    """Whether the next call to a worker is delayed at present."""
    if state.now_ms >= worker.report_after_ms:
        return False
    reason = _find_unit_reason(state)
    if reason is not None:
        end_pause(worker, reason)
    return reason is None


def _find_reason(worker: Worker, state: SchedulerState) -> CallReason | None:
    """Return why a worker gets its next call without a pause, if so."""
    if _is_state_unknown(worker, state):
        return CallReason.UNKNOWN_STATE
    if state.now_ms - state.ownership.taken_ms < _NEW_OWNER_MS:
        return CallReason.NEW_OWNER
    if has_open_order(worker):
        return CallReason.OPEN_ORDER
    if any(_is_urgent(one.step) for one in worker.attempts.values()):
        return CallReason.URGENT_RUN
    if _is_near_target(worker):
        return CallReason.TAIL_NEAR_TARGET
    return _find_unit_reason(state)


def _is_state_unknown(worker: Worker, state: SchedulerState) -> bool:
    """Whether a worker has to be asked what it runs, or whom it obeys."""
    if not worker.is_reconciled or worker.failed_count:
        return True
    if worker.deferred_ends or worker.is_report_cut:
        return True
    return bool(state.suspects) or _ownership.is_unconfirmed(state)


def has_open_order(worker: Worker) -> bool:
    """Whether a report may confirm an order that its answer did not."""
    if worker.orphaned_runs or _probation.has_probation(worker):
        return True
    return any(
        attempt.state in _PENDING_STATES for attempt in worker.attempts.values()
    )


def _is_urgent(step: Step) -> bool:
    """Whether the end of a step's task always has to be read at once."""
    return not (step.opportunistic or step.long_running)


def _is_near_target(worker: Worker) -> bool:
    """Whether opportunistic runs endanger a latency target on a worker.

    A tail that is not known yet may be near its target, and where a run is
    slowed, reports tell when it may go on.
    """
    if not (worker.serving and worker.fillers):
        return False
    if worker.targets_missed_since_ms:
        return True
    for attempt in worker.fillers.values():
        if attempt.is_slow_start or attempt.target_pace_percent < _FULL_PERCENT:
            return True
    return any(
        attempt.tail_ms <= 0
        or attempt.tail_ms > _NEAR_TARGET_RATIO * attempt.step.target_ms
        for attempt in worker.serving.values()
    )


def _find_unit_reason(state: SchedulerState) -> CallReason | None:
    """Return what in the unit waits for ends on any worker, if anything."""
    if any(
        _is_left_waiting(tasks, state.placed_ms)
        for step_key, tasks in state.ready.items()
        if _is_urgent(state.jobs[step_key[0]].request.steps[step_key[2]])
    ):
        return CallReason.URGENT_STEP
    placed_ms = state.opportunistic_placed_ms
    until_ms = placed_ms + OPPORTUNISTIC_PASS_INTERVAL_MS - _PASS_LEAD_MS
    if state.now_ms >= until_ms and any(
        _is_left_waiting(tasks, placed_ms)
        for tasks in state.ready_opportunistic.values()
    ):
        return CallReason.PLACE_WANTED
    return None


def _is_left_waiting(tasks: t.Mapping[TaskKey, Task], placed_ms: int) -> bool:
    """Whether a placement pass has left tasks of a step without a worker."""
    return any(task.ready_ms < placed_ms for task in tasks.values())


def take_reason(worker: Worker, state: SchedulerState) -> str:
    """Return why a call is sent to a worker now, and forget it."""
    default = CallReason.FIRST
    if not state.config.features.gathers_reports:
        default = CallReason.NOT_GATHERED
    reason = worker.report_reason or default.value
    worker.report_reason = ''
    worker.report_after_ms = 0
    return reason


# -- ends that complete a step ------------------------------------------------


def _plan_pause(
    worker: Worker, state: SchedulerState
) -> tuple[CallReason, int]:
    """Return when the next call is sent, and why not later.

    Without ends that are due in a pause there is none, and a pause ends before
    an end that may be the last of its step.
    """
    now_ms = state.now_ms
    due = [
        (max(now_ms, get_earliest_end_ms(attempt, state)), attempt)
        for attempt in worker.attempts.values()
        if not attempt.step.long_running
    ]
    first_ms = min((due_ms for due_ms, _ in due), default=math.inf)
    until_ms = now_ms + MAX_PAUSE_MS
    if first_ms >= until_ms:
        return CallReason.RENEWAL, now_ms
    completion = _Completion(until_ms, state)
    last_ms = min(
        (
            due_ms
            for due_ms, attempt in due
            if due_ms < until_ms and completion.is_possible(attempt)
        ),
        default=until_ms,
    )
    if last_ms < until_ms:
        return CallReason.STEP_ENDS, last_ms
    return CallReason.PAUSED, until_ms


def _note_hidden_end(worker: Worker, state: SchedulerState) -> None:
    """Have ends committed at once if they hide an end that a job waits for.

    A worker returns ends that are not acknowledged again at once, so it is not
    called until they are durable, 0.12 s later. The end of an urgent run in
    this time was read up to 0.13 s late. This is decided once for a report, as
    deciding it with each event doubled the processor time of an owner.
    """
    if worker.last_read_end_number <= worker.last_seen:
        return
    until_ms = state.now_ms + _COMMIT_MS
    completion = _Completion(until_ms, state)
    state.is_early_commit_due |= any(
        get_earliest_end_ms(attempt, state) <= until_ms
        and (_is_urgent(attempt.step) or _is_due_soon(attempt, state))
        and completion.is_possible(attempt)
        for attempt in worker.attempts.values()
        if not attempt.step.long_running
    )


def _is_due_soon(attempt: Attempt, state: SchedulerState) -> bool:
    """Whether a run's job is expected to end close to its objective."""
    job = state.jobs.get(attempt.key.job_id)
    if job is None:
        return False
    spare_ms = _ranking.get_spare_ms(job, get_step_key(attempt.key), state)
    return 0 <= spare_ms <= _DUE_SOON_MS


def get_earliest_end_ms(attempt: Attempt, state: SchedulerState) -> int:
    """Return when a run may end at the earliest, by its progress."""
    job = state.jobs.get(attempt.key.job_id)
    if job is None:
        return state.now_ms
    # The progress is that of the last report, which may be some time ago.
    worker = state.workers.get(attempt.worker_id)
    told_ms = worker.answered_ms if worker else state.now_ms
    began_ms = attempt.seen_ms or attempt.sent_ms
    if attempt.progress_percent >= _MIN_PROGRESS_PERCENT:
        lasted_ms = max(0, told_ms - began_ms)
        end_ms = began_ms + lasted_ms * _FULL_PERCENT / attempt.progress_percent
        early_ms = max(_MIN_EARLY_END_MS, _EARLY_END_SHARE * (end_ms - told_ms))
        return int(end_ms - early_ms)
    expected_ms = _run_times.predict_ms(job, attempt.step, state)
    return int(began_ms + _EARLIEST_RUN_SHARE * expected_ms)


@attrs.define
class _Completion:
    """Which steps may be complete by some time; each is checked once.

    Parameters
    ----------
    until_ms : int
        The time.
    state : SchedulerState
        Holds the jobs.
    """

    until_ms: int
    state: SchedulerState
    _found: dict[tuple[str, int, int], bool] = attrs.field(
        factory=dict, init=False
    )

    def is_possible(self, attempt: Attempt) -> bool:
        """Whether a run may be the last of its step to end.

        It is not if another task of the step has no run, or ends later.
        """
        step_key = get_step_key(attempt.key)
        if step_key not in self._found:
            self._found[step_key] = self._check(attempt.key)
        return self._found[step_key]

    def _check(self, key: TaskKey) -> bool:
        job = self.state.jobs.get(key.job_id)
        if job is None:
            return True
        if job.remaining.get((key.occurrence, key.step), 0) > _MAX_LAST_RUNS:
            return False
        return all(
            other is not None
            and get_earliest_end_ms(other, self.state) <= self.until_ms
            for other in _iter_undone(job, key, self.state)
        )


def _iter_undone(
    job: Job, key: TaskKey, state: SchedulerState
) -> t.Iterator[Attempt | None]:
    """Yield the newest run of each undone task of a step, None without one."""
    for index in range(job.request.steps[key.step].task_count):
        task = job.tasks.get(key._replace(index=index))
        if task is None or not task.attempts:
            if task is None or not task.is_done:
                yield None
        elif not task.is_done:
            yield task.attempts[max(task.attempts)]


# -- waits and times ----------------------------------------------------------


def choose_wait_ms(worker: Worker, state: SchedulerState) -> int:
    """Return how long a call waits at the worker for an end.

    With reports gathered, the time since the last report is part of it, so that
    the age of a report and the time between two renewals of a lease are limited
    with the pause.
    """
    if has_open_order(worker):
        return _PENDING_WAIT_MS
    is_shared = worker.serving and worker.fillers
    if not state.config.features.gathers_reports:
        return _SHARED_WAIT_MS if is_shared else _MAX_REPORT_AGE_MS
    if _is_near_target(worker):
        return _SHARED_WAIT_MS
    limit_ms = _get_age_limit_ms(worker, state)
    age_ms = max(0, state.now_ms - worker.answered_ms)
    if age_ms > 2 * limit_ms:
        # The worker had no runs, so it was not called.
        age_ms = 0
    return max(_MIN_POLL_MS, limit_ms - age_ms)


def _get_age_limit_ms(worker: Worker, state: SchedulerState) -> int:
    """Return the time between two reports of a worker at most."""
    if worker.serving and worker.fillers:
        return _MAX_SHARED_TAIL_AGE_MS
    if worker.serving or worker.fillers or _is_state_unknown(worker, state):
        # A task with a target may be started beside opportunistic runs.
        return _MAX_TAIL_AGE_MS
    return _MAX_REPORT_AGE_MS


def get_read_delay_ms(
    worker: Worker, sent_ms: int, state: SchedulerState
) -> float:
    """Return how long ago the ends in a new report took place, on average.

    Without this, learned run times would include the pauses.

    Parameters
    ----------
    worker : Worker
        The worker, with the time of its report before.
    sent_ms : int
        When the call of the new report was sent.
    state : SchedulerState
        Holds the time.
    """
    if not state.config.features.gathers_reports:
        return 0.0
    if state.now_ms - sent_ms > _PROMPT_ANSWER_MS:
        return 0.0
    unseen_ms = max(0, sent_ms - worker.answered_ms)
    return min(unseen_ms, MAX_PAUSE_MS) / 2
