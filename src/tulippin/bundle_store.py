"""The numbered log of bundles in the table.

Concurrent changes are serialized by conditions on row versions: one of them
takes effect and the others raise ``ConflictError``.
"""

from __future__ import annotations

import typing as t
import uuid

import attrs

from tulippin import codec
from tulippin.bundles import (
    BundleHead,
    BundleRow,
    BundleState,
    Signature,
    compute_digest,
    parse_bundle,
    verify,
    verify_row,
)
from tulippin.exceptions import (
    ConflictError,
    DeniedError,
    InputError,
    NotFoundError,
)
from tulippin.logs import logger
from tulippin.ports import Condition, Table, Write
from tulippin.store import commit_resolved

_HEAD_KEY: t.Final = 'bundle-head'


def bundle_key(number: int) -> str:
    """Return the key of a bundle's row."""
    return f'bundle/{number:08d}'


@attrs.define
class BundleStore:
    """Operators' actions on bundles, each a conditional transaction.

    Parameters
    ----------
    table : Table
        The platform's table.
    keys : mapping of str to str
        Operators' Ed25519 public keys in hex.
    """

    table: Table
    keys: t.Mapping[str, str]

    async def read_head(self) -> tuple[BundleHead, int]:
        """Return the head of the log and its row's version."""
        row = await self.table.get(_HEAD_KEY)
        if row is None:
            return BundleHead(), 0
        return codec.decode(row.value, BundleHead), row.version

    async def get(self, number: int) -> tuple[BundleRow, int]:
        """Return a bundle and its row's version."""
        row = await self.table.get(bundle_key(number))
        if row is None:
            raise NotFoundError(
                f'there is no bundle {number}; see "tulippin bundle list"',
                code='unknown_bundle',
            )
        return codec.decode(row.value, BundleRow), row.version

    async def list_bundles(self) -> list[BundleRow]:
        """Return all bundles in the order of their numbers.

        Unreadable rows are logged and left out.
        """
        bundles = []
        for key, row in await self.table.scan('bundle/'):
            try:
                bundles.append(codec.decode(row.value, BundleRow))
            except InputError as error:
                logger.error('row unreadable', key=key, reason=error.message)
        return bundles

    async def propose(self, text: str, signature: Signature) -> BundleRow:
        """Check a bundle and add it to the log under the next number."""
        parse_bundle(text)
        digest = compute_digest(text)
        verify(self.keys, signature, 'propose', 0, digest)
        head, head_version = await self.read_head()
        number = head.next_number
        bundle = BundleRow(
            number, text, digest, BundleState.PROPOSED, signature
        )
        new_head = attrs.evolve(
            head, next_number=number + 1, token=uuid.uuid4().hex
        )
        await self._commit(
            new_head, head_version, [(bundle, 0)], 'propose it again'
        )
        return bundle

    async def approve(self, number: int, signature: Signature) -> BundleRow:
        """Approve a proposed bundle; its proposer may not do that."""
        bundle, version = await self.get(number)
        self._require_state(bundle, BundleState.PROPOSED, 'approved')
        if signature.operator == bundle.proposed.operator:
            raise DeniedError(
                'a bundle is approved by another operator than its proposer',
                code='same_operator',
            )
        verify(self.keys, signature, 'approve', number, bundle.digest)
        approved = attrs.evolve(
            bundle, state=BundleState.APPROVED, approved=signature
        )
        head, head_version = await self.read_head()
        await self._commit(
            attrs.evolve(head, token=uuid.uuid4().hex),
            head_version,
            [(approved, version)],
            'see its state and try again',
        )
        return approved

    async def roll(self, number: int, signature: Signature) -> BundleRow:
        """Roll an approved bundle out over the fleet.

        Its number must be above that of the bundle in force.
        """
        bundle, version = await self.get(number)
        self._require_state(bundle, BundleState.APPROVED, 'rolled')
        verify(self.keys, signature, 'roll', number, bundle.digest)
        head, head_version = await self.read_head()
        if number <= head.rolled_number:
            raise ConflictError(
                f'bundle {head.rolled_number} is in force and {number} is'
                ' older; propose its text again to get a higher number',
                code='older_bundle',
            )
        rolled = attrs.evolve(
            bundle, state=BundleState.ROLLING, rolled=signature
        )
        verify_row(self.keys, rolled)
        rows = [(rolled, version)]
        if head.rolled_number:
            previous, previous_version = await self.get(head.rolled_number)
            superseded = attrs.evolve(previous, state=BundleState.SUPERSEDED)
            rows.append((superseded, previous_version))
        new_head = attrs.evolve(
            head, rolled_number=number, token=uuid.uuid4().hex
        )
        await self._commit(new_head, head_version, rows, 'see the list')
        return rolled

    async def retire(self, number: int, signature: Signature) -> BundleRow:
        """Retire a bundle that is neither rolling nor in force."""
        bundle, version = await self.get(number)
        if bundle.state in {BundleState.ROLLING, BundleState.IN_FORCE}:
            raise ConflictError(
                f'bundle {number} is in force; roll a newer one first',
                code='in_force',
            )
        if bundle.state is BundleState.RETIRED:
            raise ConflictError(
                f'bundle {number} is retired already', code='wrong_state'
            )
        verify(self.keys, signature, 'retire', number, bundle.digest)
        retired = attrs.evolve(
            bundle, state=BundleState.RETIRED, retired=signature
        )
        head, head_version = await self.read_head()
        await self._commit(
            attrs.evolve(head, token=uuid.uuid4().hex),
            head_version,
            [(retired, version)],
            'see its state and try again',
        )
        return retired

    async def mark_in_force(self, number: int) -> None:
        """Mark a rolling bundle as in force on every live instance."""
        bundle, version = await self.get(number)
        if bundle.state is not BundleState.ROLLING:
            return
        in_force = attrs.evolve(bundle, state=BundleState.IN_FORCE)
        await self.table.commit(
            [Condition(bundle_key(number), version)],
            [Write(bundle_key(number), codec.encode(in_force).decode())],
        )

    async def read_rolled(self) -> BundleRow | None:
        """Return the bundle that is rolling or in force, if any."""
        head, _ = await self.read_head()
        if not head.rolled_number:
            return None
        bundle, _ = await self.get(head.rolled_number)
        return bundle

    def _require_state(
        self, bundle: BundleRow, state: BundleState, action: str
    ) -> None:
        """Raise ``ConflictError`` unless a bundle has a state."""
        if bundle.state is not state:
            raise ConflictError(
                f'bundle {bundle.number} is {bundle.state.value}; only one'
                f' that is {state.value} can be {action}',
                code='wrong_state',
            )

    async def _commit(
        self,
        head: BundleHead,
        head_version: int,
        rows: t.Sequence[tuple[BundleRow, int]],
        advice: str,
    ) -> None:
        """Write rows and the head, each if it has its expected version."""
        conditions = [Condition(_HEAD_KEY, head_version)]
        writes = [Write(_HEAD_KEY, codec.encode(head).decode())]
        for bundle, version in rows:
            key = bundle_key(bundle.number)
            conditions.append(Condition(key, version))
            writes.append(Write(key, codec.encode(bundle).decode()))
        resolved = await commit_resolved(self.table, conditions, writes)
        if not resolved.version:
            raise ConflictError(
                f'another operator was first; {advice}', code='raced'
            )
