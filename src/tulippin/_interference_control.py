"""Interference on workers: learned slowdowns, throttling and eviction.

The latencies that this instance observes are the fast signal. The workers'
reports lag, so their samples are credited to the attempts that ran at the
time of the measurement.
"""

from __future__ import annotations

import collections

from tulippin import _worker_state
from tulippin._context import Context
from tulippin._dispatch import receive
from tulippin._placing import find_evictable
from tulippin.ledger import AttemptEntry
from tulippin.messages import ModelShared
from tulippin.policies import InterferenceModel, InterferencePolicy
from tulippin.state import CellState, WorkerState
from tulippin.trial import get_policy
from tulippin.types import URGENT_PRIORITY, JobKind, TaskOutcome
from tulippin.worker_types import WorkerReport

_PRESSURE_SMOOTHING_FACTOR = 0.1
_MAX_SHARED_WEIGHTS = 500
_THROTTLE_COOLDOWN_MS = 5000
_EVICTION_COOLDOWN_MS = 10000
_UNTHROTTLE_FRACTION = 0.8


def learn_from_report(
    context: Context,
    cell: CellState,
    worker: WorkerState,
    report: WorkerReport,
) -> None:
    """Update the size and interference models from a worker's report.

    Also records the unsaved progress and the batch classes now running.
    """
    measured_ms = context.now_ms - report.usage_age_ms
    batch = _get_batch_counts_at(worker, measured_ms)
    for sample in report.usage:
        entry = cell.ledger.attempts.get(sample.task_id)
        if entry is None or entry.task.attempt != sample.attempt:
            continue
        context.state.sizes.learn(entry.spec.job_class, sample.used)
        if entry.spec.kind is JobKind.SERVICE:
            context.state.model.learn(
                entry.spec.job_class, batch, sample.slowdown
            )
    for run in report.runs:
        worker.unsaved_progress_ms[run.task_id] = run.progress_ms
    for task_id in set(worker.unsaved_progress_ms) - worker.attempts:
        del worker.unsaved_progress_ms[task_id]
    current = dict(worker.batch_counts)
    if (
        not worker.batch_count_history
        or worker.batch_count_history[-1][1] != current
    ):
        worker.batch_count_history.append((context.now_ms, current))


def summarize_harm(
    context: Context, workers: list[WorkerState]
) -> dict[str, float]:
    """Return, by batch class, the least harm of one more task on a worker.

    Empty unless the bundle has exactly one policy and that policy learns
    interference: while several are on trial, a home's choice among cells
    must not favour one of them.
    """
    bundle = context.state.bundle
    if bundle is None or len(bundle.policies) > 1 or not workers:
        return {}
    policy = next(iter(bundle.policies.values()))
    if not isinstance(policy, InterferencePolicy):
        return {}
    harm_by_class = {}
    for name in context.state.model.iter_classes():
        size = context.state.sizes.get_size(name)
        harms = [
            _get_class_harm(context.state.model, worker, name)
            for worker in workers
            if worker.free.fits(size)
        ]
        if harms:
            harm_by_class[name] = round(min(harms), 3)
    return harm_by_class


def _get_class_harm(
    model: InterferenceModel, worker: WorkerState, batch_class: str
) -> float:
    return sum(
        model.get_weight(service, batch_class) * number
        for service, number in worker.service_counts.items()
    )


def share_model(context: Context) -> None:
    """Send the peers the learned weights with the most samples."""
    entries = sorted(
        context.state.model.iter_learned(), key=lambda entry: -entry[2]
    )[:_MAX_SHARED_WEIGHTS]
    if not entries:
        return
    rounded = tuple(
        (key, round(weight, 4), round(number, 1))
        for key, weight, number in entries
    )
    for session_id in context.state.peers:
        context.send(session_id, ModelShared(rounded))


@receive.register
def _(message: ModelShared, sender: str, context: Context) -> None:
    state = context.state
    invalid_count = state.model.store_shared(sender, message.entries)
    if invalid_count:
        state.counters['weights_refused'] += invalid_count


def _get_batch_counts_at(worker: WorkerState, at_ms: int) -> dict[str, int]:
    """Return the counts of batch classes on a worker at a past time."""
    for since_ms, batch in reversed(worker.batch_count_history):
        if since_ms <= at_ms:
            return batch
    return {}


def update_pressure(
    context: Context, worker: WorkerState, service: str, latency_ms: float
) -> None:
    """Update a worker's pressure with the latency of one request.

    Pressure is the smoothed ratio of latency to target.
    """
    bundle = context.state.bundle
    target_ms = bundle.get_target_ms(service) if bundle else 0.0
    if target_ms:
        ratio = min(latency_ms / target_ms, 10.0)
        worker.pressure += _PRESSURE_SMOOTHING_FACTOR * (
            ratio - worker.pressure
        )


def tick_cell(context: Context, cell: CellState) -> None:
    """Throttle, evict or unthrottle batch work, by the cell's policy."""
    state = context.state
    name = cell.unit.partition('/')[2]
    _, policy, _ = get_policy(
        state.bundle, name, state.wall_ms, state.stats.stopped
    )
    if not isinstance(policy, InterferencePolicy):
        return
    for worker in cell.workers.values():
        _relieve_worker(context, cell, worker, policy)


def _relieve_worker(
    context: Context,
    cell: CellState,
    worker: WorkerState,
    policy: InterferencePolicy,
) -> None:
    """Relieve one worker by at most one step.

    Batch attempts are throttled first; if the pressure stays high, the
    most harmful one is evicted. The cooldown after each step prevents a
    burst of evictions before the previous step takes effect.
    """
    if context.now_ms < worker.next_relief_ms:
        return
    if worker.pressure < policy.throttle_ratio * _UNTHROTTLE_FRACTION:
        if worker.throttled:
            worker.throttled.clear()
            worker.needs_urgent_sync = True
            worker.next_relief_ms = context.now_ms + _THROTTLE_COOLDOWN_MS
        return
    if worker.pressure < policy.throttle_ratio:
        return
    victims = find_evictable(cell, worker, URGENT_PRIORITY)
    if not victims:
        return
    unthrottled = set(victims) - worker.throttled
    if unthrottled:
        worker.throttled |= unthrottled
        worker.needs_urgent_sync = True
        worker.next_relief_ms = context.now_ms + _THROTTLE_COOLDOWN_MS
    elif worker.pressure >= policy.evict_ratio:
        victim = max(
            victims,
            key=lambda task_id: _get_eviction_key(
                context, cell, worker, task_id
            ),
        )
        _worker_state.evict(context, cell, worker, victim)
        worker.next_relief_ms = context.now_ms + _EVICTION_COOLDOWN_MS


def _get_eviction_key(
    context: Context, cell: CellState, worker: WorkerState, task_id: str
) -> tuple[float, int]:
    entry = cell.ledger.attempts[task_id]
    harm = _get_class_harm(context.state.model, worker, entry.spec.job_class)
    return harm, -worker.unsaved_progress_ms.get(task_id, 0)


def count_ended_attempt(
    context: Context,
    cell: CellState,
    entry: AttemptEntry,
    outcome: TaskOutcome,
) -> None:
    """Count an ended attempt for the trial and its worker's quarantine."""
    state = context.state
    stats = state.stats.get_policy(entry.policy)
    name = cell.unit.partition('/')[2]
    _, _, window = get_policy(state.bundle, name, state.wall_ms)
    counts = state.stats.get_window(name, window.index, entry.policy)
    if outcome is TaskOutcome.DONE:
        stats.done_count += 1
        counts.done_count += 1
    elif outcome in {TaskOutcome.EVICTED, TaskOutcome.LOST}:
        worker = cell.workers.get(entry.worker_id)
        lost_ms = 0
        if worker is not None:
            lost_ms = worker.unsaved_progress_ms.get(entry.task.task_id, 0)
        stats.evicted_count += 1
        stats.wasted_ms += lost_ms
        counts.evicted_count += 1
    worker = cell.workers.get(entry.worker_id)
    if worker is not None:
        update_quarantine(context, worker, entry, outcome)


_FAILED_JOBS_TO_QUARANTINE = 3
_BASE_QUARANTINE_MS = 30000
_MAX_QUARANTINE_DOUBLINGS = 6


def update_quarantine(
    context: Context,
    worker: WorkerState,
    entry: AttemptEntry,
    outcome: TaskOutcome,
) -> None:
    """Quarantine a worker on which several jobs failed in a row.

    Repeated failures of one job count once for each worker, so that a job
    that fails everywhere quarantines no worker. After a quarantine, one
    failure starts the next one, for twice the time, until a task is done.
    """
    if outcome is TaskOutcome.DONE:
        worker.failed_jobs.clear()
        worker.quarantine_count = 0
        return
    if outcome is not TaskOutcome.FAILED:
        return
    failed = collections.Counter(worker.failed_jobs)
    failed[entry.spec.job_id] += 1
    worker.failed_jobs = dict(failed)
    needed = 1 if worker.quarantine_count else _FAILED_JOBS_TO_QUARANTINE
    if len(worker.failed_jobs) >= needed:
        worker.failed_jobs.clear()
        doublings = min(worker.quarantine_count, _MAX_QUARANTINE_DOUBLINGS)
        worker.quarantined_until_ms = (
            context.now_ms + _BASE_QUARANTINE_MS * 2**doublings
        )
        worker.quarantine_count += 1
        context.state.counters['workers_quarantined'] += 1
