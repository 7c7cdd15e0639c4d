"""Entries and rows that another writer put into the platform's store."""

import base64
import json

import attrs
import logbook
import pytest
import trio

from tulippin._http_client import HttpAnswer, HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import Transaction
from tulippin.jobs.types import StartOutcome, TaskKey
from tulippin.platform.feeds import PlatformFeeds
from tulippin.platform.standin_store import StandinStore
from tulippin.platform.store import PlatformStore
from tulippin.platform.workers import PlatformWorkers

GOOD = {
    'Service': 's',
    'Address': '10.0.0.1:8080',
    'Zone': 'z',
    'Version': 'v1',
    'Slots': 8,
    'State': 'ready',
    'ColdRemainingMs': 0,
    'Capacity': {'Cpu': 16000, 'MemMb': 32768, 'Gpus': 0},
    'Labels': ['a', 'r1-3'],
    'ClockMs': 482113,
    'Sequence': 4,
}
REQUIRED = sorted(GOOD.keys() - {'ClockMs'})
NO_ADDRESSES = (
    '',
    'nowhere',
    ':80',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:-1',
    '10.0.0.1:http',
    '10.0.0.1:80 ',
    '10.0.0.1:80\n',
    ' 10.0.0.1:80',
    '10.0.0.1:80/path',
    'http://10.0.0.1:80',
    'user@10.0.0.1:80',
    'a b:80',
    'a:b:80',
    '[::1:80',
    'a..b:80',
    '.a:80',
    f'{"a" * 64}:80',
    '10.0.0.1:\u0668\u0660',
)
NO_IPV6 = ('[::::]:80', '[1.2]:80', '[abc]:80')
WRONG = {
    **{
        f'{field} is {wrong!r}': {**GOOD, field: wrong}
        for field in sorted(GOOD)
        for wrong in (None, {}, [], True, [None])
    },
    **{
        f'no {field}': {
            name: value for name, value in GOOD.items() if name != field
        }
        for field in REQUIRED
    },
    **{
        f'address {address!r}': {**GOOD, 'Address': address}
        for address in (*NO_ADDRESSES, *NO_IPV6)
    },
    **{
        f'state {state!r}': {**GOOD, 'State': state}
        for state in ('', 'Ready', 'READY', 'warming', 'ready ', 'gone')
    },
    **{
        f'room {name} {amount!r}': {
            **GOOD,
            'Capacity': {**GOOD['Capacity'], name: amount},
        }
        for name, amounts in (
            ('Cpu', (0, -1, 10**10, 10**30, 1.5, '16000', None, True)),
            ('MemMb', (0, -1, 10**10, 10**30, 1.5, '1', None, True)),
            ('Gpus', (-1, 10**10, 10**30, 1.5, '1', None, True)),
        )
        for amount in amounts
    },
    'no processors': {**GOOD, 'Capacity': {'MemMb': 1}},
    'no memory': {**GOOD, 'Capacity': {'Cpu': 1}},
    'labels of numbers': {**GOOD, 'Labels': [1, 2]},
    'label is nothing': {**GOOD, 'Labels': ['a', None]},
    'labels are a text': {**GOOD, 'Labels': 'a,r1'},
    'no service named': {**GOOD, 'Service': ''},
    'no zone named': {**GOOD, 'Zone': ''},
    'number for a service': {**GOOD, 'Service': 7},
    'text for slots': {**GOOD, 'Slots': '8'},
    'text for sequence': {**GOOD, 'Sequence': 'x'},
    'text for remaining': {**GOOD, 'RemainingMs': 'soon'},
    'a list': [GOOD],
    'a text': 'ready',
    'a number': 1,
    'nothing': None,
    'empty': {},
}
RAW = {
    'empty': b'',
    'blank': b' ',
    'zeros': b'\0' * 40,
    'random bytes': bytes(range(256)),
    'cut off': json.dumps(GOOD).encode()[:-9],
    'not text': json.dumps(GOOD).encode().replace(b'v1', b'\xff\xfe'),
    'service is not text': json.dumps(GOOD)
    .encode()
    .replace(b'"s"', b'"\xc3\x28"'),
    'half a pair': json.dumps(GOOD).encode().replace(b'v1', b'\\ud800'),
    'utf-16': json.dumps(GOOD).encode('utf-16'),
    'two of them': json.dumps(GOOD).encode() * 2,
    'deep': json.dumps(GOOD).encode()[:-1]
    + b',"x":'
    + b'[' * 60_000
    + b']' * 60_000
    + b'}',
    'infinite time': json.dumps(GOOD).encode()[:-1] + b',"RemainingMs":1e999}',
    'no number': json.dumps(GOOD).encode()[:-1] + b',"RemainingMs":NaN}',
    'xml': b'<worker/>',
    'json in base64 twice': base64.b64encode(json.dumps(GOOD).encode()),
}
ENTRIES = {
    **{name: json.dumps(body).encode() for name, body in WRONG.items()},
    **RAW,
}
NO_BASE64 = (
    'no base64!',
    '=',
    'a',
    'YWJj=YWJj',
    '{"Service":"s"}',
    '\u00e9\u00e9\u00e9\u00e9',
    5,
    None,
    True,
    {},
    ['YQ=='],
)


def put(store, worker_id, value):
    store.write('servers', '', worker_id, value)


def encode_good(**changes):
    return json.dumps({**GOOD, **changes}).encode()


def make_feeds(store):
    return PlatformFeeds(store.get_view('i0'))


def list_ids(entries):
    return [entry.worker_id for entry in entries]


@attrs.define
class CannedClient:
    """Answers every call to the store with the same rows."""

    rows: list
    status: int = 200
    more: bool = False

    async def send(self, method, url, body=b'', headers=None, extra_wait_ms=0):
        answer = {'rows': self.rows, 'ver': 9, 'more': self.more}
        return HttpAnswer(self.status, {}, json.dumps(answer).encode())


def make_wire_row(key, value, **fields):
    return {'table': 'servers', 'part': '', 'Key': key, 'Value': value} | {
        'ver': 4,
        **fields,
    }


def run_store(client, call):
    return trio.run(call, PlatformStore('store:1', client))


# -- rows of the store -------------------------------------------------------


@pytest.mark.parametrize('value', NO_BASE64, ids=repr)
def test_value_that_is_no_base64_takes_no_other_row_with_it(value):
    good = base64.b64encode(encode_good()).decode()
    client = CannedClient(
        [make_wire_row('w0', value), make_wire_row('w1', good)]
    )

    async def read(store):
        page = await store.read_rows('servers', '')
        changes = await store.follow('servers', 1, 0)
        client.status = 412
        refused = await store.transact(Transaction('', (), ()))
        return page.rows, changes.rows, refused.rows

    for rows in run_store(client, read):
        assert [row.key for row in rows] == ['w0', 'w1']
        # It is there: a writer that asks for its absence must be refused.
        assert rows[0].value == b''
        assert rows[0].version == 4
        assert rows[1].value == encode_good()


def test_removed_row_has_no_value_whatever_it_carries():
    client = CannedClient([make_wire_row('w0', 'no base64!', gone=True)])

    async def read(store):
        return (await store.follow('servers', 1, 0)).rows

    assert run_store(client, read)[0].value is None


def test_page_of_nothing_that_goes_on_is_no_page():
    async def read(store):
        await store.read_rows('servers', '')

    with pytest.raises(AnswerLostError):
        run_store(CannedClient([], more=True), read)


# -- the list of workers -----------------------------------------------------


@pytest.mark.parametrize('name', sorted(ENTRIES))
def test_wrong_entry_names_no_worker_and_the_others_hold(run_virtual, name):
    async def run():
        store = StandinStore()
        put(store, 'w0', encode_good())
        put(store, 'w1', ENTRIES[name])
        put(store, 'w2', encode_good())
        entries, _ = await make_feeds(store).read_workers()
        assert list_ids(entries) == ['w0', 'w2']

    run_virtual(run)


@pytest.mark.parametrize('name', sorted(ENTRIES))
def test_entry_that_turns_wrong_is_gone_until_it_is_good_again(
    run_virtual, name
):
    async def run():
        store = StandinStore()
        feeds = make_feeds(store)
        put(store, 'w0', encode_good())
        put(store, 'w1', encode_good())
        _, after = await feeds.read_workers()
        put(store, 'w0', ENTRIES[name])
        put(store, 'w1', encode_good(Sequence=5))
        changed, gone, after = await feeds.follow_workers(after)
        assert list_ids(changed) == ['w1']
        assert gone == ('w0',)
        put(store, 'w0', encode_good(Sequence=6))
        changed, gone, _ = await feeds.follow_workers(after)
        assert list_ids(changed) == ['w0']
        assert gone == ()

    run_virtual(run)


@pytest.mark.parametrize('is_good_last', [True, False])
def test_newest_of_several_changes_counts(run_virtual, is_good_last):
    async def run():
        store = StandinStore()
        values = [b'{', encode_good(), b'{', encode_good()]
        for value in values if is_good_last else values[:-1]:
            put(store, 'w0', value)
        changed, gone, _ = await make_feeds(store).follow_workers(0)
        assert list_ids(changed) == (['w0'] if is_good_last else [])
        assert gone == (() if is_good_last else ('w0',))

    run_virtual(run)


@pytest.mark.parametrize(
    'key',
    [
        '',
        '/',
        'servers/',
        'servers/x/w0',
        'x/w0',
        'w0/',
        '/w0',
        'other/w0',
        'w 0',
        'w0\n',
        'w\u00e9',
        '..',
        'w' * 201,
    ],
)
def test_odd_key_names_no_worker_and_no_other_one(run_virtual, key):
    async def run():
        store = StandinStore()
        feeds = make_feeds(store)
        put(store, 'w0', encode_good())
        _, after = await feeds.read_workers()
        put(store, key, encode_good(Address='10.6.6.6:1'))
        entries, _ = await feeds.read_workers()
        assert [entry.address for entry in entries] == [GOOD['Address']]
        put(store, key, b'{')
        put(store, key, None)
        changed, gone, _ = await feeds.follow_workers(after)
        assert (changed, gone) == ((), ())

    run_virtual(run)


def test_entry_of_another_part_names_no_worker(run_virtual):
    async def run():
        store = StandinStore()
        store.write('servers', 'elsewhere', 'w0', encode_good())
        changed, gone, _ = await make_feeds(store).follow_workers(0)
        assert (changed, gone) == ((), ())

    run_virtual(run)


@pytest.mark.parametrize('key', ['i-7f3a91c2', 'servers/i-7f3a91c2'])
def test_key_of_a_worker_is_read_with_and_without_its_table(run_virtual, key):
    async def run():
        store = StandinStore()
        put(store, key, encode_good())
        entries, _ = await make_feeds(store).read_workers()
        assert list_ids(entries) == ['i-7f3a91c2']

    run_virtual(run)


@pytest.mark.parametrize('address', ['a.example:1', '[::1]:65535', 'h:8080'])
def test_good_addresses_are_taken(run_virtual, address):
    async def run():
        store = StandinStore()
        put(store, 'w0', encode_good(Address=address, machine='m1'))
        entries, _ = await make_feeds(store).read_workers()
        assert entries[0].address == address

    run_virtual(run)


@pytest.mark.parametrize('remaining_ms', [-1, -1e300, 0, 0.5])
def test_worker_past_its_time_drains_with_none_left(run_virtual, remaining_ms):
    async def run():
        store = StandinStore()
        body = encode_good(State='draining', RemainingMs=remaining_ms)
        put(store, 'w0', body)
        entries, _ = await make_feeds(store).read_workers()
        assert entries[0].draining
        assert entries[0].leaves_in_ms == 0

    run_virtual(run)


def test_wrong_entry_is_logged_when_it_changes(run_virtual):
    async def run():
        store = StandinStore()
        feeds = make_feeds(store)
        after = 0
        for sequence in range(5):
            put(store, 'w0', encode_good(Sequence=sequence, State='odd'))
            put(store, 'a/b', encode_good(Sequence=sequence))
            _, _, after = await feeds.follow_workers(after)
        put(store, 'w0', encode_good(Address=''))
        put(store, 'w0', encode_good())
        put(store, 'w0', encode_good(Address=''))
        await feeds.follow_workers(after)

    with logbook.TestHandler() as handler:
        run_virtual(run)
    lines = [record.message for record in handler.records]
    assert lines == [
        'worker entry unreadable',
        'worker entry unreadable',
        'worker entry unreadable',
        'worker entry readable again',
        'worker entry unreadable',
    ]


# -- the configuration -------------------------------------------------------


CONFIGURATIONS = {
    **RAW,
    'no version': b'{}',
    'text for the version': b'{"Version":"2"}',
    'version below none': b'{"Version":-1}',
    'version above any': b'{"Version":' + b'9' * 40 + b'}',
    'routes are a text': b'{"Version":2,"Routes":"x"}',
    'route without a host': b'{"Version":2,"Routes":[{"Name":"a"}]}',
    'services are numbers': b'{"Version":2,"Services":[1]}',
    'limits are a list': b'{"Version":2,"Limits":[]}',
    'deep': b'{"Version":2,"x":' + b'[' * 60_000 + b']' * 60_000 + b'}',
}


@pytest.mark.parametrize('name', sorted(CONFIGURATIONS))
def test_unreadable_configuration_is_none(run_virtual, name):
    async def run():
        store = StandinStore()
        feeds = make_feeds(store)
        store.write('op', '', 'config', CONFIGURATIONS[name])
        found, after = await feeds.read_configuration()
        assert found is None
        store.write('op', '', 'config', b'{"Version":3}')
        store.write('op', '', 'config', CONFIGURATIONS[name])
        # The good one in between is not lost to the one after it.
        found, after = await feeds.follow_configuration(after, 0)
        assert found.version == 3

    with logbook.TestHandler() as handler:
        run_virtual(run)
    lines = [record.message for record in handler.records]
    assert lines == ['configuration unreadable'] * 2


def test_configuration_of_another_part_is_none(run_virtual):
    async def run():
        store = StandinStore()
        store.write('op', 'elsewhere', 'config', b'{"Version":3}')
        found, _ = await make_feeds(store).follow_configuration(0, 0)
        assert found is None

    run_virtual(run)


# -- what answers at an address ----------------------------------------------


@attrs.define
class Answerer:
    """Whatever listens at an address that an entry names."""

    body: bytes
    status: int = 200
    call_count: int = 0

    async def send(self, method, url, body=b'', headers=None, extra_wait_ms=0):
        self.call_count += 1
        return HttpAnswer(self.status, {}, self.body)


def make_report(**fields):
    return json.dumps({'ClockMs': 5, **fields}).encode()


REPORTS = {
    # An entry carries the clock of a report, and what else it carries is
    # passed over.
    **{name: body for name, body in RAW.items() if b'ClockMs' not in body},
    'cut off': make_report()[:-1],
    'deep': RAW['deep'],
    'two of them': make_report() * 2,
    'page': b'<html></html>',
    'no clock': b'{}',
    'clock is a text': b'{"ClockMs":"5"}',
    'task is a word': make_report(RunningCount=[['x', 1, '', 0]]),
    'task is a number': make_report(RunningCount=[[7, 1, '', 0]]),
    'task of words': make_report(RunningCount=[['a.b.c.d', 1, '', 0]]),
    'run is a text': make_report(RunningCount=[['a.0.0.0', '1', '', 0]]),
    'checkpoint is a number': make_report(RunningCount=[['a.0.0.0', 1, 1, 0]]),
    'percent is a text': make_report(RunningCount=[['a.0.0.0', 1, '', '0']]),
    'load is a text': make_report(RunningCount=[['a.0.0.0', 1, '', 0, 'x']]),
    'row too short': make_report(RunningCount=[['a.0.0.0', 1]]),
    'row too long': make_report(RunningCount=[['a.0.0.0', 1, '', 0, 1, 2]]),
    'row is a text': make_report(RunningCount=['abcd']),
    'ended is a word': make_report(EndedAt=[[1, 'x', 1, 'done', '']]),
    'ended oddly': make_report(EndedAt=[[1, 'a.0.0.0', 1, 'odd', '']]),
}


@pytest.mark.parametrize('name', sorted(REPORTS))
def test_answer_of_something_else_is_no_report(name):
    client = Answerer(REPORTS[name])
    agents = PlatformWorkers(lambda: client)

    async def hold():
        await agents.hold('w0', '10.0.0.1:80', 1, 0, None, 0)

    with pytest.raises(UnavailableError):
        trio.run(hold)


@pytest.mark.parametrize('address', NO_ADDRESSES)
def test_address_that_is_none_is_never_called(address):
    client = Answerer(make_report())
    agents = PlatformWorkers(lambda: client)

    async def call():
        key = TaskKey('a', 0, 0, 0)
        with pytest.raises(UnavailableError):
            await agents.hold('w0', address, 1, 0, None, 0)
        return await agents.stop('w0', address, key, 1, 1)

    assert trio.run(call).outcome is StartOutcome.NOT_SENT
    assert client.call_count == 0


@pytest.mark.parametrize('host', ['a..b', '[abc', 'a' * 64])
def test_host_that_is_none_is_an_answer_that_is_lost(host):
    async def send():
        async with HttpClient() as client:
            await client.send('GET', f'http://{host}:80/v1/hold')

    with pytest.raises(UnavailableError):
        trio.run(send)
