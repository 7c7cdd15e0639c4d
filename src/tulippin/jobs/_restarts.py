"""Restart policy for units whose reducer raised an unexpected error.

The state of the unit may be half changed, so it is discarded: the unit is
loaded from the store again, as after the end of a process, while the instance
serves its other units and callers. It is unknown which input caused the error.
Advisory inputs are therefore excluded first: the rows that the failed event
was made of, and at the next failure all advisory inputs. Rows of jobs,
progress, epochs and rosters are never excluded. A unit that ignored one of
them could run a task twice, while a unit that stands still only delays it.
"""

from __future__ import annotations

import typing as t

import attrs

# Failures that are further apart count as unrelated.
_FAILURE_WINDOW_MS: t.Final = 60_000
# Backoff after the second failure, doubled at each further one. From the third
# failure on other instances take the unit first, and a unit that fails at
# every event fails only a few times a minute.
_MIN_BACKOFF_MS: t.Final = 1000
_MAX_BACKOFF_MS: t.Final = 30_000
# Limit of excluded row versions; each unit has a few advisory rows.
_MAX_EXCLUDED_ROWS: t.Final = 200


@attrs.define
class RestartLog:
    """Failures of a unit on this instance.

    ``failed_ms`` holds the times of recent failures. Advisory inputs are
    ignored until ``advice_after_ms``, and the row versions named in
    ``excluded_rows`` for good. ``restart_count`` counts the restarts.
    """

    failed_ms: list[int] = attrs.field(factory=list)
    excluded_rows: set[str] = attrs.field(factory=set)
    advice_after_ms: int = 0
    restart_count: int = 0

    def record_failure(self, sources: t.Iterable[str], now_ms: int) -> int:
        """Record a failure and return the backoff before the restart.

        Parameters
        ----------
        sources : iterable of str
            Names of the rows that the failed event was made of.
        now_ms : int
            The time of the failure.
        """
        since_ms = now_ms - _FAILURE_WINDOW_MS
        self.failed_ms = [at_ms for at_ms in self.failed_ms if at_ms > since_ms]
        if self.failed_ms:
            self.advice_after_ms = now_ms + _FAILURE_WINDOW_MS
        self.failed_ms.append(now_ms)
        if len(self.excluded_rows) > _MAX_EXCLUDED_ROWS:
            self.excluded_rows.clear()
        self.excluded_rows.update(sources)
        self.restart_count += 1
        doublings = len(self.failed_ms) - 2
        if doublings < 0:
            return 0
        return min(_MIN_BACKOFF_MS << doublings, _MAX_BACKOFF_MS)
