"""Invalid answers of the platform, of workers and of peers.

Guards against an instance that ends because of one invalid answer: a worker's
answer to a sync that is not a report, an invalid answer of the table, a
report of 10**400 MB in use, or an invalid lease row of another writer while
rows of ended sessions are cleared. The decoding errors weren't caught.
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
HUGE_NUMBER = 10**400
INVALID_BODIES = (
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
@pytest.mark.parametrize(
    'body', INVALID_BODIES, ids=lambda body: repr(body[:9])
)
def test_invalid_answer_counts_as_lost(number, body):
    call, *args = make_calls(CannedClient(body))[number]
    with pytest.raises(AnswerLostError):
        trio.run(call, *args)


@pytest.mark.parametrize('body', [b'', b'{}', b'null', b'[1]', b'[["a"]]'])
def test_invalid_scan_counts_as_lost(body):
    table = HttpTable('http://p', CannedClient(body))
    with pytest.raises(AnswerLostError):
        trio.run(table.scan, 'k')


@given(st.binary(max_size=40))
def test_any_bytes_are_decoded_or_unavailable(body):
    for call, *args in make_calls(CannedClient(body)):
        try:
            trio.run(call, *args)
        except UnavailableError:
            continue


def decode_report(**figures):
    """Return a worker's report as the client decodes it."""
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


INVALID_USAGE = {
    'huge use': make_usage(used=(HUGE_NUMBER, 1, 0)),
    'huge memory': make_usage(used=(1, HUGE_NUMBER, 0)),
    'negative use': make_usage(used=(-5, 1, 0)),
    'huge slowdown': make_usage(slowdown=1e308),
    'negative slowdown': make_usage(slowdown=-1e308),
    'zero slowdown': make_usage(slowdown=0),
}


@pytest.mark.parametrize('name', sorted(INVALID_USAGE))
def test_invalid_usage_is_removed(name):
    with logbook.TestHandler() as lines:
        report = decode_report(usage=[make_usage(), INVALID_USAGE[name]])
    assert [one.slowdown for one in report.usage] == [1.5]
    warnings = [
        one
        for one in lines.records
        if one.message == 'invalid usage samples ignored'
    ]
    assert [one.kwargs['worker'] for one in warnings] == ['worker-0']


@pytest.mark.parametrize('figure', [-1, -HUGE_NUMBER])
def test_negative_busy_slots_count_as_zero(figure):
    assert decode_report(busy_slots=figure).busy_slots == 0


@pytest.mark.parametrize('name', sorted(INVALID_USAGE))
def test_report_with_invalid_usage_is_handled(name):
    instance = SingleInstance()
    instance.answer_first_syncs()
    spec = JobSpec('job', 'team', task_count=2, run_ms=5000)
    instance.feed(ev.JobRequested, 1, 'submit', 'job', 'team', spec, 'digest')
    instance.commit_all()
    instance.tick(200)
    instance.commit_all()
    instance.tick()
    # Enough samples for an estimate of the size of the job's class.
    for _ in range(8):
        report = decode_report(usage=[INVALID_USAGE[name]])
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
def test_shared_weights_stay_in_bounds(lists):
    model = InterferenceModel()
    for number, entries in enumerate(lists):
        model.store_shared(f's{number % 2}', entries)
        for key in ('a|b', 'a|c', 'a|d'):
            weight = model.get_weight(*key.split('|'))
            assert 0 <= weight <= 1e6
    model.remove_shared('s0')
    assert 0 <= model.get_weight('a', 'b') <= 1e6


def test_negative_shared_sample_count_is_handled():
    instance = SingleInstance()
    instance.answer_first_syncs()
    message = ModelShared((('service|job', 0.1, -4.0),))
    instance.state.model.store_shared(PEER, message.entries)
    assert instance.state.model.get_weight('service', 'job') == 0.05


@attrs.define
class Table:
    """Contains an undecodable row under each prefix."""

    async def get(self, key):
        await trio.lowlevel.checkpoint()

    async def scan(self, prefix):
        await trio.lowlevel.checkpoint()
        return [(f'{prefix}x', Row('{', 1))]


def test_unreadable_row_does_not_end_garbage_collection(run_virtual):
    """Each instance clears the rows of ended sessions periodically."""

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
