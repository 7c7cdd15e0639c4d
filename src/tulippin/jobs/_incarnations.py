"""Incarnations of a worker that starts again under its id.

The report of a worker decides which incarnation answers under its id: the
platform's list is read later, and an order may reach either. All that the owner
knows about the earlier incarnation ends with it, but for the orders that the
next one may have received.
"""

from __future__ import annotations

from tulippin.jobs import (
    _advice,
    _attempts,
    _crashes,
    _lost_starts,
    _worker_leases,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    SchedulerState,
    Worker,
)
from tulippin.jobs.types import (
    ExpectedIncarnation,
    OrderAnswer,
    WorkerReport,
)


def identify(
    worker: Worker, report: WorkerReport, sent_ms: int, context: Context
) -> Worker:
    """Return the state of the incarnation that sent a report.

    Hold calls to a worker follow each other, so a start time that differs from
    the last one is that of a later incarnation, also if it is earlier: the time
    of day of a worker may be set back.

    Parameters
    ----------
    worker : Worker
        The worker as it is known.
    report : WorkerReport
        Its report.
    sent_ms : int
        When the report was asked for.
    context : Context
        Collects effects and log lines.
    """
    expected = get_expected(worker, sent_ms, context.state)
    if expected.has_reported(report.born_ms, report.clock_ms):
        worker.born_ms = worker.born_ms or report.born_ms
        return worker
    return _begin_next(worker, report, context)


def get_expected(
    worker: Worker, at_ms: int, state: SchedulerState
) -> ExpectedIncarnation:
    """Return the incarnation that a call of a certain time is meant for.

    Its clock may have been slower since its last report.
    """
    if worker.clock_offset_ms is None:
        return ExpectedIncarnation(worker.born_ms)
    passed_ms = (at_ms - worker.answered_ms) / state.config.clock_drift_ratio
    clock_ms = worker.answered_ms + worker.clock_offset_ms + int(passed_ms)
    return ExpectedIncarnation(worker.born_ms, clock_ms)


def has_answered(
    worker: Worker, answer: OrderAnswer, sent_ms: int, state: SchedulerState
) -> bool:
    """Whether the known incarnation of a worker has answered an order.

    An order can reach the next one on a connection that outlasts a restart.
    The clock of that one has begun anew.

    Parameters
    ----------
    worker : Worker
        The worker as it is known.
    answer : OrderAnswer
        Its answer; without a clock it tells nothing.
    sent_ms : int
        When the order was sent.
    state : SchedulerState
        The state of the unit.
    """
    if answer.clock_ms is None:
        return True
    expected = get_expected(worker, sent_ms, state)
    return expected.has_reported(0, answer.clock_ms)


def _begin_next(
    worker: Worker, report: WorkerReport, context: Context
) -> Worker:
    """Replace a worker's state by that of its next incarnation.

    The report decides about runs: one that was started after the owner has
    heard of the earlier incarnation last may be on the next one.
    """
    following = Worker(
        worker.entry,
        is_listed=worker.is_listed,
        born_ms=report.born_ms,
        is_rostered=worker.is_rostered,
        may_run_any_task=worker.may_run_any_task,
        entry_read_ms=worker.entry_read_ms,
        lease_expiry_ms=worker.lease_expiry_ms,
    )
    entry = worker.entry
    if entry.draining and entry.born_ms == report.born_ms:
        following.leaves_at_ms = worker.entry_read_ms + entry.leaves_in_ms
    context.log(
        'worker restarted',
        worker=worker.worker_id,
        born_ms=report.born_ms,
        earlier_born_ms=worker.born_ms,
        last_read_end_number=worker.last_read_end_number,
        runs=len(worker.attempts),
    )
    attempts = dict(worker.attempts)
    following.probation_runs = dict(worker.probation_runs)
    _take_present_runs(worker, report, context)
    _crashes.note_worker_crash(worker, context)
    _lost_starts.note_loss(worker, context.state)
    for attempt in attempts.values():
        _attempts.assign(attempt, following)
    _advice.drop_tickets(worker.worker_id, context.state)
    context.state.workers[worker.worker_id] = following
    for attempt in list(following.attempts.values()):
        _forget_orders(attempt, context)
    return following


def _take_present_runs(
    worker: Worker, report: WorkerReport, context: Context
) -> None:
    """Take the runs that the next incarnation reports off the ended one."""
    present = {(row.key, row.run) for row in report.running}
    present.update((ended.key, ended.run) for ended in report.ended)
    for run_id in present & worker.attempts.keys():
        worker.attempts.pop(run_id)
        worker.probation_runs.pop(run_id, None)
        _crashes.withdraw(*run_id, context)


def _forget_orders(attempt: Attempt, context: Context) -> None:
    """Forget which orders of a run its worker has confirmed.

    The next incarnation doesn't know them. A start order without an answer may
    still reach it, and the deadline of that order is by an earlier clock, so
    that only a confirmed stop rules the start out.
    """
    attempt.pace_percent = None
    if not attempt.is_ordered:
        _attempts.drop_unsent_attempt(attempt, context, 'its worker restarted')
    elif attempt.state is not AttemptState.RUNNING:
        attempt.start_deadline_ms = 0
        attempt.is_stop_confirmed = False
        attempt.stop_sent_ms = 0


def extend_lapse_time(worker: Worker, state: SchedulerState) -> None:
    """Extend the time at which runs of a new incarnation lapse.

    Orders with deadlines by the clock of the earlier one may have given it a
    lease up to the longest that it accepts. It applies to all runs there,
    those that start later included.
    """
    _worker_leases.forbid_leases(worker, state)
    _worker_leases.extend_lapse_time(
        worker, state.config.worker_lease_limit_ms, state
    )
