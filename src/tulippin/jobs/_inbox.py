"""Queues of the events that wait to be handled, by their urgency."""

from __future__ import annotations

import collections
import typing as t

from tulippin.jobs.events import JobEvent, Urgency, get_urgency

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

# Reports of many runs alone can keep an owner busy. If events of leases took
# longer than others by this, with twice as much time allowed for them, one of
# the others follows.
_MAX_AHEAD_MS: t.Final = 10
_LEASES_WEIGHT: t.Final = 2
# Other events go first once they are older than those of leases by this. Each
# handled report leads to the next one: with reports always first, an owner of
# many workers reads cancels ever later.
_HEAD_START_MS: t.Final = 100

_USUAL_ORDER: t.Final = tuple(Urgency)
_OTHERS_BEFORE_LEASES: t.Final = (
    Urgency.OWNERSHIP,
    Urgency.OTHER,
    Urgency.LEASES,
)

QueuedEvent: t.TypeAlias = tuple['UnitShell', JobEvent]


class EventInbox:
    """Events of all units of an instance, each queue in order of arrival."""

    def __init__(self) -> None:
        self._queues: dict[Urgency, collections.deque[QueuedEvent]] = {
            urgency: collections.deque() for urgency in Urgency
        }
        self._leases_ahead_ms = 0

    def __len__(self) -> int:
        """Return the number of events that wait."""
        return sum(map(len, self._queues.values()))

    @property
    def has_ownership_events(self) -> bool:
        """Whether an event waits by which a unit is kept or lost."""
        return bool(self._queues[Urgency.OWNERSHIP])

    def put(self, unit: UnitShell, event: JobEvent) -> None:
        """Add an event of a unit."""
        self._queues[get_urgency(event)].append((unit, event))

    def take(self) -> QueuedEvent:
        """Remove and return the event to handle next.

        Raises
        ------
        IndexError
            If no event waits.
        """
        if not self._queues[Urgency.OTHER]:
            self._leases_ahead_ms = 0
        is_ahead = (
            self._leases_ahead_ms > _MAX_AHEAD_MS or self._are_others_older()
        )
        for urgency in _OTHERS_BEFORE_LEASES if is_ahead else _USUAL_ORDER:
            if self._queues[urgency]:
                return self._queues[urgency].popleft()
        raise IndexError('no event waits')

    def _are_others_older(self) -> bool:
        """Whether another event has waited longer than those of leases."""
        others = self._queues[Urgency.OTHER]
        leases = self._queues[Urgency.LEASES]
        if not (others and leases):
            return False
        return others[0][1].at_ms + _HEAD_START_MS < leases[0][1].at_ms

    def note_handled(self, event: JobEvent, took_ms: int) -> None:
        """Record how long the handling of an event took."""
        urgency = get_urgency(event)
        if urgency is Urgency.LEASES:
            self._leases_ahead_ms += took_ms
        elif urgency is Urgency.OTHER:
            # Most events take less than the millisecond of the clock.
            allowed_ms = _LEASES_WEIGHT * max(1, took_ms)
            self._leases_ahead_ms = max(0, self._leases_ahead_ms - allowed_ms)

    def drop(self, unit: UnitShell) -> None:
        """Remove the events of a unit."""
        for queue in self._queues.values():
            kept = [entry for entry in queue if entry[0] is not unit]
            queue.clear()
            queue.extend(kept)
