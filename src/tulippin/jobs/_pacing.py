"""Paces opportunistic runs so that latency targets beside them are met.

An opportunistic task is placed where the model expects no harm and then runs
at full pace: a slowed one holds its processors and memory and makes its job
late. A short miss of a target is tolerated; a longer one pauses all
opportunistic runs on the worker until the tails recover, or until it is known
that they don't cause it (``_own_misses``). With a harm budget,
only the runs that cause a miss pause (``_shedding``), before the hard limit.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _attempts,
    _availability,
    _feasibility,
    _interference,
    _own_misses,
    _ownership,
    _scoring,
    _shedding,
    _slow_start,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import PaceRun
from tulippin.jobs.events import PaceAnswered
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    SchedulerState,
    Worker,
)
from tulippin.jobs.types import OrderOutcome

_FULL_PERCENT: t.Final = 100
# Minimum time between a change of pace and a raise: a report covers half a
# second, and a new pace takes effect after 100 ms.
_RAISE_DELAY_MS: t.Final = 600
_RESEND_INTERVAL_MS: t.Final = 400
# A miss is over once all targets were met for this long, two readings at
# least: a tail just above its target reads as below it now and then, and
# with a miss that restarted each time, a target was missed for 4 s.
_RECOVERY_MS: t.Final = 700
# A miss seen within this time after a takeover is assumed to be older.
_INHERITED_MISS_MS: t.Final = 1500
# A run that is paused or held back for this long moves to another worker: a
# stop and a new start take about a second.
_MOVE_DELAY_MS: t.Final = 1200
# A slow-started run at this pace or below is held back: it takes at least
# five times as long.
_HELD_BACK_PERCENT: t.Final = 20
# Progress up to which a run without checkpoints may be restarted.
_MAX_LOST_PROGRESS_PERCENT: t.Final = 25


def _list_running(worker: Worker) -> list[Attempt]:
    """Return the opportunistic runs that are confirmed to be running."""
    return [
        attempt
        for attempt in worker.fillers.values()
        if attempt.state is AttemptState.RUNNING
    ]


def adjust(worker: Worker, context: Context) -> None:
    """Choose and send the paces of a worker's opportunistic runs."""
    fillers = _list_running(worker)
    ratio = _get_worst_ratio(worker)
    _own_misses.note(worker, ratio, context.state)
    if not (fillers or _shedding.is_recovering(worker, context.state)):
        if not _own_misses.is_settling(worker, ratio, context.state):
            worker.targets_missed_since_ms = 0
        worker.targets_met_since_ms = 0
        worker.harm_budget.reset()
        return
    _limit_adopted(worker, fillers, context)
    _choose_paces(worker, fillers, context)
    for attempt in fillers:
        send_if_changed(attempt, worker, context)


def _limit_adopted(
    worker: Worker, fillers: list[Attempt], context: Context
) -> None:
    """Treat adopted runs as slow starts if some of them were.

    They were if they exceed the slack together, or use memory that is kept for
    urgent tasks. Which of them the last owner had started slowly is not known.
    All of them at full pace would miss targets for two seconds on most workers,
    and none would give way.
    """
    adopted = [one for one in fillers if one.pace_percent is None]
    if not adopted:
        return
    slack = _interference.get_slack(worker, context.state)
    exceeds_slack = min(slack.values(), default=0.0) < 0
    if exceeds_slack or _feasibility.uses_kept_memory(worker):
        for attempt in adopted:
            attempt.is_slow_start = True
        _interference.invalidate_slack(worker)


def tick(context: Context) -> None:
    """Pause opportunistic runs on workers without a recent report.

    A miss is only detected by a report. Without reports the runs would
    continue at their pace until the worker's lease expires.
    """
    if not context.may_send_orders:
        return
    for worker in context.state.workers.values():
        if not worker.fillers:
            continue
        if _feasibility.has_stale_tails(worker, context.state):
            _pause_all(worker, context, 'pause runs: no recent report')
        elif _own_misses.is_unexplained(worker, context.state):
            _pause_all(worker, context, 'pause runs: miss to be measured')
        elif context.state.config.features.budgets_harm:
            _enforce_limit(worker, context)


def _enforce_limit(worker: Worker, context: Context) -> None:
    """Pause all runs in time if the next report is late, and repeat orders.

    A miss goes on between two reports, and a pace whose order was lost is not
    in force.
    """
    state = context.state
    fillers = _list_running(worker)
    if _shedding.must_pause_all(worker, state):
        regular = [one for one in fillers if not one.is_slow_start]
        shed = _shedding.pause_all(worker, regular, state)
        for attempt in fillers:
            attempt.target_pace_percent = 0
        if shed:
            worker.pace_changed_ms = state.now_ms
            _interference.invalidate_slack(worker)
            context.log(
                'pace worker',
                worker=worker.worker_id,
                lasted_ms=worker.harm_budget.get_longest_ms(state.now_ms),
                answered_ago_ms=state.now_ms - worker.answered_ms,
                shed=shed,
            )
    for attempt in fillers:
        send_if_changed(attempt, worker, context)


def _pause_all(worker: Worker, context: Context, message: str) -> None:
    fillers = _list_running(worker)
    if any(attempt.target_pace_percent for attempt in fillers):
        worker.pace_changed_ms = context.state.now_ms
        _interference.invalidate_slack(worker)
        context.log(
            message,
            worker=worker.worker_id,
            answered_ago_ms=context.state.now_ms - worker.answered_ms,
            fillers=len(fillers),
        )
    for attempt in fillers:
        attempt.target_pace_percent = 0
        send_if_changed(attempt, worker, context)


def _choose_paces(
    worker: Worker, fillers: list[Attempt], context: Context
) -> None:
    """Set the wanted pace of each run by the worst tail on the worker."""
    state = context.state
    worst = max(worker.serving.values(), key=_get_ratio, default=None)
    ratio = _get_worst_ratio(worker)
    _track_miss(worker, ratio, state)
    missed_for_ms = state.now_ms - (
        worker.targets_missed_since_ms or state.now_ms
    )
    percent = _FULL_PERCENT
    if missed_for_ms >= _own_misses.PAUSE_DELAY_MS:
        percent = _own_misses.get_pace_percent(worker, state)
    before = [attempt.target_pace_percent for attempt in fillers]
    may_raise = state.now_ms - worker.pace_changed_ms >= _RAISE_DELAY_MS
    has_budget = state.config.features.budgets_harm
    outcome = (
        _update_budget(worker, fillers, state, may_raise=may_raise)
        if has_budget
        else None
    )
    for attempt in fillers:
        wanted = percent
        if has_budget:
            is_paused = _shedding.is_paused(attempt, worker)
            wanted = 0 if is_paused else _FULL_PERCENT
        if attempt.is_slow_start:
            wanted = _slow_start.adjust_pace(attempt, worker, ratio, state)
        if wanted < attempt.target_pace_percent or may_raise:
            attempt.target_pace_percent = wanted
            # The next one may only use the processors that this one leaves.
            _interference.invalidate_use(worker)
    _move_slowed(fillers, context)
    after = [attempt.target_pace_percent for attempt in fillers]
    if before == after:
        return
    _interference.invalidate_slack(worker)
    worker.pace_changed_ms = state.now_ms
    context.log(
        'pace worker',
        worker=worker.worker_id,
        worst=worst.key.format() if worst else '',
        worst_ratio=round(ratio, 3),
        lasted_ms=missed_for_ms,
        before_percent=before,
        percent=after,
        **_describe(outcome),
    )


def _update_budget(
    worker: Worker,
    fillers: list[Attempt],
    state: SchedulerState,
    *,
    may_raise: bool,
) -> _shedding.Outcome:
    """Choose the runs that pause by what they cost and earn."""
    missed = [
        attempt
        for attempt in worker.serving.values()
        if _get_ratio(attempt) > _own_misses.MISS_RATIO
    ]
    return _shedding.update(worker, fillers, missed, state, may_raise=may_raise)


def _describe(outcome: _shedding.Outcome | None) -> dict[str, t.Any]:
    """Return log fields on what was decided by the harm budget."""
    if outcome is None:
        return {}
    return {
        'burn_rate': round(outcome.burn_rate, 2),
        'cost': round(outcome.shedding.cost, 2),
        'gain': round(outcome.shedding.gain, 2),
        'shed': outcome.shed,
        'resumed': outcome.resumed,
    }


def _track_miss(worker: Worker, ratio: float, state: SchedulerState) -> None:
    """Track since when a target has been missed, or that all are met again.

    A miss that a new owner sees at once may have begun when the last owner
    failed. Timed from the takeover, the runs that cause it would continue
    for up to 6 s.
    """
    now_ms = state.now_ms
    if ratio > _own_misses.MISS_RATIO:
        is_inherited = now_ms - state.ownership.taken_ms < _INHERITED_MISS_MS
        since_ms = (
            now_ms - _own_misses.PAUSE_DELAY_MS if is_inherited else now_ms
        )
        if not worker.targets_missed_since_ms:
            worker.targets_missed_since_ms = since_ms
            _slow_start.note_miss(worker, state)
        worker.targets_met_since_ms = 0
        return
    worker.targets_met_since_ms = worker.targets_met_since_ms or now_ms
    if now_ms - worker.targets_met_since_ms >= _RECOVERY_MS:
        worker.targets_missed_since_ms = 0


def _get_worst_ratio(worker: Worker) -> float:
    """Return the worst ratio of a tail to its target on a worker."""
    return max(map(_get_ratio, worker.serving.values()), default=0.0)


def _get_ratio(attempt: Attempt) -> float:
    """Return a run's tail latency as a ratio to its target."""
    return attempt.tail_ms / attempt.step.target_ms


def _move_slowed(fillers: list[Attempt], context: Context) -> None:
    """Stop runs slowed for long that another worker can take.

    Only runs that lose little by it: with checkpoints, or little progress. Of
    those that pause because they cause a miss one moves at a time, as the same
    capacity elsewhere would be counted for all of them.
    """
    now_ms = context.state.now_ms
    has_moved_cause = False
    for attempt in fillers:
        if attempt.target_pace_percent and not _is_held_back(attempt):
            attempt.slowed_since_ms = 0
            continue
        attempt.slowed_since_ms = attempt.slowed_since_ms or now_ms
        is_cheap = (
            attempt.step.checkpointing
            or attempt.progress_percent < _MAX_LOST_PROGRESS_PERCENT
        )
        is_cause = _is_movable_cause(attempt, context)
        is_long = now_ms - attempt.slowed_since_ms >= _MOVE_DELAY_MS
        is_due = is_long or (is_cause and not has_moved_cause)
        may_go = is_cheap and _availability.may_end_run(attempt, context)
        if may_go and is_due and _fits_elsewhere(attempt, context):
            has_moved_cause = has_moved_cause or is_cause
            _attempts.avoid(attempt, context)
            _attempts.stop_attempt(attempt, context, 'slowed for long')


def _is_movable_cause(attempt: Attempt, context: Context) -> bool:
    """Whether a run pauses for a miss that it causes, and saves checkpoints.

    It would pause until the load falls; elsewhere it goes on sooner.
    """
    worker = context.state.workers.get(attempt.worker_id)
    return (
        worker is not None
        and attempt.step.checkpointing
        and _shedding.is_cause(attempt, worker)
    )


def _is_held_back(attempt: Attempt) -> bool:
    """Whether a slow-started run would end much sooner at full pace."""
    is_held = attempt.target_pace_percent <= _HELD_BACK_PERCENT
    return attempt.is_slow_start and is_held


def _fits_elsewhere(attempt: Attempt, context: Context) -> bool:
    """Whether another worker can run the task faster than this one."""
    if _has_lasting_place(attempt, context):
        return True
    # A slow start elsewhere only improves on a run that is paused here.
    is_paused = attempt.is_slow_start and not attempt.target_pace_percent
    worker = context.state.workers[attempt.worker_id]
    is_resuming = worker.targets_met_since_ms > 0 or _own_misses.is_measuring(
        worker, context.state
    )
    return (
        is_paused
        and not is_resuming
        and _slow_start.can_start_elsewhere(attempt, context)
    )


def _has_lasting_place(attempt: Attempt, context: Context) -> bool:
    """Whether a worker accepts a run, and did so before the last pass.

    Waiting tasks take any other place before the end of the run is read.
    """
    state = context.state
    worker = _scoring.find_other_worker(attempt, context)
    worker_id = worker.worker_id if worker else ''
    if worker_id != attempt.other_worker_id:
        attempt.other_worker_id = worker_id
        attempt.other_since_ms = state.now_ms
    if worker is None or not state.ready_opportunistic:
        return worker is not None
    return attempt.other_since_ms < state.opportunistic_placed_ms


def send_if_changed(attempt: Attempt, worker: Worker, context: Context) -> None:
    """Send a run's wanted pace, unless the worker has confirmed it.

    A run works at full pace until its first pace arrives. The first pace is
    therefore sent as soon as the start is answered.
    """
    wanted = attempt.target_pace_percent
    is_open = attempt.open_pace_percent not in {None, wanted}
    if attempt.pace_percent != wanted or is_open:
        _send(attempt, worker, context)


def _send(attempt: Attempt, worker: Worker, context: Context) -> None:
    """Send a run's wanted pace, unless it was sent a moment ago."""
    state = context.state
    if state.now_ms - attempt.pace_sent_ms < _RESEND_INTERVAL_MS:
        return
    attempt.pace_sent_ms = state.now_ms
    attempt.open_pace_percent = attempt.target_pace_percent
    context.emit(
        PaceRun(
            worker.worker_id,
            worker.entry.address,
            attempt.key,
            attempt.run,
            attempt.target_pace_percent,
            context.fencing_token,
        )
    )


@handle.register
def _handle_pace_answer(event: PaceAnswered, context: Context) -> None:
    """Store a pace that the worker has confirmed."""
    state = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    if event.answer.outcome is OrderOutcome.FENCED:
        _ownership.step_down(context, f'{event.worker_id} has a newer owner')
        return
    attempt = worker.attempts.get((event.key, event.run))
    if attempt is None:
        return
    attempt.pace_sent_ms = 0
    if event.answer.outcome is OrderOutcome.STARTED:
        attempt.pace_percent = event.percent
        attempt.open_pace_percent = None
        # A paused task could not make progress until now.
        attempt.last_progress_ms = state.now_ms
