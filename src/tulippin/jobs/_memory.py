"""What an owner has learned, kept for the next one.

Without it each change of owner begins with the prior for all pairs of
images, and pays for them again: an owner learns some 30 pairs in its first
ten seconds, by slowing tasks with a target.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs._model_checks import drop_faults
from tulippin.jobs._rounding import (
    round_all,
    round_covariances,
    round_figure,
)
from tulippin.jobs.effects import KeepModel
from tulippin.jobs.events import ModelsSeen
from tulippin.jobs.pair_model import ImageModel, PairModel
from tulippin.jobs.records import ModelRecord, PairRecord, SwingRecord
from tulippin.jobs.state import Phase, SchedulerState
from tulippin.jobs.swings import SwingModel, Wave
from tulippin.logs import logger

_EVERY_MS: t.Final = 2000
_MOST_TOLD: t.Final = 8


def make_record(state: SchedulerState) -> ModelRecord:
    """Return what is worth keeping.

    Never what its readers would refuse: they would lose the whole of it, or
    take in what nobody can have learned.
    """
    record, faults = drop_faults(
        ModelRecord(
            {
                image: _make_pair(model)
                for image, model in state.model.images.items()
            },
            round_all(state.lowest_tails_ms),
            round_all(_list_known(state.run_times_ms)),
            _make_swings(state),
        )
    )
    if faults:
        state.count('model_parts_not_kept', len(faults))
        logger.error(
            'model parts not kept',
            unit=state.config.unit.number,
            parts=len(faults),
            reasons=faults[:_MOST_TOLD],
        )
    return record


def _list_known(times_ms: t.Mapping[str, float]) -> dict[str, float]:
    """Return the times without those of 0, which stand for none."""
    return {name: time_ms for name, time_ms in times_ms.items() if time_ms}


def _make_swings(state: SchedulerState) -> SwingRecord:
    """Return the swings by the time of day: clocks of instances differ."""
    swings = state.swings
    angle = swings.get_angle(state.wall_offset_ms)
    waves = {}
    for job_id in swings.swings:
        wave = swings.get_wave(job_id)
        if wave is not None:
            turned = attrs.astuple(wave.turn(angle))
            waves[job_id] = tuple(map(round_figure, turned))
    return SwingRecord(
        round_figure(swings.period_ms), round_figure(swings.mean), waves
    )


def _restore_swings(record: SwingRecord, state: SchedulerState) -> None:
    if record.period_ms <= 0:
        return
    swings = state.swings
    swings.begin(record.period_ms, record.mean, state.now_ms)
    angle = swings.get_angle(state.wall_offset_ms)
    for job_id, parts in record.waves.items():
        swings.restore(job_id, Wave(*parts).turn(-angle), state.now_ms)


def _make_pair(model: ImageModel) -> PairRecord:
    images = list(model.means)
    rows = [
        [model.get_covariance(one, other) for other in images[place:]]
        for place, one in enumerate(images)
    ]
    return PairRecord(
        round_all(model.means),
        round_covariances(rows),
        dict(model.sample_counts),
    )


def restore(record: ModelRecord, state: SchedulerState) -> None:
    """Begin with what an earlier owner has learned."""
    state.model.images = {
        image: _restore_pair(pair) for image, pair in record.pairs.items()
    }
    state.lowest_tails_ms = dict(record.lowest_tails_ms)
    state.run_times_ms = dict(record.run_times_ms)
    _restore_swings(record.swings, state)


def _restore_pair(pair: PairRecord) -> ImageModel:
    images = list(pair.means)
    covariances = {}
    for place, row in enumerate(pair.covariances):
        for other, value in zip(images[place:], row, strict=True):
            covariances[images[place], other] = value
            covariances[other, images[place]] = value
    return ImageModel(dict(pair.means), covariances, dict(pair.sample_counts))


def forget(state: SchedulerState) -> None:
    """Know nothing but the priors, as an owner that is the first one."""
    state.model = PairModel()
    state.swings = SwingModel()
    state.lowest_tails_ms = {}
    state.run_times_ms = {}
    state.tails.clear()


@handle.register
def _hear(event: ModelsSeen, context: Context) -> None:
    """Take in what the owners of other units have learned."""
    state = context.state
    state.model.hear(
        {image: _restore_pair(pair) for image, pair in record.pairs.items()}
        for record in event.models
    )
    for record in event.models:
        for image, tail_ms in record.lowest_tails_ms.items():
            known_ms = state.lowest_tails_ms.get(image, tail_ms)
            state.lowest_tails_ms[image] = min(known_ms, tail_ms)
        for queue, run_ms in record.run_times_ms.items():
            state.run_times_ms.setdefault(queue, run_ms)


def tick(context: Context) -> None:
    """Keep what is new from time to time."""
    state = context.state
    if state.ownership.phase is not Phase.ACTIVE or state.is_model_committing:
        return
    if state.now_ms - state.model_kept_ms < _EVERY_MS:
        return
    state.model_kept_ms = state.now_ms
    samples = state.model.count_samples()
    if samples == state.samples_kept:
        return
    state.samples_kept = samples
    state.is_model_committing = True
    context.emit(KeepModel(make_record(state), state.ownership.epoch_version))
