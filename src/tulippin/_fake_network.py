"""The simulated network of a fleet, with faults."""

from __future__ import annotations

import random
import typing as t

import attrs
import trio

from tulippin.exceptions import UnavailableError

_LATENCY_S: t.Final = 0.0005
_LOSS_TIMEOUT_S: t.Final = 30.0


@attrs.define
class NetworkFaults:
    """Faults of the network.

    Parameters
    ----------
    cut_pairs : set of frozenset of str
        Pairs of names that cannot reach each other: instances, workers
        or failure domains.
    lost_share, duplicate_share, late_share : float
        Shares of messages that are lost, delivered twice or delayed.
    late_s : float
        Longest delay of a delayed message.
    """

    cut_pairs: set[frozenset[str]] = attrs.field(factory=set)
    lost_share: float = 0.0
    duplicate_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 3.0


@attrs.define
class FakeNetwork:
    """Transmits envelopes, syncs and requests, subject to faults.

    ``domains`` maps instances and workers to their failure domains.
    """

    rng: random.Random
    faults: NetworkFaults = attrs.field(factory=NetworkFaults)
    domains: dict[str, str] = attrs.field(factory=dict)

    def is_cut(self, name: str, other_name: str) -> bool:
        """Tell whether two names cannot reach each other."""
        names = {name, self.domains.get(name, name)}
        other_names = {other_name, self.domains.get(other_name, other_name)}
        return any(
            frozenset((first, second)) in self.faults.cut_pairs
            for first in names
            for second in other_names
        )

    async def transmit(self, sender: str, receiver: str) -> None:
        """Wait as long as a message takes to arrive.

        Raises ``UnavailableError`` after a timeout if it is lost or the
        connection is cut.
        """
        await trio.sleep(_LATENCY_S)
        if self.rng.random() < self.faults.late_share:
            await trio.sleep(self.rng.random() * self.faults.late_s)
        lost = self.rng.random() < self.faults.lost_share
        if lost or self.is_cut(sender, receiver):
            await trio.sleep(_LOSS_TIMEOUT_S)
            raise UnavailableError('the message was lost')
