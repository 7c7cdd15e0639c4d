"""Answers of the store and of the advisor that are none.

An answer of a hundred kB of brackets raised what the adapters do not catch,
in a feed or an effect, and ended the instance. A ticket that is valid for
longer than the machine runs would be used for ever, also once its worker
refuses it.
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
from tulippin.jobs.ports import Transaction
from tulippin.platform.advisor import PlatformAdvisor
from tulippin.platform.store import PlatformStore

DEEP = b'[' * 60_000
NONSENSE = {
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

    async def send(self, method, url, body=b'', headers=None, extra_wait_ms=0):
        await trio.lowlevel.checkpoint()
        return HttpAnswer(self.status, {}, self.body)


def ask(body):
    advisor = PlatformAdvisor('a:1', CannedClient(body))
    return trio.run(advisor.ask, ('j', 0, 0), ('w0',))


async def use(store):
    """Make every call, each of which says that its answer is lost."""
    calls = (
        (store.read_rows, 'jobs0', 'j0'),
        (store.follow, 'jobs0', 1, 0),
        (store.transact, Transaction('j0', (), ())),
    )
    for call, *args in calls:
        with pytest.raises(AnswerLostError):
            await call(*args)


@pytest.mark.parametrize('status', [200, 412])
@pytest.mark.parametrize('name', sorted(NONSENSE))
def test_nonsense_of_the_store_is_a_lost_answer(name, status):
    store = PlatformStore('s:1', CannedClient(NONSENSE[name], status))
    trio.run(use, store)


@pytest.mark.parametrize('name', sorted(set(NONSENSE) - {'deep value'}))
def test_nonsense_of_the_advisor_is_no_advice(name):
    with pytest.raises(UnavailableError):
        ask(NONSENSE[name])


@given(st.binary(max_size=60))
def test_any_bytes_are_an_answer_or_a_lost_one(body):
    store = PlatformStore('s:1', CannedClient(body))
    with contextlib.suppress(UnavailableError):
        trio.run(store.read_rows, 'jobs0', 'j0')
    with contextlib.suppress(UnavailableError):
        ask(body)


@pytest.mark.parametrize('keys', [('a',), ('b', 'a'), ('',)])
def test_pages_that_do_not_go_on_are_a_lost_answer(keys):
    """The same page again and again would fill the memory."""
    rows = [{'Key': key, 'Value': '', 'ver': 1} for key in keys]
    body = msgspec.json.encode({'rows': rows, 'more': True, 'ver': 1})
    store = PlatformStore('s:1', CannedClient(body))

    async def read():
        with trio.fail_after(0.5), pytest.raises(AnswerLostError):
            await store.read_rows('jobs0', 'j0')

    trio.run(read)


@pytest.mark.parametrize(
    ('told', 'taken'),
    [
        ('0', 0),
        ('-1', -1),
        ('2500', 2500),
        ('1' + '0' * 400, 600_000),
        (str(2**62), 600_000),
    ],
)
def test_advice_is_asked_for_again_at_some_time(told, taken):
    body = b'{"good":[["w0","t"]],"valid_ms":%s}' % told.encode()
    advice = ask(body)
    assert advice.valid_ms == taken
    assert advice.tickets == {'w0': 't'}
