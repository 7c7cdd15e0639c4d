"""Persists what an owner has learned, and restores it at the next one.

Without it each new owner would start with the prior for all pairs of images:
an owner learns some 30 pairs in its first ten seconds, and slows
latency-critical tasks to do so.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs._model_validation import drop_faults
from tulippin.jobs._rounding import (
    round_all,
    round_covariances,
    round_figure,
)
from tulippin.jobs.effects import KeepModel
from tulippin.jobs.events import ModelsSeen
from tulippin.jobs.load_cycles import LoadCycleModel, Wave
from tulippin.jobs.pair_model import ImageModel, PairModel
from tulippin.jobs.records import (
    ModelRecord,
    PairRecord,
    RunTimeRecord,
    SwingRecord,
)
from tulippin.jobs.state import Phase, SchedulerState
from tulippin.logs import logger

_SAVE_INTERVAL_MS: t.Final = 2000
_MAX_LOGGED_FAULTS: t.Final = 8


def make_record(state: SchedulerState) -> ModelRecord:
    """Return the learned model as a record, without invalid parts.

    A reader would reject invalid parts or the whole record, so they are
    dropped, counted and logged before the record is written.
    """
    record, faults = drop_faults(
        ModelRecord(
            {
                image: _make_pair(model)
                for image, model in state.model.images.items()
            },
            round_all(state.lowest_tails_ms),
            round_all(_drop_unknown(state.run_times_ms)),
            _make_cycles(state),
            {
                queue: _round_fit(fit)
                for queue, fit in state.run_time_fits.items()
            },
        )
    )
    if faults:
        state.count('model_parts_not_kept', len(faults))
        logger.error(
            'model parts not kept',
            unit=state.config.unit.number,
            parts=len(faults),
            reasons=faults[:_MAX_LOGGED_FAULTS],
        )
    return record


def _round_fit(fit: RunTimeRecord) -> RunTimeRecord:
    figures = attrs.asdict(fit, filter=attrs.filters.exclude('count'))
    return attrs.evolve(fit, **round_all(figures))


def _drop_unknown(times_ms: t.Mapping[str, float]) -> dict[str, float]:
    """Return the times without those of 0, which are not known."""
    return {name: time_ms for name, time_ms in times_ms.items() if time_ms}


def _make_cycles(state: SchedulerState) -> SwingRecord:
    """Return the load cycles relative to wall-clock time.

    Instances share the wall clock, but not the steady clock that the model
    uses.
    """
    cycles = state.swings
    angle = cycles.get_angle(state.wall_offset_ms)
    waves = {}
    for job_id in cycles.swings:
        wave = cycles.get_wave(job_id)
        if wave is not None:
            rotated = attrs.astuple(wave.rotate(angle))
            waves[job_id] = tuple(map(round_figure, rotated))
    return SwingRecord(
        round_figure(cycles.period_ms), round_figure(cycles.mean), waves
    )


def _restore_cycles(record: SwingRecord, state: SchedulerState) -> None:
    if record.period_ms <= 0:
        return
    cycles = state.swings
    cycles.adopt_period(record.period_ms, record.mean, state.now_ms)
    angle = cycles.get_angle(state.wall_offset_ms)
    for job_id, parts in record.waves.items():
        cycles.restore(job_id, Wave(*parts).rotate(-angle), state.now_ms)


def _make_pair(model: ImageModel) -> PairRecord:
    images = list(model.means)
    rows = [
        [model.get_covariance(one, other) for other in images[index:]]
        for index, one in enumerate(images)
    ]
    return PairRecord(
        round_all(model.means),
        round_covariances(rows),
        dict(model.sample_counts),
    )


def restore(record: ModelRecord, state: SchedulerState) -> None:
    """Replace the learned state with a persisted model."""
    state.model.images = {
        image: _restore_pair(pair) for image, pair in record.pairs.items()
    }
    state.lowest_tails_ms = dict(record.lowest_tails_ms)
    state.run_times_ms = dict(record.run_times_ms)
    state.run_time_fits = dict(record.run_time_fits)
    _restore_cycles(record.swings, state)


def _restore_pair(pair: PairRecord) -> ImageModel:
    images = list(pair.means)
    covariances = {}
    for index, row in enumerate(pair.covariances):
        for other, value in zip(images[index:], row, strict=True):
            covariances[images[index], other] = value
            covariances[other, images[index]] = value
    return ImageModel(dict(pair.means), covariances, dict(pair.sample_counts))


def forget(state: SchedulerState) -> None:
    """Reset the learned state to the priors."""
    state.model = PairModel()
    state.swings = LoadCycleModel()
    state.lowest_tails_ms = {}
    state.run_times_ms = {}
    state.run_time_fits = {}
    state.run_ratios = {}
    state.tails.clear()


@handle.register
def _handle_models(event: ModelsSeen, context: Context) -> None:
    """Apply the persisted models of other units' owners."""
    state = context.state
    state.model.update_peers(
        {image: _restore_pair(pair) for image, pair in record.pairs.items()}
        for record in event.models
    )
    for record in event.models:
        for image, tail_ms in record.lowest_tails_ms.items():
            known_ms = state.lowest_tails_ms.get(image, tail_ms)
            state.lowest_tails_ms[image] = min(known_ms, tail_ms)
        for queue, run_ms in record.run_times_ms.items():
            state.run_times_ms.setdefault(queue, run_ms)
        for queue, fit in record.run_time_fits.items():
            state.run_time_fits.setdefault(queue, fit)


def tick(context: Context) -> None:
    """Persist the model at intervals if it has new samples."""
    state = context.state
    if state.ownership.phase is not Phase.ACTIVE or state.is_model_committing:
        return
    if state.now_ms - state.model_persisted_ms < _SAVE_INTERVAL_MS:
        return
    state.model_persisted_ms = state.now_ms
    samples = state.model.count_samples()
    if samples == state.persisted_sample_count:
        return
    state.persisted_sample_count = samples
    state.is_model_committing = True
    context.emit(KeepModel(make_record(state), state.ownership.epoch_version))
