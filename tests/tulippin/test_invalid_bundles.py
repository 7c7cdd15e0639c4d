"""Invalid bundle rows, as another writer might leave them."""

import collections

import logbook
import pytest
import trio

from tulippin.bundle_store import BundleStore
from tulippin.bundles import compute_digest, make_key, sign
from tulippin.jobs.events import PolicyChanged
from tulippin.jobs.features import Features
from tulippin.jobs.state import SchedulerConfig
from tulippin.platform.standin_store import StandinStore
from tulippin.row_table import RowTable
from tulippin.scheduler_bundles import follow_bundles

TEXT = """
[bundle]
name = harvest
[policy new]
kind = best_fit
"""
KEY_PAIRS = {name: make_key() for name in ('alice', 'bob')}
PUBLIC_KEYS = {name: public for name, (_, public) in KEY_PAIRS.items()}
INVALID_ROWS = {
    'empty': b'',
    'cut off': b'{"number":1',
    'not text': b'{"number":1,"text":"\xff","rolled_number":"\xff"}',
    'a list': b'[]',
    'random bytes': bytes(range(256)),
    'deep': b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}',
    'number is a text': b'{"number":"1","rolled_number":"1"}',
}


class RecordingShell:
    """Records the events that are posted to the scheduler."""

    def __init__(self, store, features=None):
        self.ports = self
        self.store = store
        self.config = SchedulerConfig(
            'i', 'i:1', features=features or Features()
        )
        self.units = {}
        self.read_counts = collections.Counter()
        self.posted = []

    def clock(self):
        return 0

    def post(self, event):
        self.posted.append(event)

    def record_store_result(self, error):
        raise error


def sign_as(operator, action, number):
    digest = compute_digest(TEXT)
    return sign(KEY_PAIRS[operator][0], operator, action, number, digest)


async def roll_new_bundle(store):
    """Propose, approve and roll one more bundle."""
    row = await store.propose(TEXT, sign_as('alice', 'propose', 0))
    number = row.number
    await store.approve(number, sign_as('bob', 'approve', number))
    await store.roll(number, sign_as('alice', 'roll', number))
    return number


def list_policy_numbers(shell):
    return [
        event.number
        for event in shell.posted
        if isinstance(event, PolicyChanged)
    ]


@pytest.mark.parametrize('key', ['bundle-head', 'bundle/00000002'])
@pytest.mark.parametrize('name', sorted(INVALID_ROWS))
def test_invalid_row_leaves_previous_bundle_in_force(run_virtual, name, key):
    async def run():
        store = StandinStore()
        view = store.get_view('i0')
        bundles = BundleStore(RowTable(view), PUBLIC_KEYS)
        shell = RecordingShell(view)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow_bundles, shell, PUBLIC_KEYS)
            await roll_new_bundle(bundles)
            await trio.sleep(9)
            await roll_new_bundle(bundles)
            rows = store.rows
            valid_value = rows['tulippin', 'product', key].value
            store.write('tulippin', 'product', key, INVALID_ROWS[name])
            await trio.sleep(30)
            assert list_policy_numbers(shell) == [1]
            store.write('tulippin', 'product', key, valid_value)
            await trio.sleep(9)
            assert list_policy_numbers(shell) == [1, 2]
            nursery.cancel_scope.cancel()

    with logbook.TestHandler() as handler:
        run_virtual(run)
    messages = [record.message for record in handler.records]
    assert messages == ['bundle refused']


@pytest.mark.parametrize('name', sorted(INVALID_ROWS))
def test_invalid_bundle_is_left_out_of_list(run_virtual, name):
    async def run():
        store = StandinStore()
        bundles = BundleStore(RowTable(store.get_view('i0')), PUBLIC_KEYS)
        await roll_new_bundle(bundles)
        store.write(
            'tulippin', 'product', 'bundle/00000009', INVALID_ROWS[name]
        )
        assert [row.number for row in await bundles.list_bundles()] == [1]

    run_virtual(run)
