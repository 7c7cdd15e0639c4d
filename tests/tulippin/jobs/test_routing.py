"""Jobs follow their queue to the service that the configuration names."""

import attrs
import pytest
import trio
from test_scheduler_decisions import make_state

from scheduler_fleet import (
    JOB,
    QUEUE,
    make_long_running_request,
    make_request,
    make_step,
    open_fleet,
)
from tulippin.jobs import _occurrences, _routing, core
from tulippin.jobs import events as ev
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import Job, Worker
from tulippin.jobs.types import Configuration, JobState, Schedule, WorkerEntry
from tulippin.platform.wire import ConfigBody, RouteBody, ServiceBody
from tulippin.types import Resources

SCHEDULE_JOB = '00000000000000bb'
OLD, NEW = 'catalogue', 'pool-new'
SIZE = Resources(16_000, 64_000)


def make_body(version, service):
    return ConfigBody(
        version,
        (
            RouteBody('q', 'host', '/q/', service, 0, 3, 2.0, 500),
            RouteBody('p', 'host', '/p/', service, 2, 3, 2.0, 500),
        ),
        tuple(ServiceBody(name, enforces_capacity=True) for name in (OLD, NEW)),
    )


# Guards against jobs of a moved queue that wait for good for the service that
# accepted them.
@pytest.mark.parametrize('takeover', [False, True])
def test_jobs_go_on_once_their_queue_has_moved(run_virtual, takeover):
    async def run():
        async with open_fleet(instances=2, workers=1) as fleet:
            for number in range(3):
                fleet.platform.add_worker(f'n{number}', service=NEW)
            fleet.platform.configure(make_body(2, OLD))
            await trio.sleep(2)
            wall_ms = fleet.instances['i0'].shell.wall()
            await fleet.submit(request=make_long_running_request(2))
            schedule = attrs.evolve(
                make_request(run_ms=200), schedule=Schedule(wall_ms, 1000, 30)
            )
            await fleet.submit(SCHEDULE_JOB, schedule)
            await fleet.wait_running(2)
            fleet.platform.configure(make_body(3, NEW))
            await trio.sleep(2)
            if takeover:
                fleet.kill_owner()
                await fleet.start('next')
                await fleet.wait_owner()
            fleet.platform.workers['w0'].crash()
            await trio.sleep(9)
            running = {
                key.job_id
                for worker in fleet.platform.workers.values()
                if worker.is_up
                for key, _ in worker.runs
            }
            assert JOB in running
            starts = fleet.count_starts(SCHEDULE_JOB)
            await trio.sleep(5)
            assert fleet.count_starts(SCHEDULE_JOB) > starts
            fleet.check()

    run_virtual(run)


def make_worker(state, worker_id, service):
    entry = WorkerEntry(worker_id, service, f'{worker_id}:80', 'z', SIZE)
    worker = state.workers[worker_id] = Worker(entry)
    worker.is_rostered = worker.is_reconciled = True
    worker.clock_offset_ms = 0
    return worker


def make_context(*services, version=5):
    """Return the context of an owner whose configuration names ``NEW``."""
    state = make_state(0)
    for number, service in enumerate(services):
        make_worker(state, f'w{number}', service)
    queue = attrs.evolve(QUEUE, service=NEW, configuration_version=version)
    state.configuration = Configuration(version, (queue,))
    return Context(state)


def add_job(context, accepted_version, service=OLD, steps=()):
    queue = attrs.evolve(
        QUEUE, service=service, configuration_version=accepted_version
    )
    job = Job(JOB, queue, make_request(*steps), 1)
    context.state.jobs[JOB] = job
    _occurrences.begin(job, 0)
    _routing.route(job, context)
    return job


@pytest.mark.parametrize('version', [0, 4])
def test_job_follows_a_newer_configuration(version):
    job = add_job(make_context(OLD, NEW), version)
    assert job.queue.service == NEW
    assert job.accepted_queue.service == OLD


# Guards against new jobs that an owner sends to the service of a configuration
# that was replaced before they were accepted.
@pytest.mark.parametrize('version', [5, 6])
def test_job_does_not_follow_an_older_configuration(version):
    job = add_job(make_context(OLD, NEW), version)
    assert job.queue.service == OLD


def test_job_of_a_dropped_route_keeps_its_service():
    context = make_context(OLD, NEW)
    context.state.configuration = Configuration(5)
    assert add_job(context, 4).queue.service == OLD


def test_accepted_service_serves_on_where_the_new_one_has_no_worker():
    context = make_context(OLD)
    job = add_job(context, 4)
    assert job.queue.service == OLD
    make_worker(context.state, 'later', NEW)
    context.state.now_ms += 300
    _routing.tick(context)
    assert job.queue.service == NEW


def test_accepted_service_serves_on_where_no_new_worker_could_run_it():
    context = make_context(OLD, NEW)
    new = context.state.workers['w1']
    new.entry = attrs.evolve(new.entry, capacity=Resources(500, 64_000))
    assert add_job(context, 4).queue.service == OLD


def test_job_follows_the_new_service_where_neither_could_run_it():
    job = add_job(make_context(), 4)
    assert job.queue.service == NEW


def test_jobs_are_routed_as_a_configuration_comes_into_force():
    context = make_context(OLD, NEW, version=4)
    job = add_job(context, 4)
    newer = attrs.evolve(context.state.configuration, version=5)
    event = ev.ConfigurationChanged(context.state.now_ms, newer)
    core.reduce(context.state, event)
    assert job.queue.service == NEW


def test_finished_job_is_not_routed():
    context = make_context(OLD, NEW)
    job = add_job(context, 4)
    job.state = JobState.COMPLETED
    context.state.now_ms += 300
    _routing.tick(context)
    assert not context.state.rerouted


def test_tickets_of_the_other_service_are_dropped():
    context = make_context(OLD, NEW, version=4)
    job = add_job(context, 4)
    step_key = (JOB, 0, 0)
    job.tickets[step_key] = {'w0': ('ticket', 1)}
    job.advised_workers[step_key] = {'w0'}
    newer = attrs.evolve(context.state.configuration, version=5)
    core.reduce(
        context.state, ev.ConfigurationChanged(context.state.now_ms, newer)
    )
    assert not job.tickets
    assert not job.advised_workers


def test_step_for_a_label_needs_it_at_the_new_service():
    context = make_context(OLD, NEW)
    old = context.state.workers['w0']
    old.entry = attrs.evolve(old.entry, labels=('gpu',))
    job = add_job(context, 4, steps=(make_step(required_label='gpu'),))
    assert job.queue.service == OLD
