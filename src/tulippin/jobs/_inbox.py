"""Queues of the events that wait to be handled, by their urgency."""

from __future__ import annotations

import collections
import typing as t

from tulippin.jobs.events import JobEvent, Urgency, get_urgency

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell

# Share of a slice of time after which events of leases leave the rest of it to
# the others: reports of many runs alone can keep an owner busy.
_LEASES_SHARE: t.Final = 2 / 3

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

    def take(self, used_share: float) -> QueuedEvent:
        """Remove and return the event to handle next.

        Parameters
        ----------
        used_share : float
            The part of the present slice of time that is over.

        Raises
        ------
        IndexError
            If no event waits.
        """
        is_late = used_share > _LEASES_SHARE
        for urgency in _OTHERS_BEFORE_LEASES if is_late else _USUAL_ORDER:
            if self._queues[urgency]:
                return self._queues[urgency].popleft()
        raise IndexError('no event waits')

    def drop(self, unit: UnitShell) -> None:
        """Remove the events of a unit."""
        for queue in self._queues.values():
            kept = [entry for entry in queue if entry[0] is not unit]
            queue.clear()
            queue.extend(kept)
