"""Invalid responses of the store, of workers and of the advice service.

Deeply nested JSON raises RecursionError, which ends the instance unless the
adapters handle it. A ticket with an unlimited validity would be used forever,
also after its worker rejects it.
"""

import contextlib

import attrs
import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from tulippin._http_client import HttpAnswer
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import StartOrder, Transaction
from tulippin.jobs.types import OrderOutcome, TaskKey
from tulippin.platform.advisor import PlatformAdvisor
from tulippin.platform.store import PlatformStore
from tulippin.platform.workers import PlatformWorkers

KEY = TaskKey('00000000000000aa', 0, 0, 0)
DEEP = b'[' * 60_000
INVALID_BODIES = {
    'deep': b'{"rows":[],"good":[],"x":' + DEEP + b']' * 60_000 + b'}',
    'deep value': b'{"rows":[{"Value":' + DEEP + b']' * 60_000 + b'}]}',
    'open': b'{"x":' + DEEP,
    'no text': b'\xff\xfe{}',
    'half a pair': b'{"rows":[{"Key":"\\ud800"}],"good":[["\\ud800",""]]}',
    'empty': b'',
    'null': b'null',
    'rows of numbers': b'{"rows":[1],"good":[1]}',
    'huge version': b'{"ver":1' + b'0' * 5000 + b',"valid_ms":1e400}',
    'not a number': b'{"ver":NaN,"valid_ms":NaN}',
}


@attrs.define
class CannedClient:
    body: bytes
    status: int = 200

    async def send(
        self, method, url, body=b'', headers=None, extra_wait_ms=0, **_
    ):
        await trio.lowlevel.checkpoint()
        return HttpAnswer(self.status, {}, self.body)


def ask(body):
    advisor = PlatformAdvisor('a:1', CannedClient(body))
    return trio.run(advisor.ask, ('j', 0, 0), ('w0',))


async def call_all(store):
    """Make every call of the store; each must raise AnswerLostError."""
    calls = (
        (store.read_rows, 'jobs0', 'j0'),
        (store.follow, 'jobs0', 1, 0),
        (store.transact, Transaction('j0', (), ())),
    )
    for call, *args in calls:
        with pytest.raises(AnswerLostError):
            await call(*args)


@pytest.mark.parametrize('status', [200, 412])
@pytest.mark.parametrize('name', sorted(INVALID_BODIES))
def test_invalid_store_response_is_a_lost_answer(name, status):
    store = PlatformStore('s:1', CannedClient(INVALID_BODIES[name], status))
    trio.run(call_all, store)


@pytest.mark.parametrize('name', sorted(set(INVALID_BODIES) - {'deep value'}))
def test_invalid_advice_response_is_no_advice(name):
    with pytest.raises(UnavailableError):
        ask(INVALID_BODIES[name])


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [
        (400, OrderOutcome.REJECTED),
        (409, OrderOutcome.REJECTED),
        (429, OrderOutcome.UNHEALTHY),
        (503, OrderOutcome.UNHEALTHY),
        (404, OrderOutcome.UNKNOWN),
        (500, OrderOutcome.UNKNOWN),
        (502, OrderOutcome.UNKNOWN),
        (504, OrderOutcome.UNKNOWN),
    ],
)
def test_start_with_an_unlisted_status_may_have_been_done(status, outcome):
    """Guards against a second start beside one that was carried out."""
    workers = PlatformWorkers(lambda: CannedClient(b'{}', status))
    order = StartOrder('w0', '10.0.0.1:80', KEY, 1, '', 1800, 1)
    assert trio.run(workers.start, order).outcome is outcome


@given(st.binary(max_size=60))
def test_any_bytes_are_valid_or_a_lost_answer(body):
    store = PlatformStore('s:1', CannedClient(body))
    with contextlib.suppress(UnavailableError):
        trio.run(store.read_rows, 'jobs0', 'j0')
    with contextlib.suppress(UnavailableError):
        ask(body)


@pytest.mark.parametrize('keys', [('a',), ('b', 'a'), ('',)])
def test_repeated_pages_are_a_lost_answer(keys):
    """An endless sequence of the same page would fill the memory."""
    rows = [{'Key': key, 'Value': '', 'ver': 1} for key in keys]
    body = msgspec.json.encode({'rows': rows, 'more': True, 'ver': 1})
    store = PlatformStore('s:1', CannedClient(body))

    async def read():
        with trio.fail_after(0.5), pytest.raises(AnswerLostError):
            await store.read_rows('jobs0', 'j0')

    trio.run(read)


@pytest.mark.parametrize(
    ('sent_ms', 'expected_ms'),
    [
        ('0', 0),
        ('-1', -1),
        ('2500', 2500),
        ('1' + '0' * 400, 600_000),
        (str(2**62), 600_000),
    ],
)
def test_validity_of_advice_is_limited(sent_ms, expected_ms):
    body = b'{"good":[["w0","t"]],"valid_ms":%s}' % sent_ms.encode()
    advice = ask(body)
    assert advice.valid_ms == expected_ms
    assert advice.tickets == {'w0': 't'}
