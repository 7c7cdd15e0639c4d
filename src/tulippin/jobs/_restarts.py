"""What becomes of a unit whose decisions raised an error.

Its state may be half changed, so that nothing of it is used again: the unit
begins anew from the store, as after the end of a process, and the instance
goes on with its other units and its callers. What can't be known is which
input was to blame. So the inputs that only advise go first: the rows that
the failed event was made of, and at the next failure all of them. Rows of
jobs, progress, epochs and rosters are never left out: a unit that ran
without one of them could start a task beside itself, where one that stands
still only delays it.
"""

from __future__ import annotations

import typing as t

import attrs

# Failures further apart are taken for separate ones.
_MEMORY_MS: t.Final = 60_000
# How long the unit waits before it is taken up again after the second
# failure, doubled at each further one. From the third on others are first.
_FIRST_WAIT_MS: t.Final = 1000
_LONGEST_WAIT_MS: t.Final = 30_000
# Rows that are set aside; there are some per unit.
_MOST_ASIDE: t.Final = 200


@attrs.define
class RestartLog:
    """What is known of a unit's failures at this instance.

    Nothing that only advises is taken in until ``advice_after_ms``. ``aside``
    names the versions of rows that never are.
    """

    failed_ms: list[int] = attrs.field(factory=list)
    aside: set[str] = attrs.field(factory=set)
    advice_after_ms: int = 0
    life: int = 0

    def note(self, sources: t.Iterable[str], now_ms: int) -> int:
        """Take in a failure; return the time until the unit is taken again.

        Parameters
        ----------
        sources : iterable of str
            The rows that the failed event was made of.
        now_ms : int
            When it failed.
        """
        since_ms = now_ms - _MEMORY_MS
        self.failed_ms = [one for one in self.failed_ms if one > since_ms]
        if self.failed_ms:
            self.advice_after_ms = now_ms + _MEMORY_MS
        self.failed_ms.append(now_ms)
        if len(self.aside) > _MOST_ASIDE:
            self.aside.clear()
        self.aside.update(sources)
        self.life += 1
        doublings = len(self.failed_ms) - 2
        if doublings < 0:
            return 0
        return min(_FIRST_WAIT_MS << doublings, _LONGEST_WAIT_MS)
