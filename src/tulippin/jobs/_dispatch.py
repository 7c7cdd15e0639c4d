"""Dispatch of events to their handlers, and the context of a handler."""

from __future__ import annotations

import functools
import typing as t

import attrs

from tulippin.jobs.effects import JobEffect, LogDecision
from tulippin.jobs.events import JobEvent
from tulippin.jobs.state import Phase, SchedulerState


@attrs.define
class Context:
    """State and collected effects while the reducer handles one event."""

    state: SchedulerState
    effects: list[JobEffect] = attrs.field(factory=list)

    def emit(self, effect: JobEffect) -> None:
        """Add an effect; effects are performed in the order of their calls."""
        self.effects.append(effect)

    def log(self, decision: str, **fields: t.Any) -> None:
        """Add the effect that logs a decision."""
        self.effects.append(LogDecision(decision, fields))

    @property
    def fencing_token(self) -> int:
        """The epoch under which orders are sent."""
        epoch = self.state.ownership.epoch
        return epoch.epoch if epoch else 0

    @property
    def may_send_orders(self) -> bool:
        """Whether orders may be sent to workers now."""
        ownership = self.state.ownership
        return ownership.phase is Phase.ACTIVE and not ownership.must_confirm


@functools.singledispatch
def handle(event: JobEvent, context: Context) -> None:
    """Handle one event; modules register a handler for each type."""
    raise NotImplementedError(type(event))
