"""Predicts the load of long-running jobs from their load cycles.

The load of every job that serves requests follows a sine with a period that
all jobs share (14.0 s in 10 of 11 fits, amplitude 0.20 to 0.23 around 0.47,
residuals of 0.04 to 0.08). An opportunistic task runs for some two seconds,
in which the load changes by up to 0.2. With a prediction, a task that
disturbs others can be started while the load falls and be slowed before it
rises.

Each job has its own mean, amplitude and phase, fitted by weighted least
squares. The period is the candidate with the smallest residuals over all
jobs. Weights decay, so that the fit follows a cycle that changes.
"""

from __future__ import annotations

import math
import typing as t

import attrs

# Candidate periods: 6 s to 31 s in steps of 3.5%, which limits the phase error
# of a sample 20 s old to 1/40 of a period.
_PERIODS_MS: t.Final = tuple(6000 * 1.035**power for power in range(48))
# Age at which a sample has lost two thirds of its weight: at least one period
# of a typical cycle.
_DECAY_MS: t.Final = 20_000
# Samples of one job closer together than this add no information.
_MIN_SAMPLE_INTERVAL_MS: t.Final = 120
# Weight of the prior of a job: the mean of all jobs, with an amplitude of 0.
_PRIOR_WEIGHT: t.Final = 0.5
# A job's cycle is used once its samples reach this weight and span this share
# of a period. To choose the common period, the samples of some job must span
# the second share.
_MIN_WEIGHT: t.Final = 5.0
_MIN_JOB_SPAN: t.Final = 0.3
_MIN_COMMON_SPAN: t.Final = 0.75
# Weight of a cycle restored from an earlier owner's model: enough to be used,
# and soon outweighed by new samples if the cycle has changed.
_RESTORED_WEIGHT: t.Final = 20.0
# Maximum root mean square residual of a fit that is used. Fits of real loads
# reach 0.17 at most.
_MAX_RESIDUAL: t.Final = 0.14
_PERIOD_UPDATE_INTERVAL_MS: t.Final = 1000
_FULL_ANGLE: t.Final = 2 * math.pi
# Maximum ratio of a period to the nearest candidate: half a step.
_MAX_PERIOD_RATIO: t.Final = 1.0175


def is_period(period_ms: float) -> bool:
    """Whether a period is within the range of candidates, or 0 for none."""
    if period_ms == 0:
        return True
    shortest_ms = _PERIODS_MS[0] / _MAX_PERIOD_RATIO
    return shortest_ms <= period_ms <= _PERIODS_MS[-1] * _MAX_PERIOD_RATIO


@attrs.define
class Moments:
    """Weighted sums over the samples of a job that a fit at one period needs.

    ``load_sine``, for example, sums the products of load and sine.
    """

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
        self, angle: float, load: float, weight: float, decay: float
    ) -> None:
        """Add a sample at an angle; older weights are scaled by ``decay``."""
        sine = math.sin(angle)
        cosine = math.cos(angle)
        self.weight = self.weight * decay + weight
        self.sine = self.sine * decay + weight * sine
        self.cosine = self.cosine * decay + weight * cosine
        weighted = weight * sine
        self.sine_sine = self.sine_sine * decay + weighted * sine
        self.sine_cosine = self.sine_cosine * decay + weighted * cosine
        weighted = weight * cosine
        self.cosine_cosine = self.cosine_cosine * decay + weighted * cosine
        weighted = weight * load
        self.load = self.load * decay + weighted
        self.load_sine = self.load_sine * decay + weighted * sine
        self.load_cosine = self.load_cosine * decay + weighted * cosine
        self.load_load = self.load_load * decay + weighted * load

    def fit(self, mean: float) -> Wave:
        """Return the wave with the least squared residual.

        Parameters
        ----------
        mean : float
            Prior mean of the load.
        """
        # Cramer's rule on the three normal equations.
        one = self.weight + _PRIOR_WEIGHT
        two = self.sine_sine + _PRIOR_WEIGHT
        three = self.cosine_cosine + _PRIOR_WEIGHT
        load = self.load + _PRIOR_WEIGHT * mean
        minor_one = two * three - self.sine_cosine**2
        minor_two = self.sine * three - self.sine_cosine * self.cosine
        minor_three = self.sine * self.sine_cosine - two * self.cosine
        determinant = one * minor_one - self.sine * minor_two
        determinant += self.cosine * minor_three
        mean = load * minor_one - self.load_sine * minor_two
        mean += self.load_cosine * minor_three
        sine = self._solve_sine(one, three, load)
        cosine = self._solve_cosine(one, two, load)
        return Wave(
            mean / determinant, sine / determinant, cosine / determinant
        )

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

    def get_squared_residual(self, wave: Wave) -> float:
        """Return the weighted sum of squared residuals of a wave."""
        fitted = wave.mean * self.load + wave.sine * self.load_sine
        fitted += wave.cosine * self.load_cosine
        return max(0.0, self.load_load - fitted)


@attrs.frozen
class Wave:
    """A sinusoidal load: its mean, and factors of the sine and cosine."""

    mean: float
    sine: float
    cosine: float

    def rotate(self, angle: float) -> Wave:
        """Return the wave for angles with an origin earlier by this much."""
        sine = math.sin(angle)
        cosine = math.cos(angle)
        return Wave(
            self.mean,
            self.sine * cosine + self.cosine * sine,
            self.cosine * cosine - self.sine * sine,
        )

    def get_load(self, angle: float) -> float:
        """Return the load at an angle."""
        deviation = self.sine * math.sin(angle) + self.cosine * math.cos(angle)
        return self.mean + deviation


@attrs.define
class JobLoadCycle:
    """The samples of one job, summed up for each candidate period."""

    moments: list[Moments] = attrs.field(
        factory=lambda: [Moments() for _ in _PERIODS_MS]
    )
    first_ms: int = 0
    last_ms: int = 0
    wave: Wave | None = None

    def learn(self, at_ms: int, load: float, weight: float) -> None:
        """Add a load that was observed at a time."""
        if self.last_ms and at_ms - self.last_ms < _MIN_SAMPLE_INTERVAL_MS:
            return
        decay = math.exp(min(0, self.last_ms - at_ms) / _DECAY_MS)
        self.first_ms = self.first_ms or at_ms
        self.last_ms = at_ms
        self.wave = None
        for period_ms, moments in zip(_PERIODS_MS, self.moments, strict=True):
            moments.add(_FULL_ANGLE * at_ms / period_ms, load, weight, decay)


@attrs.define
class LoadCycleModel:
    """The load cycles of all jobs, with their common period.

    ``swings`` holds the cycles by job, ``period_index`` is the index of the
    common period among the candidates, or -1 if it is not known, and ``mean``
    is the mean load of all jobs.
    """

    swings: dict[str, JobLoadCycle] = attrs.field(factory=dict)
    period_index: int = -1
    mean: float = 0.0
    period_updated_ms: int = 0
    period_fixed_until_ms: int = 0

    @property
    def period_ms(self) -> float:
        """The common period; 0 if it is not known."""
        return _PERIODS_MS[self.period_index] if self.period_index >= 0 else 0.0

    def learn(
        self, job_id: str, at_ms: int, load: float, weight: float
    ) -> None:
        """Add a load of a job that was observed at one of its tasks."""
        cycle = self.swings.get(job_id)
        if cycle is None:
            cycle = self.swings[job_id] = JobLoadCycle()
        cycle.learn(at_ms, load, weight)

    def forget(self, job_id: str) -> None:
        """Remove a job that is over."""
        self.swings.pop(job_id, None)

    def choose_period(self, now_ms: int) -> None:
        """Choose the period with the smallest residuals, once a second.

        The period is unknown while even the best candidate fits badly.
        """
        if now_ms - self.period_updated_ms < _PERIOD_UPDATE_INTERVAL_MS:
            return
        if now_ms < self.period_fixed_until_ms:
            return
        self.period_updated_ms = now_ms
        span_ms = max(
            (one.last_ms - one.first_ms for one in self.swings.values()),
            default=0,
        )
        # A period much longer than the observed span fits any samples.
        candidates = [
            candidate
            for candidate, period_ms in enumerate(_PERIODS_MS)
            if span_ms >= _MIN_COMMON_SPAN * period_ms
        ]
        weight = sum(one.moments[0].weight for one in self.swings.values())
        if not candidates or weight < _MIN_WEIGHT:
            return
        self.mean = (
            sum(one.moments[0].load for one in self.swings.values()) / weight
        )
        residuals = {
            candidate: self._sum_squared_residuals(candidate)
            for candidate in candidates
        }
        best = min(residuals, key=residuals.__getitem__)
        is_accurate = math.sqrt(residuals[best] / weight) <= _MAX_RESIDUAL
        self._set_period(best if is_accurate else -1)

    def _sum_squared_residuals(self, candidate: int) -> float:
        total = 0.0
        for cycle in self.swings.values():
            moments = cycle.moments[candidate]
            total += moments.get_squared_residual(moments.fit(self.mean))
        return total

    def _set_period(self, candidate: int) -> None:
        if candidate != self.period_index:
            self.period_index = candidate
            for cycle in self.swings.values():
                cycle.wave = None

    def predict_load(self, job_id: str, at_ms: float) -> float | None:
        """Return a job's predicted load; None if its cycle is not known."""
        wave = self.get_wave(job_id)
        return None if wave is None else wave.get_load(self.get_angle(at_ms))

    def get_angle(self, at_ms: float) -> float:
        """Return the angle of a time in the common period; 0 without one."""
        return (
            _FULL_ANGLE * at_ms / self.period_ms
            if self.period_index >= 0
            else 0.0
        )

    def get_wave(self, job_id: str) -> Wave | None:
        """Return the fitted wave of a job's load.

        Returns
        -------
        Wave, optional
            None without a common period or enough samples.
        """
        cycle = self.swings.get(job_id)
        if cycle is None or self.period_index < 0:
            return None
        moments = cycle.moments[self.period_index]
        span_ms = cycle.last_ms - cycle.first_ms
        min_span_ms = _MIN_JOB_SPAN * self.period_ms
        if moments.weight < _MIN_WEIGHT or span_ms < min_span_ms:
            return None
        if cycle.wave is None:
            cycle.wave = moments.fit(self.mean)
        return cycle.wave

    def adopt_period(self, period_ms: float, mean: float, now_ms: int) -> None:
        """Start with a persisted period, which is kept for its own length."""
        distances = [abs(one - period_ms) for one in _PERIODS_MS]
        self.period_index = distances.index(min(distances))
        self.mean = mean
        self.period_fixed_until_ms = now_ms + int(self.period_ms)

    def restore(self, job_id: str, wave: Wave, now_ms: int) -> None:
        """Restore a job's persisted wave, with the weight of past samples."""
        cycle = JobLoadCycle(
            first_ms=now_ms - int(self.period_ms), last_ms=now_ms, wave=wave
        )
        half = _RESTORED_WEIGHT / 2
        cycle.moments[self.period_index] = Moments(
            _RESTORED_WEIGHT,
            sine_sine=half,
            cosine_cosine=half,
            load=_RESTORED_WEIGHT * wave.mean,
            load_sine=half * wave.sine,
            load_cosine=half * wave.cosine,
            load_load=_RESTORED_WEIGHT * wave.mean**2
            + half * (wave.sine**2 + wave.cosine**2),
        )
        self.swings[job_id] = cycle
