"""Queues whose policy lets only some workers run a step.

Who may is known to a service outside, which answers slowly and handles
one question at a time; so it is asked about the workers with the most
room first, and an answer serves all tasks of the step while it is valid.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import AskAdvice
from tulippin.jobs.events import AdviceAnswered
from tulippin.jobs.state import Job, SchedulerState, Task, Worker

# What the users take a step's question to be about.
_WORKERS_PER_QUESTION: t.Final = 30
# An answer is used no more so long before its end: the order's way.
_MARGIN_MS: t.Final = 150
_AGAIN_MS: t.Final = 200

StepKey: t.TypeAlias = tuple[str, int, int]


def get_ticket(
    worker: Worker, job: Job, task: Task, state: SchedulerState
) -> str:
    """Return the ticket for a task's step on a worker, if one is valid."""
    tickets = job.tickets.get(task.key[:3], {})
    ticket, until_ms = tickets.get(worker.worker_id, ('', 0))
    return ticket if until_ms > state.now_ms else ''


def ask_if_due(job: Job, kind: StepKey, context: Context) -> None:
    """Ask about workers not yet asked about, if no ticket is left."""
    state = context.state
    if kind in state.advice_asked:
        return
    if job.advice_after_ms.get(kind, 0) > state.now_ms:
        return
    known = job.tickets.get(kind, {})
    if any(until_ms > state.now_ms for _, until_ms in known.values()):
        return
    asked = job.advised_workers.setdefault(kind, set())
    chosen = _choose_workers(job, asked, state)
    if not chosen:
        # All have been asked about: begin again.
        asked.clear()
        job.advice_after_ms[kind] = state.now_ms + _AGAIN_MS
        return
    asked.update(chosen)
    state.advice_asked.add(kind)
    context.emit(AskAdvice(kind, tuple(chosen)))


def _choose_workers(
    job: Job, asked: set[str], state: SchedulerState
) -> list[str]:
    fitting = [
        worker
        for worker in state.workers.values()
        if worker.is_listed
        and worker.entry.service == job.queue.service
        and worker.worker_id not in asked
    ]
    fitting.sort(key=lambda worker: -worker.free.cpu_millicores)
    return [one.worker_id for one in fitting[:_WORKERS_PER_QUESTION]]


@handle.register
def _take_advice(event: AdviceAnswered, context: Context) -> None:
    state = context.state
    state.advice_asked.discard(event.step)
    job = state.jobs.get(event.step[0])
    if job is None:
        return
    if event.valid_ms <= 0:
        # No answer: the same workers are asked about again.
        job.advised_workers.get(event.step, set()).clear()
        job.advice_after_ms[event.step] = state.now_ms + _AGAIN_MS
        return
    until_ms = state.now_ms + event.valid_ms - _MARGIN_MS
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
