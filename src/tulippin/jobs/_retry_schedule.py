"""Assigns the times at which rejected callers come back.

All callers that are rejected in a second would otherwise come back in the same
second, and be rejected again.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import job_values

_MS: t.Final = 1000
MIN_RETRY_S: t.Final = 1
MAX_RETRY_S: t.Final = 10


@attrs.define
class RetrySchedule:
    """The work of rejected jobs, by the second in which they return.

    Parameters
    ----------
    booked : dict of int to float
        Core-milliseconds by second of the instance's clock.
    """

    booked: dict[int, float] = attrs.field(factory=dict)

    def book(
        self,
        now_ms: int,
        core_ms: float,
        earliest_ms: float,
        latest_ms: float,
        limit_core_ms: float,
    ) -> int:
        """Return in how many seconds a caller is to come back.

        Parameters
        ----------
        now_ms : int
            The time of the instance's clock.
        core_ms : float
            The work of its job.
        earliest_ms, latest_ms : float
            From when on and until when, counted from now, the job is of use.
        limit_core_ms : float
            How much work may return in one second.
        """
        first_s = _clip_s(-(-earliest_ms // _MS))
        last_s = max(first_s, _clip_s(latest_ms // _MS))
        now_s = now_ms // _MS
        self.booked = {
            second: booked
            for second, booked in self.booked.items()
            if second >= now_s
        }
        seconds = range(first_s, last_s + 1)
        # Without a second that has capacity, the least booked one is used.
        chosen_s = next(
            (
                one
                for one in seconds
                if self._get_booked(now_s + one) + core_ms <= limit_core_ms
            ),
            min(seconds, key=lambda one: self._get_booked(now_s + one)),
        )
        self.booked[now_s + chosen_s] = (
            self._get_booked(now_s + chosen_s) + core_ms
        )
        return chosen_s

    def _get_booked(self, second: int) -> float:
        return self.booked.get(second, 0.0)


def _clip_s(wanted_s: float) -> int:
    return int(max(MIN_RETRY_S, min(MAX_RETRY_S, wanted_s)))


def get_limit_share(core_ms: float, mean_core_ms: float) -> float:
    """Return the share of a second's capacity that a job may be booked in.

    Jobs with less value per core-second than the mean leave the rest of each
    second to others, which thus come back earlier.
    """
    relative = core_ms / mean_core_ms if mean_core_ms > 0 else 1.0
    if relative <= 1:
        return 1.0
    return job_values.compute_value(relative) / relative
