"""Job operations at the home unit: submit, show and cancel."""

from __future__ import annotations

from tulippin import _home_units, _quotas
from tulippin._context import Context, get_range
from tulippin._dispatch import handle_committed, receive
from tulippin.ledger import JobEntry
from tulippin.messages import (
    JobForwarded,
    JobReply,
    JobReturned,
    JobStatus,
)
from tulippin.records import JobAccepted, JobCancelled
from tulippin.state import Phase, RangeState

_STORE_RETRY_AFTER_MS = 5000


@receive.register
def _(message: JobForwarded, sender: str, context: Context) -> None:
    home = context.state.ranges.get(message.unit)
    if home is None or home.phase is not Phase.ACTIVE:
        return
    actions = {
        'submit': _submit,
        'cancel': _cancel,
        'show': _show,
    }
    actions[message.action](context, home, message, sender)


def _reply(
    context: Context,
    sender: str,
    message: JobForwarded,
    code: str,
    job: JobStatus | None = None,
) -> None:
    retry_ms = _STORE_RETRY_AFTER_MS if code == 'store_unavailable' else 0
    reply = JobReply(code, job, retry_ms)
    context.send(sender, JobReturned(message.call_id, reply, message.try_count))


def _submit(
    context: Context, home: RangeState, message: JobForwarded, sender: str
) -> None:
    if message.spec is None:
        return
    job = home.ledger.jobs.get(message.job_id)
    if job is not None:
        code = 'ok' if job.digest == message.digest else 'job_id_reused'
        _reply(context, sender, message, code, describe_job(job))
        return
    callers = home.job_waiters.get(message.job_id)
    if callers is not None:
        callers.append((sender, message))
        return
    if not context.store_ready:
        _reply(context, sender, message, 'store_unavailable')
        return
    code = _quotas.check_job(context, message.spec)
    if code:
        _reply(context, sender, message, code)
        return
    home.job_waiters[message.job_id] = [(sender, message)]
    context.record(
        home,
        JobAccepted(message.spec, message.digest, context.state.wall_ms),
    )


@handle_committed.register
def _(record: JobAccepted, unit: RangeState, context: Context) -> None:
    job = unit.ledger.jobs[record.spec.job_id]
    _home_units.enqueue_job(unit, job)
    context.state.counters['jobs_accepted'] += 1
    _answer_waiters(context, unit, record.spec.job_id)


def _answer_waiters(context: Context, home: RangeState, job_id: str) -> None:
    job = home.ledger.jobs[job_id]
    for sender, message in home.job_waiters.pop(job_id, ()):
        is_reused = message.action == 'submit' and message.digest != job.digest
        code = 'job_id_reused' if is_reused else 'ok'
        _reply(context, sender, message, code, describe_job(job))


def _cancel(
    context: Context, home: RangeState, message: JobForwarded, sender: str
) -> None:
    job = home.ledger.jobs.get(message.job_id)
    if job is None:
        _reply(context, sender, message, 'unknown_job')
    elif job.cancelled or job.finished:
        _reply(context, sender, message, 'ok', describe_job(job))
    elif message.job_id in home.job_waiters:
        home.job_waiters[message.job_id].append((sender, message))
    elif not context.store_ready:
        _reply(context, sender, message, 'store_unavailable')
    else:
        home.job_waiters[message.job_id] = [(sender, message)]
        context.record(home, JobCancelled(message.job_id))


@handle_committed.register
def _(record: JobCancelled, unit: RangeState, context: Context) -> None:
    unit.fresh_indexes.pop(record.job_id, None)
    prefix = f'{record.job_id}/'
    offers = [
        offer
        for task_id, offer in unit.offers.items()
        if task_id.startswith(prefix)
    ]
    _home_units.send_cancel(context, unit, offers)
    _answer_waiters(context, unit, record.job_id)


def _show(
    context: Context, home: RangeState, message: JobForwarded, sender: str
) -> None:
    job = home.ledger.jobs.get(message.job_id)
    if job is None:
        _reply(context, sender, message, 'unknown_job')
    else:
        _reply(context, sender, message, 'ok', describe_job(job))


def describe_job(job: JobEntry) -> JobStatus:
    """Return the status of a job as it is shown to callers."""
    assigned_count = sum(task.assigned for task in job.tasks.values())
    finished_count = job.done_count + job.failed_count + job.cancelled_count
    state = 'running' if assigned_count else 'queued'
    if job.finished:
        state = 'done'
        if job.failed_count:
            state = 'failed'
        if job.cancelled:
            state = 'cancelled'
    return JobStatus(
        spec=job.spec,
        state=state,
        pending_count=job.spec.task_count - finished_count - assigned_count,
        assigned_count=assigned_count,
        done_count=job.done_count,
        failed_count=job.failed_count,
        cancelled_count=job.cancelled_count,
    )


def get_home(context: Context, job_id: str) -> str:
    """Return the home unit of a job."""
    return get_range(job_id, context.state.config.range_count)
