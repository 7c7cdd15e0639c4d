"""The generic functions that handlers register with."""

from __future__ import annotations

import functools

from tulippin._context import Context
from tulippin.events import Event
from tulippin.records import Record
from tulippin.state import UnitState


@functools.singledispatch
def handle(event: Event, context: Context) -> None:
    """Handle one event."""
    raise NotImplementedError(type(event))


@functools.singledispatch
def receive(message: object, sender: str, context: Context) -> None:
    """Handle one message of a session, this one included."""
    raise NotImplementedError(type(message))


@functools.singledispatch
def settle(record: Record, unit: UnitState, context: Context) -> None:
    """Go on after a record has become durable; most need nothing."""
