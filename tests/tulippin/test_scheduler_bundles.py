"""How often an instance looks for new bundles.

Guards against looks that are left out although a bundle could be put in force.
"""

import pytest
import trio
from test_invalid_bundles import (
    PUBLIC_KEYS,
    RecordingShell,
    list_policy_numbers,
    roll_new_bundle,
)

from tulippin.bundle_store import BundleStore
from tulippin.jobs.features import Features
from tulippin.platform.standin_store import StandinStore
from tulippin.row_table import RowTable
from tulippin.scheduler_bundles import follow_bundles

GATHERED = Features(gathers_reads=True)


@pytest.mark.parametrize(
    ('features', 'keys', 'count'),
    [
        (Features(), PUBLIC_KEYS, 15),
        (Features(), {}, 15),
        (GATHERED, PUBLIC_KEYS, 7),
        # Without operators no bundle has a valid signature.
        (GATHERED, {}, 0),
    ],
)
def test_looks_for_a_bundle_in_a_quiet_minute(
    run_virtual, features, keys, count
):
    async def run():
        shell = RecordingShell(StandinStore().get_view('i0'), features)
        with trio.move_on_after(60.5):
            await follow_bundles(shell, keys)
        assert shell.read_counts['bundles'] == count

    run_virtual(run)


@pytest.mark.parametrize('offset_s', [0, 1.5, 3, 4.5, 6, 7.9])
def test_bundle_is_in_force_within_12_s_without_a_unit(run_virtual, offset_s):
    async def run():
        view = StandinStore().get_view('i0')
        bundles = BundleStore(RowTable(view), PUBLIC_KEYS)
        shell = RecordingShell(view, GATHERED)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow_bundles, shell, PUBLIC_KEYS)
            await trio.sleep(offset_s)
            await roll_new_bundle(bundles)
            await trio.sleep(12)
            assert list_policy_numbers(shell) == [1]
            nursery.cancel_scope.cancel()

    run_virtual(run)
