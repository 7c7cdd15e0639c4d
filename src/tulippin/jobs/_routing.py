"""The service that runs a job, after its queue was sent to another one.

A job keeps the queue that it was accepted by, but follows that queue to the
service in force. Where no worker of that service could run the job, those of
the service that it was accepted for serve on.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import _occurrences, _stranded_work
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Job, SchedulerState, Worker
from tulippin.jobs.types import FINAL_STATES

_CHECK_INTERVAL_MS: t.Final = 200


def route_all(context: Context) -> None:
    """Route all unfinished jobs by the configuration that came into force."""
    for job in context.state.jobs.values():
        route(job, context)


def tick(context: Context) -> None:
    """Route the jobs of moved queues by the workers that there are now."""
    state = context.state
    is_due = state.now_ms - state.routes_checked_ms >= _CHECK_INTERVAL_MS
    if not (is_due and state.rerouted):
        return
    state.routes_checked_ms = state.now_ms
    workers = _stranded_work.list_present(state)
    for job_id in list(state.rerouted):
        job = state.jobs.get(job_id)
        if job is None or job.state in FINAL_STATES:
            state.rerouted.discard(job_id)
        else:
            _route_moved(job, workers, context)


def route(job: Job, context: Context) -> None:
    """Choose the service that a job runs on from here on."""
    state = context.state
    if job.state in FINAL_STATES:
        return
    if _find_service(job, state) == job.accepted_queue.service:
        state.rerouted.discard(job.job_id)
        _apply(job, job.accepted_queue.service, context)
        return
    state.rerouted.add(job.job_id)
    _route_moved(job, _stranded_work.list_present(state), context)


def _find_service(job: Job, state: SchedulerState) -> str:
    """Return the service that the newest known configuration names for a job.

    An owner may know an older configuration than the instance that accepted
    the job.
    """
    accepted = job.accepted_queue
    current = state.configuration
    if current is None or current.version <= accepted.configuration_version:
        return accepted.service
    services = (
        queue.service for queue in current.queues if queue.name == accepted.name
    )
    return next(services, accepted.service)


def _route_moved(
    job: Job, workers: t.Sequence[Worker], context: Context
) -> None:
    """Prefer the service in force to the accepted one, if either can run it."""
    service = _find_service(job, context.state)
    accepted = job.accepted_queue.service
    if not _can_run(job, service, workers) and _can_run(job, accepted, workers):
        service = accepted
    _apply(job, service, context)


def _can_run(job: Job, service: str, workers: t.Sequence[Worker]) -> bool:
    """Whether workers of a service could run the open steps if idle."""
    entries = [one.entry for one in workers if one.entry.service == service]
    return bool(entries) and all(
        _stranded_work.could_run(job.request.steps[number], service, entries)
        for number in _occurrences.list_open_steps(job)
    )


def _apply(job: Job, service: str, context: Context) -> None:
    if job.queue.service == service:
        return
    context.log(
        'job follows its queue',
        job=job.job_id,
        queue=job.queue.name,
        from_service=job.queue.service,
        to_service=service,
    )
    job.queue = attrs.evolve(job.queue, service=service)
    # Tickets name workers of the other service.
    job.tickets.clear()
    job.advised_workers.clear()
    job.advice_after_ms.clear()
    context.state.is_placing_due = True
