"""What an owner keeps of finished jobs."""

import trio

from scheduler_fleet import JOB, make_request, make_step, open_fleet
from tulippin.jobs.types import JobState

TASKS = 40
SWEEP_S = 2.5


def test_finished_job_keeps_no_tasks_until_it_is_removed(run_virtual):
    """Guards against owners that keep a job's tasks for minutes after it."""

    async def run():
        async with open_fleet(instances=1) as fleet:
            await fleet.submit(request=make_request(make_step(TASKS, cpu=100)))
            await fleet.wait_done(JOB)
            job = fleet.instances['i0'].state.jobs[JOB]
            assert len(job.tasks) == TASKS
            await trio.sleep(SWEEP_S)
            assert not job.tasks
            assert fleet.instances['i0'].state.jobs[JOB] is job
            assert job.state is JobState.COMPLETED
            assert fleet.count_starts() == TASKS

    run_virtual(run)


def test_lost_reports_of_a_finished_job_start_none_of_its_tasks(run_virtual):
    """Ends that come again after the tasks are removed change nothing."""

    async def run():
        async with open_fleet(instances=1) as fleet:
            await fleet.submit(request=make_request(make_step(TASKS, cpu=100)))
            await fleet.wait_done(JOB)
            await trio.sleep(SWEEP_S)
            fleet.kill_owner()
            await fleet.start('i1')
            await fleet.wait_owner()
            await fleet.wait_done(JOB)
            await trio.sleep(SWEEP_S)
            assert fleet.count_starts() == TASKS

    run_virtual(run)
