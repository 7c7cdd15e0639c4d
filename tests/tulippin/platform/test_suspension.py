"""Suspend of a machine for seconds: timers stop, the wall clock goes on."""

import json
import os

import attrs
import pytest
import trio
from test_platform_daemon import SETTINGS

from scheduler_fleet import make_config_body
from suspended_instance import run_suspendable
from tulippin import _http_client
from tulippin._http_client import HttpClient
from tulippin.exceptions import AnswerLostError
from tulippin.jobs import _feasibility, _ownership, core
from tulippin.jobs._worker_effects import _run_start
from tulippin.jobs.effects import StartRun
from tulippin.jobs.events import StartAnswered, Ticked, WorkerAnswered
from tulippin.jobs.ports import StartOrder
from tulippin.jobs.records import EpochRecord
from tulippin.jobs.state import (
    Phase,
    SchedulerConfig,
    Worker,
)
from tulippin.jobs.types import (
    OrderAnswer,
    OrderOutcome,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)
from tulippin.line_buffer import LineBuffer
from tulippin.platform.standin import check_history
from tulippin.platform.standin_http import StandinServers
from tulippin.scheduler_daemon import SchedulerDaemon
from tulippin.scheduler_settings import parse_scheduler_settings
from tulippin.types import Resources

SUSPENDED_S = 5.0
JOB = '00112233445566aa'
LATER_JOB = '00112233445566bb'
NOW_MS = 100_000
KEY = TaskKey(JOB, 0, 0, 0)


def make_daemon(name, store_address, lines, path):
    text = SETTINGS.format(store=store_address).replace('edge-1', name)
    settings = parse_scheduler_settings(text)
    return SchedulerDaemon(settings, lines, str(path))


async def call(client, daemon, method, path, body=None):
    return await client.send(
        method,
        f'http://127.0.0.1:{daemon.ports["callers"]}{path}',
        b'' if body is None else json.dumps(body).encode(),
        {'Host': 'host', 'Deadline-Ms': '3000'},
    )


async def wait_ready(daemon):
    with trio.fail_after(10):
        while daemon.get_unready():
            await trio.sleep(0.02)


def make_body(run_ms):
    return {
        'Spec': json.dumps({'run_ms': run_ms}),
        'Steps': [{'Count': 2, 'Cpu': 1000, 'MemMb': 100}],
    }


def list_owners(*daemons):
    return [
        number
        for number, daemon in enumerate(daemons)
        if any(unit.is_owner for unit in daemon._shell.units.values())
    ]


async def wait_completed(client, daemon, job_id):
    with trio.fail_after(20):
        while True:
            answer = await call(client, daemon, 'GET', f'/q/{job_id}')
            if json.loads(answer.body or b'{}').get('State') == 'completed':
                return
            await trio.sleep(0.05)


async def test_suspended_owner_is_replaced_and_serves_again(tmp_path):
    """After its resume it must notice that another instance took over."""
    reader, writer = os.pipe()
    lines = LineBuffer(writer, {})
    async with StandinServers() as servers, HttpClient(2.0) as client:
        servers.platform.configure(make_config_body())
        address = servers.store_address
        first = make_daemon('edge-1', address, lines, tmp_path)
        other = make_daemon('edge-2', address, lines, tmp_path)
        with lines.applicationbound():
            async with (
                run_suspendable(first) as clock,
                trio.open_nursery() as nursery,
            ):
                await wait_ready(first)
                with trio.fail_after(5):
                    while not list_owners(first):
                        await trio.sleep(0.02)
                await nursery.start(other.run)
                await wait_ready(other)
                await call(client, first, 'POST', f'/q/{JOB}', make_body(6000))
                await trio.sleep(0.7)
                await clock.suspend(SUSPENDED_S)
                # The other instance took over during the suspension.
                assert list_owners(other) == [0]
                with trio.fail_after(2):
                    answer = await call(
                        client, first, 'POST', f'/q/{LATER_JOB}', make_body(100)
                    )
                assert answer.status == 200
                await trio.sleep(1)
                assert list_owners(first, other) == [1]
                for daemon in (first, other):
                    await wait_completed(client, daemon, LATER_JOB)
                    await wait_completed(client, daemon, JOB)
                assert check_history(servers.platform.history) == []
                nursery.cancel_scope.cancel()
    os.close(reader)
    os.close(writer)


# -- connections that look alive ----------------------------------------------

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def answer_once(stream):
    """Answer one request and ignore later ones, as after a lost connection."""
    await stream.receive_some(65536)
    await stream.send_all(ANSWER)
    await trio.sleep_forever()


async def loses_answer_after_suspension(monkeypatch):
    suspended = {'ms': 0}
    monkeypatch.setattr(
        _http_client, 'read_suspended_ms', lambda: suspended['ms']
    )
    async with trio.open_nursery() as nursery, HttpClient(0.3) as client:
        listeners = await nursery.start(trio.serve_tcp, answer_once, 0)
        url = f'http://127.0.0.1:{listeners[0].socket.getsockname()[1]}/'
        await client.send('GET', url)
        suspended['ms'] = 5000
        is_lost = False
        try:
            await client.send('GET', url)
        except AnswerLostError:
            is_lost = True
        nursery.cancel_scope.cancel()
    return is_lost


async def test_connection_from_before_a_suspension_is_not_used(monkeypatch):
    assert not await loses_answer_after_suspension(monkeypatch)


async def test_connection_that_looks_alive_would_be_used(monkeypatch):
    async def skip_renewal(client):
        await trio.lowlevel.checkpoint()

    monkeypatch.setattr(HttpClient, '_retire_if_suspended', skip_renewal)
    assert await loses_answer_after_suspension(monkeypatch)


# -- orders -------------------------------------------------------------------


@attrs.define
class Agents:
    """Worker agents that accept every start order."""

    orders: list = attrs.field(factory=list)

    async def start(self, order):
        self.orders.append(order)
        return OrderAnswer(OrderOutcome.STARTED, 0)


@attrs.define
class Shell:
    """Minimal shell of a unit for running effects."""

    now_ms: int
    workers: Agents = attrs.field(factory=Agents)
    posted: list = attrs.field(factory=list)

    @property
    def ports(self):
        return self

    def clock(self):
        return self.now_ms

    def post(self, event):
        self.posted.append(event)


def make_order():
    return StartOrder('w0', 'w0:80', KEY, 1, '{}', NOW_MS, 1, '', '')


@pytest.mark.parametrize(('waited_ms', 'is_sent'), [(0, True), (5000, False)])
async def test_order_is_sent_only_in_its_time(waited_ms, is_sent):
    """An order from before a suspension must not be sent after it."""
    shell = Shell(NOW_MS + waited_ms)
    await _run_start(StartRun(make_order(), NOW_MS + 1800), shell)
    assert bool(shell.workers.orders) is is_sent
    (event,) = shell.posted
    assert isinstance(event, StartAnswered)
    outcome = OrderOutcome.STARTED if is_sent else OrderOutcome.NOT_SENT
    assert event.answer.outcome is outcome


# -- answers ------------------------------------------------------------------


def make_owner():
    state = core.make_state(SchedulerConfig('i', 'i:1'))
    state.now_ms = NOW_MS
    ownership = state.ownership
    ownership.phase = Phase.ACTIVE
    ownership.epoch = EpochRecord(5, 'i:1')
    ownership.renewed_ms = NOW_MS
    entry = WorkerEntry('w0', 's', 'w0:80', 'z', Resources(8000, 32_000))
    worker = Worker(entry, is_rostered=True, is_reconciled=True)
    worker.answered_ms = NOW_MS
    state.workers['w0'] = worker
    return state, worker


def wake(state):
    """Resume after a suspension, and receive an answer from before it."""
    core.reduce(state, Ticked(NOW_MS + 5000, NOW_MS + 5000))
    report = WorkerReport(1000)
    event = WorkerAnswered(state.now_ms, 'w0', NOW_MS - 300, report)
    core.reduce(state, event)


def test_answer_from_before_a_suspension_counts_as_old():
    state, worker = make_owner()
    wake(state)
    assert state.ownership.must_confirm
    assert worker.answered_ms == NOW_MS - 300
    worker.serving[KEY, 1] = None
    assert _feasibility.has_stale_tails(worker, state)


def test_answer_would_count_as_new_without_the_pause(monkeypatch):
    monkeypatch.setattr(_ownership, 'note_suspension', lambda *_: None)
    state, worker = make_owner()
    wake(state)
    assert worker.answered_ms == state.now_ms
