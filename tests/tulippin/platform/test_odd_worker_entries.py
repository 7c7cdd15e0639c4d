"""Odd entries of another writer in the worker list, and whole instances."""

import json
import types

import logbook
import pytest
import trio

from scheduler_fleet import (
    JOB,
    make_long_running_request,
    make_request,
    make_step,
    open_fleet,
)
from tulippin._client_connections import ConnectionTable
from tulippin.client_limits import ClientLimits
from tulippin.jobs import views
from tulippin.logs import encode_line
from tulippin.scheduler_operators import SchedulerMetrics, make_json

ENTRY = {
    'Service': 'catalogue',
    'Address': '10.9.9.9:80',
    'Zone': 'hall',
    'Version': 'v1',
    'Slots': 8,
    'State': 'ready',
    'ColdRemainingMs': 0,
    'RemainingMs': 0,
    'Capacity': {'Cpu': 16000, 'MemMb': 32768, 'Gpus': 0},
    'Labels': ['a', 'r1'],
    'ClockMs': 482113,
    'Sequence': 4,
    'born': 17,
    'machine': 'm',
}
# A row of the store holds 65,536 bytes.
DEPTHS = (400, 1000, 5000, 30_000)
LARGE = (
    '1e308',
    '1.7976931348623157e308',
    '-1e308',
    '1e400',
    '9' * 400,
    '9' * 5000,
    f'-{"9" * 400}',
    '9223372036854775808',
    '18446744073709551616',
)
NUMBERS = (
    'Slots',
    'ColdRemainingMs',
    'RemainingMs',
    'ClockMs',
    'Sequence',
    'born',
)
CAPACITIES = ('Cpu', 'MemMb', 'Gpus')
PORTS = ('0', '-1', '65536', '99999', '9' * 30, '9' * 5000, '80.5', '0x50', '')
MARK = '"mark"'
GOOD = 'w0'
ODD_FOR_S = 6


def set_raw(raw, *path):
    """Return an entry that holds raw JSON text in one field."""
    entry = {**ENTRY, 'Capacity': dict(ENTRY['Capacity'])}
    target = entry
    for name in path[:-1]:
        target = target[name]
    target[path[-1]] = 'mark'
    return json.dumps(entry).replace(MARK, raw).encode()


def nest(depth, opening, closing):
    return opening * depth + closing * depth


ODD_ENTRIES = {
    **{
        f'{name} {raw[:24]} of {len(raw)}': set_raw(raw, name)
        for name in NUMBERS
        for raw in LARGE
    },
    **{
        f'{name} {raw[:24]} of {len(raw)}': set_raw(raw, 'Capacity', name)
        for name in CAPACITIES
        for raw in LARGE
    },
    **{
        f'draining for {raw[:24]} of {len(raw)}': set_raw(
            raw, 'RemainingMs'
        ).replace(b'"ready"', b'"draining"')
        for raw in LARGE
    },
    **{
        f'port {port[:24]} of {len(port)}': set_raw(
            f'"10.9.9.9:{port}"', 'Address'
        )
        for port in PORTS
    },
    **{
        f'{name} nested {depth}': set_raw(nest(depth, '[', ']'), name)
        for name in ('Labels', 'Capacity', 'x')
        for depth in DEPTHS
    },
    **{
        f'maps nested {depth}': set_raw(
            nest(depth, '{"a":', '1}').replace('1}', '}').replace(':}', ':1}'),
            'x',
        )
        for depth in (400, 5000)
    },
}


def render(fleet):
    """Render what operators see of each instance."""
    for instance in fleet.instances.values():
        recorder = types.SimpleNamespace(failed_starts=0)
        connections = ConnectionTable(ClientLimits())
        SchedulerMetrics(instance.shell, recorder, connections).render()
        for unit in instance.shell.units.values():
            state = unit.state
            make_json(views.show_unit(state))
            for worker in state.workers.values():
                make_json(views.show_worker(worker, state))


def check_lines(records):
    """Check that no line tells of an error, and that all can be written."""
    for record in records:
        json.loads(encode_line(record.kwargs))
        assert record.message not in {'unit failed', 'task failed'}


async def run_jobs(fleet, first):
    await fleet.submit(f'{first:016x}', make_request(make_step(6), run_ms=300))
    await fleet.wait_done(f'{first:016x}', limit_s=8)


async def run_beside(odd_entry):
    """Run jobs beside an odd entry, with owners lost and workers added."""
    async with open_fleet(instances=2, workers=3) as fleet:
        store = fleet.platform.store
        store.write('servers', '', 'odd', odd_entry)
        await run_jobs(fleet, 1)
        # Changes after it are read.
        fleet.platform.add_worker('late')
        fleet.platform.workers['w1'].crash()
        store.write('servers', '', 'odd', odd_entry)
        await run_jobs(fleet, 2)
        # The next owner reads it with the whole list.
        fleet.kill_owner()
        await fleet.wait_owner()
        await run_jobs(fleet, 3)
        owner = fleet.instances[fleet.get_owner()].state
        assert 'late' in owner.workers
        render(fleet)
        fleet.check()


@pytest.mark.parametrize('name', sorted(ODD_ENTRIES))
def test_odd_worker_entry_ends_no_instance_and_hides_no_other(
    run_virtual, name
):
    with logbook.TestHandler() as handler:
        run_virtual(run_beside, ODD_ENTRIES[name])
    check_lines(handler.records)


async def run_replaced(odd_entry):
    """Run a task on a worker whose entry turns odd for seconds."""
    async with open_fleet(instances=1, workers=1) as fleet:
        await fleet.submit(JOB, make_long_running_request(2))
        await fleet.wait_running(2)
        for _ in range(ODD_FOR_S * 10):
            fleet.platform.store.write('servers', '', GOOD, odd_entry)
            await trio.sleep(0.1)
        await trio.sleep(4)
        assert fleet.count_running() == 2
        assert fleet.count_starts() == 2
        await run_jobs(fleet, 7)
        fleet.check()


@pytest.mark.parametrize('name', sorted(ODD_ENTRIES)[::5])
def test_tasks_run_on_while_the_entry_of_their_worker_is_odd(run_virtual, name):
    with logbook.TestHandler() as handler:
        run_virtual(run_replaced, ODD_ENTRIES[name])
    check_lines(handler.records)
