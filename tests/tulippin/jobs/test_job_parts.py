"""The number of parts that hold accepted jobs, which the layout fixes.

If two instances used different numbers, a job would be accepted twice, or an
owner would not find the jobs of its unit.
"""

import attrs
import pytest
import trio

from scheduler_fleet import JOB, LIMIT_MS, QUEUE, make_request, open_fleet
from tulippin.exceptions import UnavailableError
from tulippin.jobs._unit_feeds import read_jobs
from tulippin.jobs.features import Features
from tulippin.jobs.layout import extend_layout, make_layout
from tulippin.jobs.ports import RowPage, StoredRow
from tulippin.jobs.records import (
    LayoutRecord,
    Unit,
    get_jobs_part,
    get_jobs_parts,
)
from tulippin.jobs.types import JobState, WorkerEntry
from tulippin.types import Resources

# Parts that versions without `LayoutRecord.job_parts` use.
EARLIER_PARTS = {
    '0000000000000000': 'j4',
    '00000000000000aa': 'j3',
    '76ea7627376f6792': 'j0',
    'ffffffffffffffff': 'j1',
}
JOB_IDS = [f'{number:016x}' for number in range(40)]
SPREAD = {'features': Features(job_part_count=64)}


def make_worker(rack):
    return WorkerEntry(
        f'w{rack}', 's', 'x:1', 'hall', Resources(1000, 1000), rack=rack
    )


def list_job_parts(fleet):
    return {
        part
        for table, part, _ in fleet.platform.store.rows
        if table in {'homes', 'jobs0'} and part != 'u0'
    }


def test_default_number_gives_the_parts_of_earlier_versions():
    found = {job_id: get_jobs_part(job_id, 8) for job_id in EARLIER_PARTS}
    assert found == EARLIER_PARTS
    assert get_jobs_parts(8) == ('j0', 'j1', 'j2', 'j3', 'j4', 'j5', 'j6', 'j7')
    assert Features().job_part_count == LayoutRecord({}).job_parts == 8


@pytest.mark.parametrize('count', [1, 8, 64])
def test_every_job_lies_in_a_part_that_owners_read(count):
    parts = {get_jobs_part(job_id, count) for job_id in JOB_IDS}
    assert parts <= set(get_jobs_parts(count))


def test_extended_layout_keeps_the_number_of_parts():
    layout = make_layout([make_worker('r1')], 64)
    extended = extend_layout(layout, [make_worker('r1'), make_worker('r2')])
    assert set(extended.racks) == {'r1', 'r2'}
    assert extended.job_parts == layout.job_parts == 64


@attrs.define
class CountingStore:
    """Answers reads after a while, and counts those that are open."""

    open_count: int = 0
    max_open_count: int = 0

    async def read_rows(self, table, part, *bounds):
        self.open_count += 1
        self.max_open_count = max(self.max_open_count, self.open_count)
        await trio.sleep(0.3)
        self.open_count -= 1
        return RowPage((StoredRow(table, part, part, b'', 7),), 7)


def test_reads_of_many_parts_leave_connections_to_renewals(run_virtual):
    """An instance has 24 connections to the store for all of its calls."""
    store = CountingStore()
    page = run_virtual(read_jobs, store, Unit(), 64)
    assert {row.part for row in page.rows} == set(get_jobs_parts(64))
    assert store.max_open_count <= 16


def test_jobs_of_all_parts_outlive_their_owner(run_virtual):
    """Submits, cancels, loads and removals all find the rows of a job."""

    async def run():
        async with open_fleet(instances=2, **SPREAD) as fleet:
            for job_id in JOB_IDS:
                await fleet.submit(job_id, make_request(run_ms=20_000))
            assert len(list_job_parts(fleet)) > 8
            fleet.kill_owner()
            await fleet.wait_owner()
            intake = next(iter(fleet.instances.values())).intake
            assert await intake.cancel(JOB_IDS[0], QUEUE, LIMIT_MS)
            await fleet.wait_state(JOB_IDS[0], JobState.CANCELLED)
            for job_id in JOB_IDS[1:]:
                await fleet.wait_done(job_id, 200)
            fleet.check()

    run_virtual(run)


def test_finished_jobs_are_removed_from_all_parts(run_virtual):
    async def run():
        async with open_fleet(instances=1, **SPREAD) as fleet:
            unit = fleet.instances['i0'].shell.units[0]
            unit.state.config = attrs.evolve(
                unit.state.config, finished_retention_ms=1000
            )
            for job_id in JOB_IDS:
                await fleet.submit(job_id)
            for job_id in JOB_IDS:
                await fleet.wait_done(job_id)
            with trio.fail_after(30):
                while list_job_parts(fleet):
                    await trio.sleep(0.1)

    run_virtual(run)


def test_layout_of_an_earlier_version_keeps_its_parts(run_virtual):
    """A setting counts only for a layout that the instance creates."""

    async def run():
        async with open_fleet(instances=1) as fleet:
            await fleet.submit(JOB, make_request(run_ms=20_000))
            store = fleet.platform.store
            row = b'{"racks":{"r1":0},"failure_domains":{"0":"hall"}}'
            store.write('units', 'layout', 'layout', row)
            fleet.options.update(SPREAD)
            await fleet.start('new')
            fleet.kill('i0')
            await fleet.wait_owner()
            for job_id in JOB_IDS:
                await fleet.submit(job_id)
            assert list_job_parts(fleet) <= set(get_jobs_parts(8))
            await fleet.wait_done(JOB, 40)
            fleet.check()

    run_virtual(run)


def test_call_before_the_layout_is_known_gets_its_job(run_virtual):
    """A read of another part would tell that there is no such job."""
    states = []

    async def run():
        async with open_fleet(instances=1, **SPREAD) as fleet:
            await fleet.submit(JOB, make_request(run_ms=20_000))
            instance = await fleet.start('new')
            assert instance.shell.layout is None
            states.append(await instance.intake.get_state(JOB))

    run_virtual(run)
    assert states in ([JobState.PENDING], [JobState.RUNNING])


@pytest.mark.parametrize('call', ['get_state', 'cancel'])
def test_call_without_a_layout_is_unavailable(run_virtual, call):
    """A reply that there is no such job would be wrong."""

    async def run():
        async with open_fleet(instances=1) as fleet:
            await fleet.submit()
            fleet.platform.store.write('units', 'layout', 'layout', b'{')
            intake = (await fleet.start('late')).intake
            arguments = (QUEUE, LIMIT_MS) if call == 'cancel' else ()
            with pytest.raises(UnavailableError):
                await getattr(intake, call)(JOB, *arguments)

    run_virtual(run)
