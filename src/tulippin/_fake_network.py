"""The network of a fleet: late, twice or never, and cut where told."""

from __future__ import annotations

import random
import typing as t

import attrs
import trio

from tulippin.exceptions import UnavailableError

_HOP_S: t.Final = 0.0005
_LOST_S: t.Final = 30.0


@attrs.define
class NetworkFaults:
    """What the network does to messages.

    ``cut`` holds pairs of names that cannot reach each other; a name
    is an instance's, a worker's or a failure domain's.
    """

    cut: set[frozenset[str]] = attrs.field(factory=set)
    lost_share: float = 0.0
    duplicate_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 3.0


@attrs.define
class FakeNetwork:
    """Carries envelopes, syncs and requests, late, twice or never."""

    source: random.Random
    faults: NetworkFaults = attrs.field(factory=NetworkFaults)
    domains: dict[str, str] = attrs.field(factory=dict)

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether two names cannot reach each other."""
        ones = {one, self.domains.get(one, one)}
        others = {other, self.domains.get(other, other)}
        return any(
            frozenset((left, right)) in self.faults.cut
            for left in ones
            for right in others
        )

    async def travel(self, one: str, other: str) -> None:
        """Take the way from one name to another, or fail on it."""
        await trio.sleep(_HOP_S)
        if self.source.random() < self.faults.late_share:
            await trio.sleep(self.source.random() * self.faults.late_s)
        lost = self.source.random() < self.faults.lost_share
        if lost or self.is_cut(one, other):
            await trio.sleep(_LOST_S)
            raise UnavailableError('lost on the way')
