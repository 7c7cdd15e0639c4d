"""What platform, workers and peers may answer, as the daemon takes it.

One worker that answered a sync with anything but a report ended the instance
that owns its cell: the decoder's error is none that the effect catches. So
did a table's answer that is none, a lease row of another writer, when the
rows of ended sessions were cleared, and a report's use of 10**400 MB.
"""

import json

import attrs
import logbook
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from tulippin import events as ev
from tulippin._http_client import HttpAnswer
from tulippin.codec import encode
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.messages import ModelShared
from tulippin.platform_http import HttpDirectory, HttpTable
from tulippin.policies import InterferenceModel
from tulippin.ports import Ports, Row
from tulippin.shell import Shell
from tulippin.state import Config
from tulippin.testing import PEER, SingleInstance
from tulippin.types import JobSpec, Resources, cell_unit
from tulippin.worker_types import (
    RunReport,
    RunState,
    WorkerReport,
    WorkerSync,
)
from tulippin.workers_http import HttpWorkers

SYNC = WorkerSync('worker-0', 1, 1, 0)
CELL = cell_unit('cell-0')
HUGE = 10**400
NONSENSE = (
    b'',
    b'{}',
    b'null',
    b'[]',
    b'\xff',
    b'<html>',
    b'{"x":' + b'[' * 60_000,
    b'{"version":"x"}',
)


@attrs.define
class CannedClient:
    body: bytes
    status: int = 200

    async def send(self, method, url, body=b'', headers=None, extra_wait_ms=0):
        await trio.lowlevel.checkpoint()
        return HttpAnswer(self.status, {}, self.body)


def make_calls(client):
    table = HttpTable('http://p', client)
    return (
        (HttpWorkers(client).sync, 'w:1', SYNC),
        (table.get, 'k'),
        (table.commit, (), ()),
        (HttpDirectory('http://p', client).list_instances,),
    )


@pytest.mark.parametrize('number', range(4))
@pytest.mark.parametrize('body', NONSENSE, ids=lambda body: repr(body[:9]))
def test_nonsense_is_a_lost_answer(number, body):
    call, *args = make_calls(CannedClient(body))[number]
    with pytest.raises(AnswerLostError):
        trio.run(call, *args)


@pytest.mark.parametrize('body', [b'', b'{}', b'null', b'[1]', b'[["a"]]'])
def test_nonsense_is_no_scan(body):
    table = HttpTable('http://p', CannedClient(body))
    with pytest.raises(AnswerLostError):
        trio.run(table.scan, 'k')


@given(st.binary(max_size=40))
def test_any_bytes_are_an_answer_or_a_lost_one(body):
    for call, *args in make_calls(CannedClient(body)):
        try:
            trio.run(call, *args)
        except UnavailableError:
            continue


def hear(**figures):
    """Return a worker's report as it is read from its answer."""
    report = WorkerReport(
        'worker-0', 'one', 1000, (RunReport('job/0', 1, RunState.RUNNING),)
    )
    body = json.loads(encode(report))
    body |= figures
    client = CannedClient(json.dumps(body).encode())
    return trio.run(HttpWorkers(client).sync, 'w:1', SYNC)


def make_usage(used=(100, 100, 0), slowdown=1.5):
    names = ('cpu_millicores', 'memory_mb', 'accelerator_count')
    return {
        'task_id': 'job/0',
        'attempt': 1,
        'used': dict(zip(names, used, strict=True)),
        'slowdown': slowdown,
    }


ODD_USAGE = {
    'huge use': make_usage(used=(HUGE, 1, 0)),
    'huge memory': make_usage(used=(1, HUGE, 0)),
    'use below none': make_usage(used=(-5, 1, 0)),
    'huge slowdown': make_usage(slowdown=1e308),
    'slowdown below none': make_usage(slowdown=-1e308),
    'no slowdown': make_usage(slowdown=0),
}


@pytest.mark.parametrize('name', sorted(ODD_USAGE))
def test_use_of_no_task_is_not_learned(name):
    with logbook.TestHandler() as lines:
        report = hear(usage=[make_usage(), ODD_USAGE[name]])
    assert [one.slowdown for one in report.usage] == [1.5]
    told = [one for one in lines.records if one.message == 'use unusable']
    assert [one.kwargs['worker'] for one in told] == ['worker-0']


@pytest.mark.parametrize('figure', [-1, -HUGE])
def test_slots_below_none_free_no_slot(figure):
    assert hear(busy_slots=figure).busy_slots == 0


@pytest.mark.parametrize('name', sorted(ODD_USAGE))
def test_report_with_odd_use_ends_nothing(name):
    instance = SingleInstance()
    instance.greet_workers()
    spec = JobSpec('job', 'team', task_count=2, run_ms=5000)
    instance.feed(ev.JobRequested, 1, 'submit', 'job', 'team', spec, 'digest')
    instance.commit_all()
    instance.tick(200)
    instance.commit_all()
    instance.tick()
    # Enough samples that its class's size would be told from them.
    for _ in range(8):
        report = hear(usage=[ODD_USAGE[name]])
        instance.report(*report.runs, usage=report.usage)
        instance.tick(2000)
    assert instance.state.cells[CELL].ledger.attempts
    assert instance.state.sizes.get_size(spec.job_class) == Resources()


ENTRIES = st.lists(
    st.tuples(
        st.sampled_from(('a|b', 'a|c', '', 'x')),
        st.floats() | st.sampled_from((0.1, 1e308)),
        st.floats() | st.sampled_from((-4.0, -2.0, 1.0, 1e308)),
    ),
    max_size=5,
)


@given(st.lists(ENTRIES, max_size=4))
def test_no_shared_weight_is_divided_by_none(lists):
    model = InterferenceModel()
    for number, entries in enumerate(lists):
        model.take_shared(f's{number % 2}', entries)
        for key in ('a|b', 'a|c', 'a|d'):
            weight = model.get_weight(*key.split('|'))
            assert 0 <= weight <= 1e6
    model.drop_shared('s0')
    assert 0 <= model.get_weight('a', 'b') <= 1e6


def test_peer_that_shares_less_than_no_sample_ends_nothing():
    instance = SingleInstance()
    instance.greet_workers()
    message = ModelShared((('service|job', 0.1, -4.0),))
    instance.state.model.take_shared(PEER, message.entries)
    assert instance.state.model.get_weight('service', 'job') == 0.05


@attrs.define
class Table:
    """Has a row under each prefix that is none of a record."""

    async def get(self, key):
        await trio.lowlevel.checkpoint()

    async def scan(self, prefix):
        await trio.lowlevel.checkpoint()
        return [(f'{prefix}x', Row('{', 1))]


def test_row_that_cannot_be_read_ends_no_clearing(run_virtual):
    """The rows of ended sessions are cleared now and then, by all."""

    async def run():
        ports = Ports(Table(), None, None, None, None, None)
        shell = Shell(
            Config('i', 'd', 'i'), ports, {}, clock=lambda: 0, wall=lambda: 0
        )
        with trio.move_on_after(3600):
            await shell._collect_garbage()

    with logbook.TestHandler() as lines:
        run_virtual(run)
    assert {one.message for one in lines.records} == {'sessions not cleared'}
