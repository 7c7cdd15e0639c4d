"""Invalid entries and rows that other writers put into the store."""

import base64
import json

import attrs
import logbook
import pytest
import trio

from tulippin._http_client import HttpAnswer, HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import Transaction
from tulippin.jobs.types import OrderOutcome, TaskKey
from tulippin.platform.feeds import PlatformFeeds
from tulippin.platform.standin_store import StandinStore
from tulippin.platform.store import PlatformStore
from tulippin.platform.workers import PlatformWorkers

VALID_ENTRY = {
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
REQUIRED_FIELDS = sorted(VALID_ENTRY.keys() - {'ClockMs'})
INVALID_ADDRESSES = (
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
INVALID_IPV6_ADDRESSES = ('[::::]:80', '[1.2]:80', '[abc]:80')
INVALID_BODIES = {
    **{
        f'{field} is {invalid!r}': {**VALID_ENTRY, field: invalid}
        for field in sorted(VALID_ENTRY)
        for invalid in (None, {}, [], True, [None])
    },
    **{
        f'no {field}': {
            name: value for name, value in VALID_ENTRY.items() if name != field
        }
        for field in REQUIRED_FIELDS
    },
    **{
        f'address {address!r}': {**VALID_ENTRY, 'Address': address}
        for address in (*INVALID_ADDRESSES, *INVALID_IPV6_ADDRESSES)
    },
    **{
        f'state {state!r}': {**VALID_ENTRY, 'State': state}
        for state in ('', 'Ready', 'READY', 'warming', 'ready ', 'gone')
    },
    **{
        f'room {name} {amount!r}': {
            **VALID_ENTRY,
            'Capacity': {**VALID_ENTRY['Capacity'], name: amount},
        }
        for name, amounts in (
            ('Cpu', (0, -1, 10**10, 10**30, 1.5, '16000', None, True)),
            ('MemMb', (0, -1, 10**10, 10**30, 1.5, '1', None, True)),
            ('Gpus', (-1, 10**10, 10**30, 1.5, '1', None, True)),
        )
        for amount in amounts
    },
    'no processors': {**VALID_ENTRY, 'Capacity': {'MemMb': 1}},
    'no memory': {**VALID_ENTRY, 'Capacity': {'Cpu': 1}},
    'labels of numbers': {**VALID_ENTRY, 'Labels': [1, 2]},
    'label is nothing': {**VALID_ENTRY, 'Labels': ['a', None]},
    'labels are a text': {**VALID_ENTRY, 'Labels': 'a,r1'},
    'no service named': {**VALID_ENTRY, 'Service': ''},
    'no zone named': {**VALID_ENTRY, 'Zone': ''},
    'number for a service': {**VALID_ENTRY, 'Service': 7},
    'text for slots': {**VALID_ENTRY, 'Slots': '8'},
    'text for sequence': {**VALID_ENTRY, 'Sequence': 'x'},
    'text for remaining': {**VALID_ENTRY, 'RemainingMs': 'soon'},
    'a list': [VALID_ENTRY],
    'a text': 'ready',
    'a number': 1,
    'nothing': None,
    'empty': {},
}
INVALID_JSON = {
    'empty': b'',
    'blank': b' ',
    'zeros': b'\0' * 40,
    'random bytes': bytes(range(256)),
    'cut off': json.dumps(VALID_ENTRY).encode()[:-9],
    'not text': json.dumps(VALID_ENTRY).encode().replace(b'v1', b'\xff\xfe'),
    'service is not text': json.dumps(VALID_ENTRY)
    .encode()
    .replace(b'"s"', b'"\xc3\x28"'),
    'half a pair': json.dumps(VALID_ENTRY).encode().replace(b'v1', b'\\ud800'),
    'utf-16': json.dumps(VALID_ENTRY).encode('utf-16'),
    'two of them': json.dumps(VALID_ENTRY).encode() * 2,
    'deep': json.dumps(VALID_ENTRY).encode()[:-1]
    + b',"x":'
    + b'[' * 60_000
    + b']' * 60_000
    + b'}',
    'infinite time': json.dumps(VALID_ENTRY).encode()[:-1]
    + b',"RemainingMs":1e999}',
    'no number': json.dumps(VALID_ENTRY).encode()[:-1] + b',"RemainingMs":NaN}',
    'xml': b'<worker/>',
    'json in base64 twice': base64.b64encode(json.dumps(VALID_ENTRY).encode()),
}
INVALID_ENTRIES = {
    **{
        name: json.dumps(body).encode() for name, body in INVALID_BODIES.items()
    },
    **INVALID_JSON,
}
INVALID_BASE64 = (
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


def encode_entry(**changes):
    return json.dumps({**VALID_ENTRY, **changes}).encode()


def make_feeds(store):
    return PlatformFeeds(store.get_view('i0'))


def list_ids(entries):
    return [entry.worker_id for entry in entries]


@attrs.define
class CannedClient:
    """HTTP client that answers every store request with the same rows."""

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


@pytest.mark.parametrize('value', INVALID_BASE64, ids=repr)
def test_invalid_base64_leaves_other_rows_readable(value):
    good = base64.b64encode(encode_entry()).decode()
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
        # The row exists: a write that requires its absence must fail.
        assert rows[0].value == b''
        assert rows[0].version == 4
        assert rows[1].value == encode_entry()


def test_removed_row_has_no_value():
    client = CannedClient([make_wire_row('w0', 'no base64!', gone=True)])

    async def read(store):
        return (await store.follow('servers', 1, 0)).rows

    assert run_store(client, read)[0].value is None


def test_empty_page_with_more_rows_is_a_lost_answer():
    async def read(store):
        await store.read_rows('servers', '')

    with pytest.raises(AnswerLostError):
        run_store(CannedClient([], more=True), read)


# -- the list of workers -----------------------------------------------------


@pytest.mark.parametrize('name', sorted(INVALID_ENTRIES))
def test_invalid_entry_is_skipped(run_virtual, name):
    async def run():
        store = StandinStore()
        put(store, 'w0', encode_entry())
        put(store, 'w1', INVALID_ENTRIES[name])
        put(store, 'w2', encode_entry())
        entries, _ = await make_feeds(store).read_workers()
        assert list_ids(entries) == ['w0', 'w2']

    run_virtual(run)


@pytest.mark.parametrize('name', sorted(INVALID_ENTRIES))
def test_worker_is_gone_while_its_entry_is_invalid(run_virtual, name):
    async def run():
        store = StandinStore()
        feeds = make_feeds(store)
        put(store, 'w0', encode_entry())
        put(store, 'w1', encode_entry())
        _, after = await feeds.read_workers()
        put(store, 'w0', INVALID_ENTRIES[name])
        put(store, 'w1', encode_entry(Sequence=5))
        changed, gone, after = await feeds.follow_workers(after)
        assert list_ids(changed) == ['w1']
        assert gone == ('w0',)
        put(store, 'w0', encode_entry(Sequence=6))
        changed, gone, _ = await feeds.follow_workers(after)
        assert list_ids(changed) == ['w0']
        assert gone == ()

    run_virtual(run)


@pytest.mark.parametrize('is_good_last', [True, False])
def test_newest_of_several_changes_counts(run_virtual, is_good_last):
    async def run():
        store = StandinStore()
        values = [b'{', encode_entry(), b'{', encode_entry()]
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
def test_invalid_key_names_no_worker(run_virtual, key):
    async def run():
        store = StandinStore()
        feeds = make_feeds(store)
        put(store, 'w0', encode_entry())
        _, after = await feeds.read_workers()
        put(store, key, encode_entry(Address='10.6.6.6:1'))
        entries, _ = await feeds.read_workers()
        assert [entry.address for entry in entries] == [VALID_ENTRY['Address']]
        put(store, key, b'{')
        put(store, key, None)
        changed, gone, _ = await feeds.follow_workers(after)
        assert (changed, gone) == ((), ())

    run_virtual(run)


def test_entry_of_another_part_names_no_worker(run_virtual):
    async def run():
        store = StandinStore()
        store.write('servers', 'elsewhere', 'w0', encode_entry())
        changed, gone, _ = await make_feeds(store).follow_workers(0)
        assert (changed, gone) == ((), ())

    run_virtual(run)


@pytest.mark.parametrize('key', ['i-7f3a91c2', 'servers/i-7f3a91c2'])
def test_key_of_a_worker_is_read_with_and_without_its_table(run_virtual, key):
    async def run():
        store = StandinStore()
        put(store, key, encode_entry())
        entries, _ = await make_feeds(store).read_workers()
        assert list_ids(entries) == ['i-7f3a91c2']

    run_virtual(run)


@pytest.mark.parametrize('address', ['a.example:1', '[::1]:65535', 'h:8080'])
def test_valid_addresses_are_accepted(run_virtual, address):
    async def run():
        store = StandinStore()
        put(store, 'w0', encode_entry(Address=address, machine='m1'))
        entries, _ = await make_feeds(store).read_workers()
        assert entries[0].address == address

    run_virtual(run)


@pytest.mark.parametrize('remaining_ms', [-1, -1e300, 0, 0.5])
def test_negative_remaining_time_counts_as_zero(run_virtual, remaining_ms):
    async def run():
        store = StandinStore()
        body = encode_entry(State='draining', RemainingMs=remaining_ms)
        put(store, 'w0', body)
        entries, _ = await make_feeds(store).read_workers()
        assert entries[0].draining
        assert entries[0].leaves_in_ms == 0

    run_virtual(run)


def test_invalid_entry_is_logged_when_its_reason_changes(run_virtual):
    async def run():
        store = StandinStore()
        feeds = make_feeds(store)
        after = 0
        for sequence in range(5):
            put(store, 'w0', encode_entry(Sequence=sequence, State='odd'))
            put(store, 'a/b', encode_entry(Sequence=sequence))
            _, _, after = await feeds.follow_workers(after)
        put(store, 'w0', encode_entry(Address=''))
        put(store, 'w0', encode_entry())
        put(store, 'w0', encode_entry(Address=''))
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


INVALID_CONFIGURATIONS = {
    **INVALID_JSON,
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


@pytest.mark.parametrize('name', sorted(INVALID_CONFIGURATIONS))
def test_invalid_configuration_is_ignored(run_virtual, name):
    async def run():
        store = StandinStore()
        feeds = make_feeds(store)
        store.write('op', '', 'config', INVALID_CONFIGURATIONS[name])
        found = await feeds.read_settings()
        assert found.configuration is None
        store.write('op', '', 'config', b'{"Version":3}')
        store.write('op', '', 'config', INVALID_CONFIGURATIONS[name])
        # The valid version isn't masked by the later invalid one.
        found = await feeds.follow_settings(found.version, 0)
        assert found.configuration.version == 3

    with logbook.TestHandler() as handler:
        run_virtual(run)
    lines = [record.message for record in handler.records]
    assert lines == ['configuration unreadable'] * 2


def test_configuration_of_another_part_is_ignored(run_virtual):
    async def run():
        store = StandinStore()
        store.write('op', 'elsewhere', 'config', b'{"Version":3}')
        found = await make_feeds(store).follow_settings(0, 0)
        assert found.configuration is None

    run_virtual(run)


# -- what answers at an address ----------------------------------------------


@attrs.define
class CannedServer:
    """HTTP client that answers every request with the same body."""

    body: bytes
    status: int = 200
    call_count: int = 0

    async def send(self, method, url, body=b'', headers=None, extra_wait_ms=0):
        self.call_count += 1
        return HttpAnswer(self.status, {}, self.body)


def make_report(**fields):
    return json.dumps({'ClockMs': 5, **fields}).encode()


INVALID_REPORTS = {
    # An entry has the clock field of a report; its other fields are ignored.
    **{
        name: body
        for name, body in INVALID_JSON.items()
        if b'ClockMs' not in body
    },
    'cut off': make_report()[:-1],
    'deep': INVALID_JSON['deep'],
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


@pytest.mark.parametrize('name', sorted(INVALID_REPORTS))
def test_invalid_report_is_rejected(name):
    client = CannedServer(INVALID_REPORTS[name])
    agents = PlatformWorkers(lambda: client)

    async def hold():
        await agents.hold('w0', '10.0.0.1:80', 1, 0, None, 0)

    with pytest.raises(UnavailableError):
        trio.run(hold)


@pytest.mark.parametrize('address', INVALID_ADDRESSES)
def test_invalid_address_is_never_called(address):
    client = CannedServer(make_report())
    agents = PlatformWorkers(lambda: client)

    async def call():
        key = TaskKey('a', 0, 0, 0)
        with pytest.raises(UnavailableError):
            await agents.hold('w0', address, 1, 0, None, 0)
        return await agents.stop('w0', address, key, 1, 1)

    assert trio.run(call).outcome is OrderOutcome.NOT_SENT
    assert client.call_count == 0


@pytest.mark.parametrize('host', ['a..b', '[abc', 'a' * 64])
def test_invalid_host_is_unavailable(host):
    async def send():
        async with HttpClient() as client:
            await client.send('GET', f'http://{host}:80/v1/hold')

    with pytest.raises(UnavailableError):
        trio.run(send)
