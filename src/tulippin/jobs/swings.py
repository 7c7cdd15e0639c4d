"""The load of long-running jobs, foretold from its swing.

Measured on the reports of a day: the load of every job that serves users
goes up and down as one sine with a period that all jobs share (14.0 s in
10 of 11 fits, amplitude 0.20 to 0.23 around 0.47, what is left over 0.04
to 0.08). A task started now works for some two seconds, in which the load
changes by up to 0.2: what disturbs can be started as the ebb begins and be
slowed before the flood.

Each job has its own mean, amplitude and phase, fitted by weighted least
squares; the period is the one that leaves the least over for all jobs
together. Old samples lose weight, so that a swing that changes is followed.
"""

from __future__ import annotations

import math
import typing as t

import attrs

# Periods that are tried: from 5 s to 31 s, each 5% longer than the last,
# which is off by a tenth of a turn after two periods at most.
_PERIODS_MS: t.Final = tuple(5000 * 1.05**power for power in range(38))
# A sample keeps this part of its weight at the next one of its job; with
# some eight samples a second that is a memory of 25 s.
_KEPT: t.Final = 0.995
# Weight of what is thought of a job before its first sample: the mean of
# all jobs, and no swing.
_PRIOR_WEIGHT: t.Final = 0.5
# A job's swing counts from so many samples on, once they cover this part
# of a period, and all jobs together this much of one.
_LEAST_WEIGHT: t.Final = 5.0
_LEAST_TURN: t.Final = 0.3
_LEAST_COMMON_TURN: t.Final = 0.75
# What a fit may leave over, as a spread; the fits above left 0.17 at most.
_MOST_LEFT: t.Final = 0.14
# How often the common period is chosen anew.
_CHOOSE_EVERY_MS: t.Final = 1000
_TURN: t.Final = 2 * math.pi


@attrs.define
class Moments:
    """Weighted sums of samples at one period: all that a fit needs."""

    weight: float = 0.0
    sine: float = 0.0
    cosine: float = 0.0
    sine_sine: float = 0.0
    sine_cosine: float = 0.0
    cosine_cosine: float = 0.0
    load: float = 0.0
    load_sine: float = 0.0
    load_cosine: float = 0.0
    load_load: float = 0.0

    def add(self, angle: float, load: float, weight: float) -> None:
        """Take in one sample at an angle of the period."""
        sine = math.sin(angle)
        cosine = math.cos(angle)
        self.weight = self.weight * _KEPT + weight
        self.sine = self.sine * _KEPT + weight * sine
        self.cosine = self.cosine * _KEPT + weight * cosine
        weighted = weight * sine
        self.sine_sine = self.sine_sine * _KEPT + weighted * sine
        self.sine_cosine = self.sine_cosine * _KEPT + weighted * cosine
        weighted = weight * cosine
        self.cosine_cosine = self.cosine_cosine * _KEPT + weighted * cosine
        weighted = weight * load
        self.load = self.load * _KEPT + weighted
        self.load_sine = self.load_sine * _KEPT + weighted * sine
        self.load_cosine = self.load_cosine * _KEPT + weighted * cosine
        self.load_load = self.load_load * _KEPT + weighted * load

    def fit(self, mean: float) -> Wave:
        """Return the wave that leaves the least over.

        Parameters
        ----------
        mean : float
            What is thought of the load before any sample.
        """
        # Cramer's rule on the three normal equations.
        one = self.weight + _PRIOR_WEIGHT
        two = self.sine_sine + _PRIOR_WEIGHT
        three = self.cosine_cosine + _PRIOR_WEIGHT
        load = self.load + _PRIOR_WEIGHT * mean
        minor_one = two * three - self.sine_cosine**2
        minor_two = self.sine * three - self.sine_cosine * self.cosine
        minor_three = self.sine * self.sine_cosine - two * self.cosine
        whole = one * minor_one - self.sine * minor_two
        whole += self.cosine * minor_three
        mean = load * minor_one - self.load_sine * minor_two
        mean += self.load_cosine * minor_three
        sine = self._solve_sine(one, three, load)
        cosine = self._solve_cosine(one, two, load)
        return Wave(mean / whole, sine / whole, cosine / whole)

    def _solve_sine(self, one: float, three: float, load: float) -> float:
        first = self.load_sine * three - self.load_cosine * self.sine_cosine
        second = self.sine * three - self.sine_cosine * self.cosine
        third = self.sine * self.load_cosine - self.load_sine * self.cosine
        return one * first - load * second + self.cosine * third

    def _solve_cosine(self, one: float, two: float, load: float) -> float:
        first = two * self.load_cosine - self.sine_cosine * self.load_sine
        second = self.sine * self.load_cosine - self.load_sine * self.cosine
        third = self.sine * self.sine_cosine - two * self.cosine
        return one * first - self.sine * second + load * third

    def get_left(self, wave: Wave) -> float:
        """Return the sum of squares that a wave leaves over."""
        fitted = wave.mean * self.load + wave.sine * self.load_sine
        fitted += wave.cosine * self.load_cosine
        return max(0.0, self.load_load - fitted)


@attrs.frozen
class Wave:
    """A mean and the two parts of a sine around it."""

    mean: float
    sine: float
    cosine: float

    def get_load(self, angle: float) -> float:
        """Return the load at an angle."""
        swing = self.sine * math.sin(angle) + self.cosine * math.cos(angle)
        return self.mean + swing


@attrs.define
class Swing:
    """The samples of one job."""

    moments: list[Moments] = attrs.field(
        factory=lambda: [Moments() for _ in _PERIODS_MS]
    )
    first_ms: int = 0
    last_ms: int = 0
    wave: Wave | None = None

    def learn(self, at_ms: int, load: float, weight: float) -> None:
        """Take in a load that was seen at a time."""
        self.first_ms = self.first_ms or at_ms
        self.last_ms = at_ms
        self.wave = None
        for period_ms, moments in zip(_PERIODS_MS, self.moments, strict=True):
            moments.add(_TURN * at_ms / period_ms, load, weight)


@attrs.define
class SwingModel:
    """The swings of all jobs, with their common period."""

    swings: dict[str, Swing] = attrs.field(factory=dict)
    period: int = -1
    mean: float = 0.0
    chosen_ms: int = 0

    @property
    def period_ms(self) -> float:
        """The common period; 0 if none is known."""
        return _PERIODS_MS[self.period] if self.period >= 0 else 0.0

    def learn(
        self, job_id: str, at_ms: int, load: float, weight: float
    ) -> None:
        """Take in the load of a job, seen by one of its tasks."""
        swing = self.swings.get(job_id)
        if swing is None:
            swing = self.swings[job_id] = Swing()
        swing.learn(at_ms, load, weight)

    def forget(self, job_id: str) -> None:
        """Drop a job that is over."""
        self.swings.pop(job_id, None)

    def choose_period(self, now_ms: int) -> None:
        """Choose the period that leaves the least over, now and then."""
        if now_ms - self.chosen_ms < _CHOOSE_EVERY_MS:
            return
        self.chosen_ms = now_ms
        span_ms = max(
            (one.last_ms - one.first_ms for one in self.swings.values()),
            default=0,
        )
        # A longer period than was watched fits anything.
        tried = [
            place
            for place, period_ms in enumerate(_PERIODS_MS)
            if span_ms >= _LEAST_COMMON_TURN * period_ms
        ]
        weight = sum(one.moments[0].weight for one in self.swings.values())
        if not tried or weight < _LEAST_WEIGHT:
            return
        self.mean = (
            sum(one.moments[0].load for one in self.swings.values()) / weight
        )
        left = {place: self._sum_left(place) for place in tried}
        best = min(left, key=left.__getitem__)
        is_good = math.sqrt(left[best] / weight) <= _MOST_LEFT
        self._set_period(best if is_good else -1)

    def _sum_left(self, place: int) -> float:
        return sum(
            moments.get_left(moments.fit(self.mean))
            for moments in (one.moments[place] for one in self.swings.values())
        )

    def _set_period(self, place: int) -> None:
        if place != self.period:
            self.period = place
            for swing in self.swings.values():
                swing.wave = None

    def foretell(self, job_id: str, at_ms: float) -> float | None:
        """Return a job's load at a time; nothing if it is not known."""
        swing = self.swings.get(job_id)
        if swing is None or self.period < 0:
            return None
        period_ms = _PERIODS_MS[self.period]
        moments = swing.moments[self.period]
        span_ms = swing.last_ms - swing.first_ms
        if moments.weight < _LEAST_WEIGHT or span_ms < _LEAST_TURN * period_ms:
            return None
        if swing.wave is None:
            swing.wave = moments.fit(self.mean)
        return swing.wave.get_load(_TURN * at_ms / period_ms)
