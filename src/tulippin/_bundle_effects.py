"""Effects on bundles, for one instance."""

from __future__ import annotations

import typing as t

import trio

from tulippin import codec
from tulippin import effects as fx
from tulippin import events as ev
from tulippin.bundles import BundleRow, parse_bundle, verify_row
from tulippin.exceptions import TulippinError, UnavailableError

if t.TYPE_CHECKING:
    from tulippin.shell import Shell

_TIMEOUT_S: t.Final = 2.0


class BundleEffects:
    """Verifies, fetches and marks bundles for a shell.

    Parameters
    ----------
    shell : Shell
        Whose effects these are.
    """

    def __init__(self, shell: Shell) -> None:
        self._shell = shell

    def verify_bundle(self, effect: fx.VerifyBundle) -> None:
        """Check a bundle's signatures and text."""
        bundle = None
        try:
            row = codec.decode(effect.approved, BundleRow)
            verify_row(self._shell.keys, row)
            if row.number == effect.number:
                bundle = parse_bundle(row.text, f'bundle {row.number}')
        except TulippinError:
            bundle = None
        self._shell.post(
            ev.BundleLearned(0, effect.number, effect.approved, bundle)
        )

    async def fetch_bundle(self, effect: fx.FetchBundle) -> None:
        """Ask one instance for its bundle."""
        with trio.move_on_after(_TIMEOUT_S):
            try:
                sent = await self._shell.ports.peers.fetch_bundle(
                    effect.address
                )
            except UnavailableError:
                return
            if sent is not None:
                self._shell.post(
                    ev.BundleFetched(0, sent.number, sent.approved)
                )

    async def mark_in_force(self, effect: fx.MarkInForce) -> None:
        """Note in the table that all hold a bundle; a failure is retried."""
        with trio.move_on_after(_TIMEOUT_S):
            try:
                await self._shell.bundles.mark_in_force(effect.number)
            except TulippinError:
                return
