"""Which bundle is in force on a scheduler instance."""

from __future__ import annotations

import importlib
import typing as t

import attrs
import trio

from tulippin.exceptions import TulippinError, UnavailableError
from tulippin.jobs._rows import read_row
from tulippin.jobs.events import PolicyChanged
from tulippin.jobs.records import PRODUCT_PART, PRODUCT_TABLE
from tulippin.jobs.shell import SchedulerShell
from tulippin.logs import logger

# A change is to be in force within 12 s; a reading takes some 5 ms.
_LOOK_EVERY_S: t.Final = 4.0
_HEAD_KEY: t.Final = 'bundle-head'


async def follow_bundles(
    shell: SchedulerShell, keys: t.Mapping[str, str]
) -> None:
    """Put the rolled bundle's first policy in force, ever a newer one.

    Parameters
    ----------
    shell : SchedulerShell
        Told of each new policy.
    keys : mapping of str to str
        Operators' public keys; a bundle whose signatures they do not
        confirm is not put in force.
    """
    follower = _Follower(shell, keys)
    while True:
        await trio.sleep(_LOOK_EVERY_S)
        try:
            await follower.look()
        except UnavailableError as error:
            shell.note_store(error)
        except TulippinError as error:
            follower.tell(error)


@attrs.define
class _Follower:
    """What is in force, and why what was rolled since is not."""

    shell: SchedulerShell
    keys: t.Mapping[str, str]
    head_version: int = 0
    number: int = 0
    told: str = ''

    async def look(self) -> None:
        """Put the newest bundle in force, unless none came since.

        The head's version is kept once that is done: a row that is refused
        may be mended without a new head.
        """
        store = self.shell.ports.store
        head = await read_row(store, PRODUCT_TABLE, PRODUCT_PART, _HEAD_KEY)
        if head is None or head.version == self.head_version:
            return
        self.number = await _apply_newest(self.shell, self.keys, self.number)
        self.head_version = head.version
        self.told = ''

    def tell(self, error: TulippinError) -> None:
        """Log why a bundle is refused, unless that was told last."""
        reason = error.format_message()
        if reason != self.told:
            logger.error('bundle refused', reason=reason)
        self.told = reason


async def _apply_newest(
    shell: SchedulerShell, keys: t.Mapping[str, str], number: int
) -> int:
    # Signatures need a library of 11 MB, and the product's own messages a
    # tenth of an instance's time to start: one without any bundle loads none.
    table_module = importlib.import_module('tulippin.row_table')
    table = table_module.RowTable(shell.ports.store)
    store_module = importlib.import_module('tulippin.bundle_store')
    bundles = importlib.import_module('tulippin.bundles')
    store = store_module.BundleStore(table, keys)
    head, _ = await store.read_head()
    if head.rolled_number <= number:
        return number
    row, _ = await store.get(head.rolled_number)
    bundles.verify_row(keys, row)
    bundle = bundles.parse_bundle(row.text)
    policy = bundle.policies[bundle.trial.policies[0]]
    shell.post(PolicyChanged(shell.clock(), row.number, policy))
    return row.number
