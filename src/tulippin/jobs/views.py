"""Views of a scheduler's state for operators."""

from __future__ import annotations

import typing as t

from tulippin.jobs import _evacuation, _lifecycle
from tulippin.jobs._interference import get_slack
from tulippin.jobs._ownership import count_waiting
from tulippin.jobs.state import Attempt, Job, SchedulerState, Worker


def show_unit(state: SchedulerState) -> dict[str, t.Any]:
    """Return the ownership of the unit, as this instance knows it."""
    ownership = state.ownership
    return {
        'unit': state.config.unit.number,
        'session': state.config.session_id,
        'phase': ownership.phase.value,
        'epoch': ownership.epoch.epoch if ownership.epoch else 0,
        'owner': ownership.epoch.session_id if ownership.epoch else '',
        'renewed_ago_ms': state.now_ms - ownership.renewed_ms,
        'must_confirm': ownership.must_confirm,
    }


def show_job(job: Job) -> dict[str, t.Any]:
    """Return a job with its remaining tasks and its runs."""
    return {
        'job': job.job_id,
        'queue': job.queue.name,
        'state': job.state.value,
        'cancelled': job.is_cancelled,
        'completed_occurrences': job.completed_count,
        'remaining': {
            f'{occurrence}.{step}': count
            for (occurrence, step), count in job.remaining.items()
        },
        'failed_runs': sum(
            len(task.failed_runs) for task in job.tasks.values()
        ),
        'crashes': {
            _lifecycle.get_name(task.key): [
                crash.worker_id for crash in task.list_crashes()
            ]
            for task in job.tasks.values()
            if task.crashes
        },
        'reason': job.reason,
        'runs': [
            show_attempt(attempt)
            for task in job.tasks.values()
            for attempt in task.attempts.values()
        ],
    }


def show_attempt(attempt: Attempt) -> dict[str, t.Any]:
    """Return a run as last reported."""
    return {
        'task': attempt.key.format(),
        'run': attempt.run,
        'worker': attempt.worker_id,
        'state': attempt.state.value,
        'progress_percent': attempt.progress_percent,
        'pace_percent': attempt.pace_percent,
        'load': attempt.load,
    }


def show_worker(worker: Worker, state: SchedulerState) -> dict[str, t.Any]:
    """Return a worker with its free capacity and what keeps tasks away."""
    return {
        'worker': worker.worker_id,
        'service': worker.entry.service,
        'failure_domain': worker.entry.failure_domain,
        'listed': worker.is_listed,
        'draining': worker.entry.draining,
        'evacuated': _evacuation.is_closed(worker, state),
        'silent_holds': worker.failed_count,
        'quarantined_for_ms': max(
            0, worker.quarantined_until_ms - state.now_ms
        ),
        'room_known': worker.entry.capacity is not None,
        'free_millicores': worker.free.cpu_millicores,
        'free_memory_mb': worker.free.memory_mb,
        'runs': len(worker.attempts),
        'slack': get_slack(worker, state),
    }


def show_queues(state: SchedulerState) -> dict[str, t.Any]:
    """Return the configured queues and how many jobs wait in each."""
    configuration = state.configuration
    if configuration is None:
        return {'version': 0, 'queues': []}
    waiting = count_waiting(state)
    return {
        'version': configuration.version,
        'queues': [
            {
                'name': queue.name,
                'host': queue.host,
                'path_prefix': queue.path_prefix,
                'service': queue.service,
                'priority': queue.priority,
                'waiting': waiting.get(queue.name, 0),
                'mean_run_ms': state.run_times_ms.get(queue.name, 0.0),
            }
            for queue in configuration.queues
        ],
    }


def show_model(state: SchedulerState) -> list[dict[str, t.Any]]:
    """Return what the interference model learned, largest excess first."""
    rows = []
    for serving, beside, mean, spread, count in state.model.iter_learned():
        rows.append(
            {
                'serving_image': serving,
                'image_beside': beside,
                'excess_per_tenth': round(mean, 4),
                'spread': round(spread, 4),
                'samples': count,
            }
        )
    return sorted(rows, key=lambda row: -row['excess_per_tenth'])


def dump(state: SchedulerState) -> dict[str, t.Any]:
    """Return the complete state of one unit."""
    return {
        'unit': show_unit(state),
        'queues': show_queues(state),
        'jobs': [show_job(job) for job in state.jobs.values()],
        'workers': [
            show_worker(worker, state) for worker in state.workers.values()
        ],
        'model': show_model(state),
        'policy': type(state.policy).__name__,
        'bundle_number': state.policy_number,
        'counters': state.counters,
    }
