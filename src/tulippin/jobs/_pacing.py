"""Keeping latency targets: tasks on idle processors are slowed in time.

At each report of a worker, the paces are chosen anew: the highest at which
the model expects every task with a target to keep it, where those to blame
most are slowed first. A miss that the model does not expect slows the
neighbours of which least is known, and if it lasts, all of them.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _attempts,
    _interference,
    _ownership,
    _scoring,
)
from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.effects import PaceRun
from tulippin.jobs.events import PaceAnswered
from tulippin.jobs.state import Attempt, AttemptState, SchedulerState, Worker
from tulippin.jobs.types import StartOutcome

_FULL_PERCENT: t.Final = 100
# Paces are multiples of this, so that noise in the tails sends no orders.
_GRAIN_PERCENT: t.Final = 10
# A pace is raised no sooner after its last change: a report covers half a
# second, and a new pace works after 100 ms.
_RAISE_AFTER_MS: t.Final = 600
_SEND_AGAIN_MS: t.Final = 400
# By how much a job's load may rise until the next report.
_RISE: t.Final = 0.03
# How far the load is looked at ahead: the next report, and the pace's way.
_AHEAD_MS: t.Final = 500
# A pair is known from its first sample beside one task of a tenth, which
# leaves a spread of 0.07 of the 0.12 that there is before.
_UNKNOWN_SPREAD: t.Final = 0.08
# A neighbour whose part may be this much above its mean is not well known.
_UNSURE: t.Final = 0.05
# A miss that lasted so long is not left to the model: two more reports.
_ALL_AFTER_MS: t.Final = 750
# Tail over target that counts as a miss.
_MISS_RATIO: t.Final = 0.97
# A task kept at or below this pace for so long goes elsewhere: a stop and
# a new start take about a second.
_MOVE_PERCENT: t.Final = 35
_MOVE_AFTER_MS: t.Final = 1200
# Work that may be done again, where there is no checkpoint.
_CHEAP_PROGRESS_PERCENT: t.Final = 25


def adjust(worker: Worker, context: Context) -> None:
    """Choose the pace of a worker's opportunistic tasks, and send it."""
    fillers = [
        attempt
        for attempt in worker.fillers.values()
        if attempt.state is AttemptState.RUNNING
    ]
    if not fillers:
        worker.missed_since_ms = 0
        return
    _choose(worker, fillers, context)
    for attempt in fillers:
        if attempt.pace_percent != attempt.wanted_percent:
            _send(attempt, worker, context)


def _choose(worker: Worker, fillers: list[Attempt], context: Context) -> None:
    state = context.state
    paces = _Paces(worker, fillers, state)
    paces.fit()
    worst = max(worker.serving.values(), key=_get_ratio, default=None)
    ratio = 0.0 if worst is None else _get_ratio(worst)
    if worst is not None and ratio > _MISS_RATIO:
        worker.missed_since_ms = worker.missed_since_ms or state.now_ms
        paces.brake(worst)
    else:
        worker.missed_since_ms = 0
    before = [attempt.wanted_percent for attempt in fillers]
    may_raise = state.now_ms - worker.pace_changed_ms >= _RAISE_AFTER_MS
    for attempt, share in zip(fillers, paces.shares, strict=True):
        percent = int(share * _FULL_PERCENT) // _GRAIN_PERCENT * _GRAIN_PERCENT
        if percent < attempt.wanted_percent or may_raise:
            attempt.wanted_percent = percent
    _move_slowed(fillers, context)
    after = [attempt.wanted_percent for attempt in fillers]
    if before == after:
        return
    _interference.forget_view(worker)
    worker.pace_changed_ms = state.now_ms
    context.log(
        'pace worker',
        worker=worker.worker_id,
        worst=worst.key.format() if worst else '',
        worst_ratio=round(ratio, 3),
        before_percent=before,
        percent=after,
    )


def _get_ratio(attempt: Attempt) -> float:
    return attempt.tail_ms / attempt.step.target_ms


@attrs.define
class _Paces:
    """Shares of their speed for a worker's neighbours, from 0 to 1."""

    worker: Worker
    fillers: list[Attempt]
    state: SchedulerState
    shares: list[float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin with all of them at full speed."""
        self.shares = [1.0 for _ in self.fillers]

    def fit(self) -> None:
        """Slow those to blame until every target should be kept."""
        for image, allowance in self._get_allowances().items():
            parts = [self._get_part(image, one) for one in self.fillers]
            self._reduce(parts, allowance)

    def _get_part(self, image: str, attempt: Attempt) -> float:
        """Return what a neighbour is known to add to an image's slowdown.

        One of which nothing is known is not slowed for a suspicion: at
        rest it would never be known.
        """
        model = self.state.model
        if model.get_spread(image, attempt.step.image) > _UNKNOWN_SPREAD:
            return 0.0
        part = _interference.get_contribution(
            image, attempt, self.worker, self.state
        )
        return part if part > _interference.HARMLESS else 0.0

    def _get_allowances(self) -> dict[str, float]:
        """Return by what each image there may be slowed."""
        allowances: dict[str, float] = {}
        for one in self.worker.serving.values():
            image = one.step.image
            expected = _interference.get_expected(
                image, self.worker, self.state
            )
            allowance = _interference.get_allowance(
                one, self.state, expected, _RISE, _AHEAD_MS
            )
            known = allowances.get(image, allowance)
            allowances[image] = min(known, allowance)
        return allowances

    def _reduce(self, parts: list[float], allowance: float) -> None:
        """Slow the largest parts first until their sum is allowed."""
        excess = (
            sum(
                part * share
                for part, share in zip(parts, self.shares, strict=True)
            )
            - allowance
        )
        order = sorted(range(len(parts)), key=lambda place: -parts[place])
        for place in order:
            if excess <= 0 or parts[place] <= 0:
                return
            part = parts[place] * self.shares[place]
            taken = min(part, excess)
            self.shares[place] -= taken / parts[place]
            excess -= taken

    def brake(self, worst: Attempt) -> None:
        """Act on a miss: slow the least known, and all if it lasts."""
        lasted_ms = self.state.now_ms - self.worker.missed_since_ms
        image = worst.step.image
        for place, attempt in enumerate(self.fillers):
            spread = self.state.model.get_spread(image, attempt.step.image)
            share = _interference.get_share(attempt.step, self.worker)
            if spread * share > _UNSURE or lasted_ms >= _ALL_AFTER_MS:
                self.shares[place] = 0.0


def _move_slowed(fillers: list[Attempt], context: Context) -> None:
    """Stop what has been slow for long, to go on from there elsewhere."""
    now_ms = context.state.now_ms
    for attempt in fillers:
        if attempt.wanted_percent > _MOVE_PERCENT:
            attempt.slowed_ms = 0
            continue
        attempt.slowed_ms = attempt.slowed_ms or now_ms
        is_cheap = (
            attempt.step.checkpointing
            or attempt.progress_percent < _CHEAP_PROGRESS_PERCENT
        )
        is_long = now_ms - attempt.slowed_ms >= _MOVE_AFTER_MS
        if is_cheap and is_long and _scoring.fits_elsewhere(attempt, context):
            _attempts.avoid(attempt, context)
            _attempts.stop_attempt(attempt, context, 'slowed for long')


def _send(attempt: Attempt, worker: Worker, context: Context) -> None:
    state = context.state
    if state.now_ms - attempt.paced_ms < _SEND_AGAIN_MS:
        return
    attempt.paced_ms = state.now_ms
    context.emit(
        PaceRun(
            worker.worker_id,
            worker.entry.address,
            attempt.key,
            attempt.run,
            attempt.wanted_percent,
            context.fencing_token,
        )
    )


@handle.register
def _paced(event: PaceAnswered, context: Context) -> None:
    state = context.state
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    if event.answer.outcome is StartOutcome.FENCED:
        _ownership.step_down(context, f'{event.worker_id} has a newer owner')
        return
    attempt = worker.attempts.get((event.key, event.run))
    if attempt is None:
        return
    attempt.paced_ms = 0
    if event.answer.outcome is StartOutcome.STARTED:
        attempt.pace_percent = event.percent
        # A task that rested has had no chance to work until now.
        attempt.worked_ms = state.now_ms
