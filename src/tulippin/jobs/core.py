"""The reducer of the job scheduler, which maps events to effects.

``reduce`` is deterministic: it reads no clock, random source or socket.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs import (
    _advisory_inputs,
    _committing,
    _job_progress,
    _lifecycle,
    _ownership,
    _pacing,
    _periodic_work,
    _placing,
    _reports,
    _routing,
    _worker_health,
    _workers,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import JobEffect
from tulippin.jobs.events import (
    ConfigurationChanged,
    JobEvent,
    PolicyChanged,
    Ticked,
    WorkerAnswered,
)
from tulippin.jobs.state import Phase, SchedulerConfig, SchedulerState

__all__ = ('make_state', 'reduce')

# Imported only for the handlers that they register.
HANDLER_MODULES: t.Final = (_reports,)


def make_state(config: SchedulerConfig) -> SchedulerState:
    """Return the initial state of a unit's scheduler."""
    return SchedulerState(config)


def reduce(state: SchedulerState, event: JobEvent) -> tuple[JobEffect, ...]:
    """Handle one event, change the state, and return the effects.

    Parameters
    ----------
    state : SchedulerState
        Changed in place.
    event : JobEvent
        The event, with the time of its handling.

    Returns
    -------
    tuple of JobEffect
        The effects that the shell performs, in this order.
    """
    context = Context(state)
    gap_ms = event.at_ms - state.now_ms
    if state.now_ms:
        _ownership.note_suspension(context, gap_ms)
    state.now_ms = max(state.now_ms, event.at_ms)
    state.isolated_tasks = None
    if isinstance(event, _advisory_inputs.ADVISORY_EVENTS):
        _advisory_inputs.handle_advisory(event, context)
    else:
        handle(event, context)
    if state.ownership.phase is Phase.STANDING_BY:
        # An instance stands by for most units and decides nothing for them.
        return tuple(context.effects)
    if isinstance(event, WorkerAnswered) and context.may_send_orders:
        _evaluate_report(event, context)
    is_tick = isinstance(event, Ticked)
    _placing.place(context, is_tick=is_tick)
    if is_tick:
        _periodic_work.tick(context)
    _committing.commit_if_due(context)
    _workers.send_due_holds(context)
    return tuple(context.effects)


def _evaluate_report(event: WorkerAnswered, context: Context) -> None:
    """Update model, worker health and paces from a worker's report."""
    worker = context.state.workers.get(event.worker_id)
    if worker is not None:
        _advisory_inputs.learn(worker, event, context)
        _worker_health.judge(worker, context)
        _pacing.adjust(worker, context)
        _workers.schedule_report(worker, context)


@handle.register
def _tick(event: Ticked, context: Context) -> None:
    state = context.state
    state.wall_offset_ms = event.wall_ms - event.at_ms
    _ownership.tick(context)
    _workers.tick(context)
    _committing.tick(context)
    if context.may_send_orders:
        state.swings.choose_period(state.now_ms)
        _job_progress.note(state)
    _lifecycle.open_scheduled(state)
    _routing.tick(context)


@handle.register
def _change_policy(event: PolicyChanged, context: Context) -> None:
    state = context.state
    if event.number <= state.policy_number:
        return
    state.policy = event.policy
    state.policy_number = event.number
    context.log(
        'policy in force',
        bundle=event.number,
        policy=type(event.policy).__name__,
    )


@handle.register
def _configure(event: ConfigurationChanged, context: Context) -> None:
    state = context.state
    current = state.configuration
    if current is not None and event.configuration.version <= current.version:
        return
    state.configuration = event.configuration
    _routing.route_all(context)
