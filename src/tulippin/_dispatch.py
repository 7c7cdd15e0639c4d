"""Generic functions with which the modules register their handlers."""

from __future__ import annotations

import functools

from tulippin._context import Context
from tulippin.events import Event
from tulippin.records import Record
from tulippin.state import UnitState


@functools.singledispatch
def handle(event: Event, context: Context) -> None:
    """Handle an event; dispatches on its class."""
    raise NotImplementedError(type(event))


@functools.singledispatch
def receive(message: object, sender: str, context: Context) -> None:
    """Handle a message from a peer or from this session itself."""
    raise NotImplementedError(type(message))


@functools.singledispatch
def handle_committed(record: Record, unit: UnitState, context: Context) -> None:
    """Continue after a record was committed; by default, do nothing."""
