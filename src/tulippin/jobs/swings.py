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

# Periods that are tried: from 6 s to 31 s, each 3.5% longer than the last,
# which is off by a fortieth of a turn for a sample 20 s old at most.
_PERIODS_MS: t.Final = tuple(6000 * 1.035**power for power in range(48))
# The age at which a sample has lost two thirds of its weight: at least one
# period of a usual swing.
_MEMORY_MS: t.Final = 20_000
# Samples of one job closer together than this tell the same.
_LEAST_INTERVAL_MS: t.Final = 120
# Weight of what is thought of a job before its first sample: the mean of
# all jobs, and no swing.
_PRIOR_WEIGHT: t.Final = 0.5
# A job's swing counts from so many samples on, once they cover this part
# of a period, and all jobs together this much of one.
_LEAST_WEIGHT: t.Final = 5.0
_LEAST_TURN: t.Final = 0.3
_LEAST_COMMON_TURN: t.Final = 0.75
# Samples that a swing taken over from an earlier owner counts as: enough
# to be used, and soon outweighed where it has changed.
_RESTORED_WEIGHT: t.Final = 20.0
# What a fit may leave over, as a spread; the fits above left 0.17 at most.
_MOST_LEFT: t.Final = 0.14
# How often the common period is chosen anew.
_CHOOSE_EVERY_MS: t.Final = 1000
_TURN: t.Final = 2 * math.pi
# By what a period may lie beside the nearest that is tried: half a step.
_PERIOD_RATIO: t.Final = 1.0175


def is_period(period_ms: float) -> bool:
    """Whether a period is one that a model finds, or 0 for none."""
    if period_ms == 0:
        return True
    shortest_ms = _PERIODS_MS[0] / _PERIOD_RATIO
    return shortest_ms <= period_ms <= _PERIODS_MS[-1] * _PERIOD_RATIO


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

    def add(
        self, angle: float, load: float, weight: float, kept: float
    ) -> None:
        """Take in one sample at an angle; older ones keep a part."""
        sine = math.sin(angle)
        cosine = math.cos(angle)
        self.weight = self.weight * kept + weight
        self.sine = self.sine * kept + weight * sine
        self.cosine = self.cosine * kept + weight * cosine
        weighted = weight * sine
        self.sine_sine = self.sine_sine * kept + weighted * sine
        self.sine_cosine = self.sine_cosine * kept + weighted * cosine
        weighted = weight * cosine
        self.cosine_cosine = self.cosine_cosine * kept + weighted * cosine
        weighted = weight * load
        self.load = self.load * kept + weighted
        self.load_sine = self.load_sine * kept + weighted * sine
        self.load_cosine = self.load_cosine * kept + weighted * cosine
        self.load_load = self.load_load * kept + weighted * load

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

    def turn(self, angle: float) -> Wave:
        """Return the wave with its angles counted from further back."""
        sine = math.sin(angle)
        cosine = math.cos(angle)
        return Wave(
            self.mean,
            self.sine * cosine + self.cosine * sine,
            self.cosine * cosine - self.sine * sine,
        )

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
        if self.last_ms and at_ms - self.last_ms < _LEAST_INTERVAL_MS:
            return
        kept = math.exp(min(0, self.last_ms - at_ms) / _MEMORY_MS)
        self.first_ms = self.first_ms or at_ms
        self.last_ms = at_ms
        self.wave = None
        for period_ms, moments in zip(_PERIODS_MS, self.moments, strict=True):
            moments.add(_TURN * at_ms / period_ms, load, weight, kept)


@attrs.define
class SwingModel:
    """The swings of all jobs, with their common period."""

    swings: dict[str, Swing] = attrs.field(factory=dict)
    period: int = -1
    mean: float = 0.0
    chosen_ms: int = 0
    kept_until_ms: int = 0

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
        if now_ms < self.kept_until_ms:
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
        total = 0.0
        for swing in self.swings.values():
            moments = swing.moments[place]
            total += moments.get_left(moments.fit(self.mean))
        return total

    def _set_period(self, place: int) -> None:
        if place != self.period:
            self.period = place
            for swing in self.swings.values():
                swing.wave = None

    def foretell(self, job_id: str, at_ms: float) -> float | None:
        """Return a job's load at a time; nothing if it is not known."""
        wave = self.get_wave(job_id)
        return None if wave is None else wave.get_load(self.get_angle(at_ms))

    def get_angle(self, at_ms: float) -> float:
        """Return the angle of the common period at a time."""
        return _TURN * at_ms / self.period_ms if self.period >= 0 else 0.0

    def get_wave(self, job_id: str) -> Wave | None:
        """Return how a job's load swings, if that is known."""
        swing = self.swings.get(job_id)
        if swing is None or self.period < 0:
            return None
        moments = swing.moments[self.period]
        span_ms = swing.last_ms - swing.first_ms
        least_ms = _LEAST_TURN * self.period_ms
        if moments.weight < _LEAST_WEIGHT or span_ms < least_ms:
            return None
        if swing.wave is None:
            swing.wave = moments.fit(self.mean)
        return swing.wave

    def begin(self, period_ms: float, mean: float, now_ms: int) -> None:
        """Take over a period; others are tried once it was watched."""
        distances = [abs(one - period_ms) for one in _PERIODS_MS]
        self.period = distances.index(min(distances))
        self.mean = mean
        self.kept_until_ms = now_ms + int(self.period_ms)

    def restore(self, job_id: str, wave: Wave, now_ms: int) -> None:
        """Take over a job's swing, as if so many samples had shown it."""
        swing = Swing(
            first_ms=now_ms - int(self.period_ms), last_ms=now_ms, wave=wave
        )
        half = _RESTORED_WEIGHT / 2
        swing.moments[self.period] = Moments(
            _RESTORED_WEIGHT,
            sine_sine=half,
            cosine_cosine=half,
            load=_RESTORED_WEIGHT * wave.mean,
            load_sine=half * wave.sine,
            load_cosine=half * wave.cosine,
            load_load=_RESTORED_WEIGHT * wave.mean**2
            + half * (wave.sine**2 + wave.cosine**2),
        )
        self.swings[job_id] = swing
