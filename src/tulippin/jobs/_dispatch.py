"""The generic function that handlers of events register with."""

from __future__ import annotations

import functools
import typing as t

import attrs

from tulippin.jobs.effects import JobEffect, LogDecision
from tulippin.jobs.events import JobEvent
from tulippin.jobs.state import Phase, SchedulerState


@attrs.define
class Context:
    """One event's way through the reducer: the state, and the effects."""

    state: SchedulerState
    effects: list[JobEffect] = attrs.field(factory=list)

    def emit(self, effect: JobEffect) -> None:
        """Add an effect; they are performed in this order."""
        self.effects.append(effect)

    def log(self, decision: str, **fields: t.Any) -> None:
        """Add a line to the log of decisions."""
        self.effects.append(LogDecision(decision, fields))

    @property
    def fencing_token(self) -> int:
        """The epoch under which orders are given."""
        epoch = self.state.ownership.epoch
        return epoch.epoch if epoch else 0

    @property
    def may_order(self) -> bool:
        """Whether orders to workers may be given now."""
        ownership = self.state.ownership
        return ownership.phase is Phase.ACTIVE and not ownership.must_confirm


@functools.singledispatch
def handle(event: JobEvent, context: Context) -> None:
    """Handle one event."""
    raise NotImplementedError(type(event))
