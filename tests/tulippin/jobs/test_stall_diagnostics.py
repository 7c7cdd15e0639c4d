"""The log tells what holds back the job that has waited longest."""

import logbook

import waiting_jobs
from scheduler_fleet import open_fleet

WORKERS = 2
JOBS = 4


def list_stalled(run_virtual, monkeypatch, own_tail_ms):
    """Return the log lines of four jobs that are worked off for 10 s."""
    get_own_ms = waiting_jobs.follow_load(monkeypatch, {}, own_tail_ms)

    async def run():
        async with open_fleet(instances=1, workers=WORKERS) as fleet:
            await waiting_jobs.serve(fleet, WORKERS)
            waiting_jobs.expect_harm(fleet, 'heavy')
            numbers = range(10, 10 + JOBS)
            for number in numbers:
                request = waiting_jobs.make_batch(8)
                await waiting_jobs.submit(fleet, number, request)
            watch = waiting_jobs.Watch(fleet, get_own_ms)
            await watch.run(waiting_jobs.get_ids(numbers), for_s=10)

    handler = logbook.TestHandler()
    with handler.applicationbound():
        run_virtual(run)
    return [
        record.kwargs
        for record in handler.records
        if record.message == 'job stalled'
    ]


def test_stalled_job_is_logged_with_its_runs_and_refusals(
    run_virtual, monkeypatch
):
    lines = list_stalled(run_virtual, monkeypatch, own_tail_ms=12.0)
    assert lines
    first = lines[0]
    assert first['stalled_ms'] >= 2000
    assert first['waiting_tasks'] == 8
    assert first['may_start']
    assert not first['awaits_workers']
    assert first['runs'] == []
    assert first['refused'] == {'harms_one_of_1': WORKERS}
    assert sum(first['slow_start'].values()) == WORKERS


def test_paused_run_of_a_stalled_job_is_logged(run_virtual, monkeypatch):
    lines = list_stalled(run_virtual, monkeypatch, own_tail_ms=60.0)
    runs = [run for line in lines for run in line['runs']]
    paused = [run for run in runs if not run['pace_percent']]
    assert paused
    assert {'task', 'worker', 'state', 'age_ms', 'progress_percent'} <= set(
        paused[0]
    )
    assert any(run['target_missed_ms'] > 0 for run in paused)
