"""Performs effects on bundles."""

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

_CALL_TIMEOUT_S: t.Final = 2.0


class BundleEffects:
    """Verifies and fetches bundles, and marks them as in force.

    Parameters
    ----------
    shell : Shell
        The shell that requests the effects and gets the events.
    """

    def __init__(self, shell: Shell) -> None:
        self._shell = shell

    def verify_bundle(self, effect: fx.VerifyBundle) -> None:
        """Verify a bundle's signatures and parse its text."""
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
        """Fetch and post the bundle of a peer, if it has one."""
        with trio.move_on_after(_CALL_TIMEOUT_S):
            try:
                message = await self._shell.ports.peers.fetch_bundle(
                    effect.address
                )
            except UnavailableError:
                return
            if message is not None:
                self._shell.post(
                    ev.BundleFetched(0, message.number, message.approved)
                )

    async def mark_in_force(self, effect: fx.MarkInForce) -> None:
        """Mark a bundle as in force; the reducer retries a failure."""
        with trio.move_on_after(_CALL_TIMEOUT_S):
            try:
                await self._shell.bundles.mark_in_force(effect.number)
            except TulippinError:
                return
