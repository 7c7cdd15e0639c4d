"""Jobs that may run make progress while most of their workers are idle."""

import functools
import itertools

import attrs
import pytest

import waiting_jobs
from scheduler_fleet import open_fleet
from tulippin.jobs.features import Features
from tulippin.jobs.types import OrderAnswer, OrderOutcome
from tulippin.platform.standin_worker import StandinWorker

WORKERS = 6
# How long users accept a job without progress, and half a second for polling.
MAX_STALLED_S = 3.5
# How long users accept a target missed because of opportunistic tasks.
MAX_HARM_S = 4.0
# Time that a worker takes to stop a run.
STOP_MS = 900
# The first starts are answered, so that work begins everywhere.
ANSWERED_STARTS = 30


@attrs.frozen
class Form:
    """A number of jobs, and what they meet.

    Parameters
    ----------
    job_count, task_count, cpu, memory_mb : int
        The jobs, the tasks of each, and the millicores and memory of a task.
    own_tail_ms : float
        The tail of the tasks with a target, without neighbours.
    own_tails_ms : dict of str to float
        The same on single workers, where it differs.
    failing_interval : int, optional
        One of so many orders to start fails.
    outcome : OrderOutcome
        How it fails.
    is_completed : bool
        Whether all jobs have to be completed in the time.
    """

    job_count: int
    task_count: int = 8
    cpu: int = 1000
    memory_mb: int = 1000
    own_tail_ms: float = 12.0
    own_tails_ms: dict = attrs.field(factory=dict)
    failing_interval: int | None = None
    outcome: OrderOutcome = OrderOutcome.NO_ROOM
    is_completed: bool = False


FORMS = {
    'paused_runs': Form(
        20,
        4,
        own_tail_ms=30.0,
        own_tails_ms=dict.fromkeys(('w0', 'w1', 'w2', 'w3'), 60.0),
        is_completed=True,
    ),
    'missed_by_own_load': Form(8, 2, own_tail_ms=60.0, is_completed=True),
    'more_jobs_than_places': Form(40, cpu=2000),
    'memory_kept_for_urgent_tasks': Form(30, memory_mb=9000),
    'tasks_that_exceed_idle_processors': Form(30, cpu=12_000),
    'refused_after_a_move': Form(24, own_tail_ms=40.0, failing_interval=3),
    'unanswered_starts': Form(
        24,
        own_tail_ms=40.0,
        failing_interval=5,
        outcome=OrderOutcome.UNKNOWN,
    ),
}


def fail_starts(monkeypatch, form):
    """Have workers fail one of so many orders to start, after the first."""
    numbers = itertools.count()
    handle = StandinWorker.handle_start_order

    @functools.wraps(handle)
    def fail_some(worker, order):
        number = next(numbers)
        if number > ANSWERED_STARTS and not number % form.failing_interval:
            return OrderAnswer(form.outcome, worker.clock_ms)
        return handle(worker, order)

    if form.failing_interval:
        monkeypatch.setattr(StandinWorker, 'handle_start_order', fail_some)


@pytest.mark.parametrize('name', FORMS)
def test_waiting_job_makes_progress_beside_idle_workers(
    run_virtual, monkeypatch, name
):
    form = FORMS[name]
    get_own_ms = waiting_jobs.follow_load(
        monkeypatch, form.own_tails_ms, form.own_tail_ms
    )
    fail_starts(monkeypatch, form)
    features = Features(gathers_reports=True)

    async def run():
        async with open_fleet(
            instances=1, workers=WORKERS, features=features
        ) as fleet:
            for worker in fleet.platform.workers.values():
                worker.stop_ms = STOP_MS
            await waiting_jobs.serve(fleet, WORKERS)
            waiting_jobs.expect_harm(fleet, 'heavy')
            numbers = range(10, 10 + form.job_count)
            for number in numbers:
                request = waiting_jobs.make_batch(
                    form.task_count, cpu=form.cpu, memory_mb=form.memory_mb
                )
                await waiting_jobs.submit(fleet, number, request)
            watch = waiting_jobs.Watch(
                fleet, get_own_ms, form.cpu, form.memory_mb
            )
            left = await watch.run(waiting_jobs.get_ids(numbers), for_s=60)
            assert max(watch.stalled_s.values()) < MAX_STALLED_S
            assert watch.harm_s < MAX_HARM_S
            assert not (left and form.is_completed)
            fleet.check()

    run_virtual(run)
