"""The reducer: one function over all events, effects as data.

``reduce`` reads no clock, no random source and no socket. The same
events in the same order give the same state and the same effects.
"""

from __future__ import annotations

from tulippin import (
    _bundling,
    _calls,
    _cells,
    _homes,
    _journal,
    _membership,
    _requests,
    _units,
)
from tulippin._context import Context
from tulippin._dispatch import handle, receive
from tulippin.effects import Effect
from tulippin.events import Event, Ticked
from tulippin.state import State

__all__ = ('make_state', 'reduce')

_TICKERS = (
    _membership.tick,
    _bundling.tick,
    _units.tick,
    _homes.tick,
    _cells.tick,
    _requests.tick,
    _calls.tick,
)


def make_state(config) -> State:
    """Return the state of an instance that has just started."""
    return State(config)


def reduce(state: State, event: Event) -> tuple[Effect, ...]:
    """Take one event, change the state, and return the effects.

    Parameters
    ----------
    state : State
        The instance's state; changed in place.
    event : Event
        What happened, with its time.

    Returns
    -------
    tuple of Effect
        What the shell is to do, in this order.
    """
    state.now_ms = max(state.now_ms, event.at_ms)
    context = Context(state)
    _membership.update_standing(context)
    handle(event, context)
    _run_local(context)
    if isinstance(event, Ticked):
        for ticker in _TICKERS:
            ticker(context)
            _run_local(context)
    _journal.flush(context)
    context.flush_outbox()
    return tuple(context.effects)


def _run_local(context: Context) -> None:
    while context.local:
        receive(
            context.local.popleft(),
            context.state.session.session_id,
            context,
        )
