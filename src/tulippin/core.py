"""The reducer: applies events to the state and returns effects as data.

``reduce`` reads no clock, no external random source and no socket. The
same events in the same order give the same state and the same effects.
"""

from __future__ import annotations

from tulippin import (
    _bundle_updates,
    _cells,
    _home_units,
    _journal,
    _membership,
    _pending_calls,
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
    _bundle_updates.tick,
    _units.tick,
    _home_units.tick,
    _cells.tick,
    _requests.tick,
    _pending_calls.tick,
)


def make_state(config) -> State:
    """Return the state of an instance that has just started."""
    return State(config)


def reduce(state: State, event: Event) -> tuple[Effect, ...]:
    """Apply an event to the state and return the resulting effects.

    Parameters
    ----------
    state : State
        The instance's state; changed in place.
    event : Event
        The event, with the time at which it occurred.

    Returns
    -------
    tuple of Effect
        The effects that the shell performs, in this order.
    """
    state.now_ms = max(state.now_ms, event.at_ms)
    context = Context(state)
    _membership.update_standing(context)
    handle(event, context)
    _receive_local_messages(context)
    if isinstance(event, Ticked):
        for ticker in _TICKERS:
            ticker(context)
            _receive_local_messages(context)
    _journal.flush(context)
    context.flush_outbox()
    return tuple(context.effects)


def _receive_local_messages(context: Context) -> None:
    while context.local_messages:
        receive(
            context.local_messages.popleft(),
            context.state.session.session_id,
            context,
        )
