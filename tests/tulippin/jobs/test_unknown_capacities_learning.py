"""Further cases of workers of unknown capacity, and of stored idle tails."""

from test_unknown_capacities import (
    FILLS,
    SERVES,
    TARGET_MS,
    add_run,
    make_state,
    make_worker,
)

from tulippin.jobs import _tail_latency, _worker_health, _worker_selection
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Task
from tulippin.jobs.types import TaskKey
from tulippin.types import Resources

KNOWN = Resources(16_000, 64_000)
OTHER = '0000000000000009'


def is_unhealthy(capacity):
    """Whether a worker with a tail of 8 times its siblings' is unhealthy."""
    worker = make_worker(capacity)
    state = make_state(worker)
    slow = add_run(worker, 0, SERVES, 8 * 12.0)
    add_run(worker, 1, FILLS, 2000.0)
    for number in (2, 3):
        key = slow.key._replace(index=number)
        state.tails.setdefault(key.job_id, {})[key] = (12.0, state.now_ms)
    return _worker_health._is_unhealthy(worker, Context(state))


def test_worker_of_unknown_capacity_is_not_judged_by_its_tails():
    """Other tasks may cause the tails, as their share of it is unknown."""
    assert not is_unhealthy(KNOWN)
    assert not is_unhealthy(None)


def test_unknown_memory_does_not_limit_a_task():
    worker = make_worker(None)
    state = make_state(worker)
    task = Task(TaskKey(OTHER, 0, 0, 0))
    assert not _worker_selection.is_limited_by_memory(task, FILLS, state)


def test_idle_tail_has_a_lower_limit():
    worker = make_worker(KNOWN)
    state = make_state(worker)
    run = add_run(worker, 0, SERVES, 12.0)
    usual_ms = _tail_latency.get_unloaded_tail_ms(run, state)
    for lowest_ms in (0.0, 1e-300, 1e-9):
        state.lowest_tails_ms['web'] = lowest_ms
        assert (
            TARGET_MS / 100
            <= _tail_latency.get_unloaded_tail_ms(run, state)
            <= usual_ms
        )
