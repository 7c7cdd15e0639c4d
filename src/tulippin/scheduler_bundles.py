"""Applies rolled-out policy bundles to a scheduler instance."""

from __future__ import annotations

import importlib
import typing as t

import attrs
import trio

from tulippin.exceptions import TulippinError, UnavailableError
from tulippin.jobs import _read_schedule
from tulippin.jobs._rows import read_row
from tulippin.jobs.events import PolicyChanged
from tulippin.jobs.records import PRODUCT_PART, PRODUCT_TABLE
from tulippin.jobs.shell import SchedulerShell
from tulippin.logs import logger

_MS: t.Final = 1000
_HEAD_KEY: t.Final = 'bundle-head'


async def follow_bundles(
    shell: SchedulerShell, keys: t.Mapping[str, str]
) -> None:
    """Watch for newly rolled bundles and put their first policy in force.

    Runs until it is cancelled.

    Parameters
    ----------
    shell : SchedulerShell
        Receives a `PolicyChanged` event for each new policy.
    keys : mapping of str to str
        Operators' public keys. A bundle without valid signatures of these
        keys is rejected.
    """
    if shell.config.features.gathers_reads and not keys:
        # No bundle has a valid signature, so none is put in force.
        logger.info('bundles not followed', reason='no operators are known')
        await trio.sleep_forever()
    follower = _Follower(shell, keys)
    has_failed = False
    while True:
        interval_ms = _read_schedule.choose_bundles_interval_ms(
            shell.config.features,
            is_idle=_read_schedule.is_idle(shell.units.values()),
            has_failed=has_failed,
        )
        await trio.sleep(interval_ms / _MS)
        has_failed = False
        try:
            await follower.check()
        except UnavailableError as error:
            has_failed = True
            shell.record_store_result(error)
        except TulippinError as error:
            follower.log_rejected(error)


@attrs.define
class _Follower:
    """Number of the bundle in force, and the last logged reject reason."""

    shell: SchedulerShell
    keys: t.Mapping[str, str]
    head_version: int = 0
    number: int = 0
    last_logged_reason: str = ''

    async def check(self) -> None:
        """Put the newest bundle in force if the head has changed.

        The version of the head is stored only after success: a rejected
        bundle row may be corrected without a new head.
        """
        store = self.shell.ports.store
        self.shell.read_counts['bundles'] += 1
        head = await read_row(store, PRODUCT_TABLE, PRODUCT_PART, _HEAD_KEY)
        if head is None or head.version == self.head_version:
            return
        self.number = await _apply_newest(self.shell, self.keys, self.number)
        self.head_version = head.version
        self.last_logged_reason = ''

    def log_rejected(self, error: TulippinError) -> None:
        """Log why a bundle is rejected, unless the same reason was logged."""
        reason = error.format_message()
        if reason != self.last_logged_reason:
            logger.error('bundle refused', reason=reason)
        self.last_logged_reason = reason


async def _apply_newest(
    shell: SchedulerShell, keys: t.Mapping[str, str], number: int
) -> int:
    """Verify and apply the newest bundle; return the number in force."""
    # Imported on first use, so that an instance without bundles doesn't load
    # them: signatures need a library of 11 MB, and the product's messages
    # take a tenth of the start time.
    row_table = importlib.import_module('tulippin.row_table')
    table = row_table.RowTable(shell.ports.store)
    bundle_store = importlib.import_module('tulippin.bundle_store')
    bundles = importlib.import_module('tulippin.bundles')
    store = bundle_store.BundleStore(table, keys)
    head, _ = await store.read_head()
    if head.rolled_number <= number:
        return number
    row, _ = await store.get(head.rolled_number)
    bundles.verify_row(keys, row)
    bundle = bundles.parse_bundle(row.text)
    policy = bundle.policies[bundle.trial.policies[0]]
    shell.post(PolicyChanged(shell.clock(), row.number, policy))
    return row.number
