"""Tickets from an external advisor for queues that require them.

In advised queues a step may run only on workers for which the advisor, an
external service, has issued a ticket. It answers slowly and handles one
question at a time, so it is asked about the workers with the most free
capacity first. An answer applies to all tasks of the step while it is valid.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import AskAdvice
from tulippin.jobs.events import AdviceAnswered
from tulippin.jobs.state import Job, SchedulerState, Task, Worker

# Users expect a question to name at most this many workers.
_MAX_WORKERS_PER_QUESTION: t.Final = 30
# Tickets are not used this long before they expire, so that the order arrives
# in time.
_EXPIRY_MARGIN_MS: t.Final = 150
_RETRY_INTERVAL_MS: t.Final = 200

StepKey: t.TypeAlias = tuple[str, int, int]


def get_ticket(
    worker: Worker, job: Job, task: Task, state: SchedulerState
) -> str:
    """Return a step's valid ticket for a worker, or an empty text."""
    tickets = job.tickets.get(task.key[:3], {})
    ticket, until_ms = tickets.get(worker.worker_id, ('', 0))
    return ticket if until_ms > state.now_ms else ''


def drop_tickets(worker_id: str, state: SchedulerState) -> None:
    """Drop all tickets for a worker: they are for one incarnation of it."""
    for job in state.jobs.values():
        for tickets in job.tickets.values():
            tickets.pop(worker_id, None)
        for asked in job.advised_workers.values():
            asked.discard(worker_id)


def ask_if_due(job: Job, step_key: StepKey, context: Context) -> None:
    """Ask about further workers if the step has no valid ticket."""
    state = context.state
    if step_key in state.advice_asked:
        return
    if job.advice_after_ms.get(step_key, 0) > state.now_ms:
        return
    step_tickets = job.tickets.get(step_key, {})
    if any(until_ms > state.now_ms for _, until_ms in step_tickets.values()):
        return
    asked = job.advised_workers.setdefault(step_key, set())
    chosen = _choose_workers(job, asked, state)
    if not chosen:
        # All workers have been asked about; start over.
        asked.clear()
        job.advice_after_ms[step_key] = state.now_ms + _RETRY_INTERVAL_MS
        return
    asked.update(chosen)
    state.advice_asked.add(step_key)
    context.emit(AskAdvice(step_key, tuple(chosen)))


def _choose_workers(
    job: Job, asked: set[str], state: SchedulerState
) -> list[str]:
    """Return the workers of the next question, most free capacity first."""
    candidates = [
        worker
        for worker in state.workers.values()
        if worker.is_listed
        and worker.entry.service == job.queue.service
        and worker.worker_id not in asked
    ]
    candidates.sort(key=lambda worker: -worker.free.cpu_millicores)
    return [one.worker_id for one in candidates[:_MAX_WORKERS_PER_QUESTION]]


@handle.register
def _store_tickets(event: AdviceAnswered, context: Context) -> None:
    """Store the tickets of an answer, and request a placement pass."""
    state = context.state
    state.advice_asked.discard(event.step)
    job = state.jobs.get(event.step[0])
    if job is None:
        return
    if event.valid_ms <= 0:
        # The question failed; ask about the same workers again.
        job.advised_workers.get(event.step, set()).clear()
        job.advice_after_ms[event.step] = state.now_ms + _RETRY_INTERVAL_MS
        return
    until_ms = state.now_ms + event.valid_ms - _EXPIRY_MARGIN_MS
    tickets = job.tickets.setdefault(event.step, {})
    for worker_id, ticket in event.tickets.items():
        tickets[worker_id] = (ticket, until_ms)
    state.is_placing_due = True
    context.log(
        'advice taken',
        job=event.step[0],
        step=event.step[2],
        good=len(event.tickets),
        valid_ms=event.valid_ms,
    )
