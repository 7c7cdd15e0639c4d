"""Tests of the session store: lost answers, fencing and recovery.

A write whose answer is lost must be resolved before anything builds on it.
"""

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from tulippin import records
from tulippin.exceptions import AnswerLostError, FencedError
from tulippin.ledger import RangeLedger
from tulippin.ports import Condition, Write
from tulippin.store import (
    SessionStore,
    collect_garbage,
    commit_resolved,
    read_membership,
)
from tulippin.testing import FakeObjects, FakeTable
from tulippin.types import (
    Holder,
    JobSpec,
    LeaseRow,
    Ownership,
    Source,
    range_unit,
)

UNIT = range_unit(0)
COMMIT_RESULTS = ('ok', 'lost call', 'lost answer')


def make_lease(session_id):
    return LeaseRow(session_id, session_id, 'domain', 'address', 0)


def make_record(job_id, epoch=1):
    accepted = records.JobAccepted(JobSpec(job_id, 'team'), 'digest')
    return records.UnitRecord(UNIT, epoch, accepted)


class ScriptedTable(FakeTable):
    """Loses the call or the answer of each commit, as scripted."""

    def __init__(self, script):
        super().__init__()
        self.script = list(script)
        self.applied_count = 0

    async def commit(self, conditions, writes, client=''):
        result = self.script.pop(0) if self.script else 'ok'
        if result == 'lost call':
            raise AnswerLostError('lost')
        version = self.apply(conditions, writes)
        self.applied_count += bool(version)
        if result == 'lost answer':
            raise AnswerLostError('lost')
        return version


@given(
    st.lists(st.sampled_from(['ok', 'lost call', 'lost answer']), max_size=6)
)
def test_commit_takes_effect_exactly_once(script):
    async def run():
        table = ScriptedTable(script)
        resolved = await commit_resolved(
            table, [Condition('key', 0)], [Write('key', 'ours')]
        )
        assert resolved.version == table.rows['key'].version
        assert table.applied_count == 1

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@given(st.lists(st.sampled_from(['lost call', 'lost answer']), max_size=4))
def test_commit_detects_a_conflicting_write(script):
    async def run():
        table = ScriptedTable(script)
        table.apply([], [Write('key', 'theirs')])
        resolved = await commit_resolved(
            table, [Condition('key', 0)], [Write('key', 'ours')]
        )
        assert resolved.version == 0
        assert table.rows['key'].value == 'theirs'

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def open_store(table, objects, session_id, slot_count=8):
    store = SessionStore(table, objects, session_id, slot_count)
    await store.open(make_lease(session_id))
    return store


def test_revoked_session_cannot_write(run_virtual):
    async def run():
        table, objects = FakeTable(), FakeObjects()
        old = await open_store(table, objects, 'old')
        new = await open_store(table, objects, 'new')
        await old.commit_row(1, [make_record('a')])
        membership = await read_membership(table)
        lease = next(
            row for row in membership.leases if row.session_id == 'old'
        )
        resolved = await new.write_ownership(Ownership({}, 'x'), 0, [lease])
        assert resolved.version
        with pytest.raises(FencedError):
            await old.commit_row(2, [make_record('b')])
        with pytest.raises(FencedError):
            await old.renew(make_lease('old'))

    run_virtual(run)


def test_renewed_lease_cannot_be_revoked(run_virtual):
    async def run():
        table, objects = FakeTable(), FakeObjects()
        old = await open_store(table, objects, 'old')
        new = await open_store(table, objects, 'new')
        membership = await read_membership(table)
        lease = next(
            row for row in membership.leases if row.session_id == 'old'
        )
        await old.renew(make_lease('old'))
        resolved = await new.write_ownership(Ownership({}, 'x'), 0, [lease])
        assert not resolved.version

    run_virtual(run)


def test_successor_reads_snapshot_and_journal(run_virtual):
    async def run():
        table, objects = FakeTable(), FakeObjects()
        old = await open_store(table, objects, 'old', slot_count=4)
        ledger = RangeLedger()
        for sequence in range(1, 8):
            record = make_record(f'job-{sequence}')
            await old.commit_row(sequence, [record])
            from tulippin.ledger import apply

            apply(record.record, ledger)
            if sequence % 3 == 0:
                from tulippin.codec import encode_ledgers

                body = encode_ledgers([(UNIT, 1, ledger)])
                await old.publish(sequence, body, [(UNIT, 1)])
        new = await open_store(table, objects, 'new', slot_count=4)
        holder = Holder('new', 2, '', (Source('old', 1),))
        loaded = await new.load_unit(UNIT, holder)
        assert set(loaded.jobs) == {f'job-{number}' for number in range(1, 8)}
        reloaded = await new.load_unit(UNIT, holder)
        assert reloaded == loaded

    run_virtual(run)


def test_successor_skips_an_owner_that_never_acted(run_virtual):
    async def run():
        table, objects = FakeTable(), FakeObjects()
        first = await open_store(table, objects, 'first')
        await first.commit_row(1, [make_record('a')])
        await open_store(table, objects, 'second')
        third = await open_store(table, objects, 'third')
        chain = (Source('second', 2), Source('first', 1))
        loaded = await third.load_unit(UNIT, Holder('third', 3, '', chain))
        assert set(loaded.jobs) == {'a'}

    run_virtual(run)


def test_garbage_is_collected_once_unreferenced(run_virtual):
    async def run():
        table, objects = FakeTable(), FakeObjects()
        old = await open_store(table, objects, 'old')
        await old.commit_row(1, [make_record('a')])
        await old.publish(1, b'[]', [])
        await old.close()
        new = await open_store(table, objects, 'new')
        referencing = Ownership(
            {UNIT: Holder('new', 2, '', (Source('old', 1),))}
        )
        await new.write_ownership(referencing, 0, [])
        assert await collect_garbage(table, objects) == 0
        version = (await read_membership(table)).ownership_version
        trimmed = Ownership({UNIT: Holder('new', 2)}, 'y')
        await new.write_ownership(trimmed, version, [])
        assert await collect_garbage(table, objects) == 1
        assert not [key for key in table.rows if 'old' in key]
        assert not objects.bodies

    run_virtual(run)
