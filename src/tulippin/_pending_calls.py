"""Calls that involve other instances: job operations and reports.

A job operation is forwarded to the owner of the job's home unit. A report
is merged from the parts of all live instances.
"""

from __future__ import annotations

import attrs

from tulippin import _jobs
from tulippin import effects as fx
from tulippin._context import Context
from tulippin._dispatch import handle, receive
from tulippin.codec_json import encode
from tulippin.dump import dump_state
from tulippin.events import CallExpired, JobRequested, ReportRequested
from tulippin.messages import (
    JobForwarded,
    JobReply,
    JobReturned,
    ReportReturned,
    ReportWanted,
)
from tulippin.state import JobCall, ReportCall, Standing

_JOB_TIMEOUT_MS = 10000
_JOB_RESEND_INTERVAL_MS = 1000
_REPORT_TIMEOUT_MS = 2000
_RETRY_AFTER_MS = 2000
_MAX_LISTED_JOBS = 1000


@handle.register
def _(event: JobRequested, context: Context) -> None:
    session = context.state.session
    if session.refuses_requests or session.standing is Standing.LEFT:
        reply = JobReply('stopping', None, _RETRY_AFTER_MS)
        context.emit(fx.AnswerJob(event.call_id, reply))
        return
    message = JobForwarded(
        event.call_id,
        _jobs.get_home(context, event.job_id),
        event.action,
        event.job_id,
        event.spec,
        event.digest,
    )
    call = JobCall(
        event.call_id,
        message,
        context.now_ms + _JOB_TIMEOUT_MS,
        context.now_ms,
    )
    context.state.job_calls[event.call_id] = call
    _send_job_call(context, call)


def _send_job_call(context: Context, call: JobCall) -> None:
    call.next_send_ms = context.now_ms + _JOB_RESEND_INTERVAL_MS
    call.message = attrs.evolve(
        call.message, try_count=call.message.try_count + 1
    )
    context.send_owner(call.message.unit, call.message)


@receive.register
def _(message: JobReturned, sender: str, context: Context) -> None:
    call = context.state.job_calls.get(message.call_id)
    if call is None:
        return
    is_latest_try = message.try_count == call.message.try_count
    if message.reply.code == 'ok' or is_latest_try:
        # A refusal of an earlier try doesn't settle the call, as a later
        # try may still succeed.
        del context.state.job_calls[message.call_id]
        context.emit(fx.AnswerJob(message.call_id, message.reply))


@handle.register
def _(event: CallExpired, context: Context) -> None:
    context.state.job_calls.pop(event.call_id, None)
    context.state.report_calls.pop(event.call_id, None)


@handle.register
def _(event: ReportRequested, context: Context) -> None:
    state = context.state
    call = ReportCall(
        event.call_id,
        set(state.peers),
        [make_report_body(context, event.kind)],
        context.now_ms + _REPORT_TIMEOUT_MS,
    )
    if event.kind.startswith('dump'):
        call.waiting = set()
    state.report_calls[event.call_id] = call
    for session_id in call.waiting:
        context.send(session_id, ReportWanted(event.call_id, event.kind))
    _finish_report(context, call)


def _finish_report(context: Context, call: ReportCall) -> None:
    if call.waiting and context.now_ms < call.deadline_ms:
        return
    context.state.report_calls.pop(call.call_id, None)
    missing = tuple(
        context.state.peers[session_id].lease.instance_id
        for session_id in sorted(call.waiting)
        if session_id in context.state.peers
    )
    context.emit(fx.AnswerReport(call.call_id, tuple(call.bodies), missing))


def make_report_body(context: Context, kind: str) -> str:
    """Return this instance's part of a report as JSON text.

    Parameters
    ----------
    kind : str
        ``trial``, ``dump``, ``workers``, or ``jobs:TEAM``.
    """
    state = context.state
    name, _, argument = kind.partition(':')
    if name == 'trial':
        return encode(state.stats.make_report()).decode()
    if name == 'dump':
        return encode(dump_state(state)).decode()
    if name == 'workers':
        return encode(dump_state(state)['cells']).decode()
    jobs = [
        _jobs.describe_job(job)
        for home in state.ranges.values()
        for job in home.ledger.jobs.values()
        if not argument or job.spec.team == argument
    ]
    return encode(jobs[:_MAX_LISTED_JOBS]).decode()


@receive.register
def _(message: ReportWanted, sender: str, context: Context) -> None:
    body = make_report_body(context, message.kind)
    context.send(sender, ReportReturned(message.call_id, body))


@receive.register
def _(message: ReportReturned, sender: str, context: Context) -> None:
    call = context.state.report_calls.get(message.call_id)
    if call is not None and sender in call.waiting:
        call.waiting.discard(sender)
        call.bodies.append(message.body)
        _finish_report(context, call)


def tick(context: Context) -> None:
    """Resend unanswered job operations and end calls past their deadline."""
    for call in list(context.state.job_calls.values()):
        if context.now_ms >= call.deadline_ms:
            del context.state.job_calls[call.call_id]
            reply = JobReply('unknown', None, _RETRY_AFTER_MS)
            context.emit(fx.AnswerJob(call.call_id, reply))
        elif context.now_ms >= call.next_send_ms:
            _send_job_call(context, call)
    for report_call in list(context.state.report_calls.values()):
        _finish_report(context, report_call)
