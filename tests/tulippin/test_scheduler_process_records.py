"""Process records of an instance on the stand-in of the store.

Guards against restarts that leave no trace: without these records a log shows
`started` after `started`, and neither tells a kill from an internal error nor
shows that an instance restarts every few seconds.
"""

import attrs
import logbook
import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from tulippin.codec_json import encode
from tulippin.jobs._rows import read_record
from tulippin.jobs.ports import StoredRow
from tulippin.platform.standin_store import CALL_TIMEOUT_S, StandinStore
from tulippin.scheduler_process_records import (
    PROCESS_RECORDS_TABLE,
    ProcessEnd,
    ProcessRecord,
    ProcessRecorder,
    get_record_key,
    get_record_part,
)

INSTANCE = 'edge-1'
BEGAN_MS = 1_700_000_000_000


@attrs.define
class Site:
    """A store, a wall clock, and the processes of an instance."""

    store: StandinStore = attrs.field(factory=StandinStore)
    wall_ms: int = BEGAN_MS
    process_count: int = 0

    def read_wall_ms(self):
        return self.wall_ms

    def make_recorder(self, instance_id=INSTANCE):
        self.process_count += 1
        return ProcessRecorder(
            self.store.get_view(instance_id),
            instance_id,
            f'{instance_id}:{self.process_count}',
            self.read_wall_ms,
        )

    async def begin(self, instance_id=INSTANCE):
        recorder = self.make_recorder(instance_id)
        await recorder.begin()
        return recorder

    async def run_process(self, for_ms, error=None):
        """Run a process that ends by an error or by a planned stop."""
        recorder = await self.begin()
        self.wall_ms += for_ms
        if error is None:
            await recorder.end_planned()
        else:
            await recorder.end_failed(error)

    async def run_and_kill(self, for_ms):
        await self.begin()
        self.wall_ms += for_ms

    def get_row(self, instance_id=INSTANCE):
        key = get_record_key(instance_id)
        row_key = (PROCESS_RECORDS_TABLE, get_record_part(instance_id), key)
        return self.store.rows.get(row_key)

    def read(self):
        return read_record(self.get_row(), ProcessRecord)


@attrs.define
class SlowReading:
    """Store that delays reads until `may_answer` is set."""

    store: object
    may_answer: trio.Event = attrs.field(factory=trio.Event)

    async def read_rows(self, *arguments):
        await self.may_answer.wait()
        return await self.store.read_rows(*arguments)

    async def transact(self, transaction):
        return await self.store.transact(transaction)


def divide(by):
    return 1 / by


def make_error():
    with pytest.raises(ZeroDivisionError) as caught:
        divide(0)
    return caught.value


@pytest.fixture
def run(run_virtual):
    """Return a function that runs a scenario and returns its log records."""

    def run_with_site(function):
        with logbook.TestHandler() as handler:
            run_virtual(function, Site())
        return handler.records

    return run_with_site


def list_logged(records):
    return [one.kwargs for one in records if one.message == 'last life']


def test_first_process_has_no_predecessor(run):
    async def scenario(site):
        recorder = await site.begin()
        assert recorder.last.end is ProcessEnd.NONE
        assert recorder.failed_starts == 0

    (logged,) = list_logged(run(scenario))
    assert logged['end'] == 'none'


def test_planned_stop_is_logged_with_duration(run):
    async def scenario(site):
        await site.run_process(60_000)
        await site.begin()

    logged = list_logged(run(scenario))[-1]
    assert logged['end'] == 'planned'
    assert logged['lasted_ms'] == 60_000
    assert logged['failed_starts'] == 0


def test_failure_is_logged_with_cause_and_place(run):
    async def scenario(site):
        await site.run_process(60_000, make_error())
        await site.begin()

    logged = list_logged(run(scenario))[-1]
    assert logged['end'] == 'failed'
    assert logged['cause'] == "ZeroDivisionError('division by zero')"
    assert logged['place'].endswith('divide')
    assert logged['last_session'] == 'edge-1:1'
    # It ran for long enough, so that it doesn't count as a failed start.
    assert logged['failed_starts'] == 0


def test_kill_is_logged_as_unknown_with_maximum_duration(run):
    async def scenario(site):
        await site.run_and_kill(3000)
        await site.begin()

    logged = list_logged(run(scenario))[-1]
    assert logged['end'] == 'unknown'
    assert logged['lasted_ms'] == 3000
    assert logged['failed_starts'] == 1


def test_third_failed_start_in_a_row_begins_without_advice(run):
    async def scenario(site):
        for is_without in (False, False, False, True):
            recorder = site.make_recorder()
            await recorder.begin()
            assert recorder.decide_without_advice() is is_without
            site.wall_ms += 5000
            await recorder.end_failed(make_error())

    logged = list_logged(run(scenario))
    assert [one['failed_starts'] for one in logged] == [0, 1, 2, 3]
    assert [one['is_without_advice'] for one in logged] == [False] * 3 + [True]


@pytest.mark.parametrize('kind', ['planned', 'lasting', 'clock_set_back'])
def test_count_of_failed_starts_is_reset(run, kind):
    async def scenario(site):
        for _ in range(3):
            await site.run_process(5000, make_error())
        if kind == 'planned':
            await site.run_process(100)
        elif kind == 'lasting':
            await site.run_process(600_000, make_error())
        else:
            await site.run_process(-600_000, make_error())
        recorder = await site.begin()
        assert recorder.failed_starts == 0
        assert not recorder.decide_without_advice()

    run(scenario)


@pytest.mark.parametrize('fault', ['refused', 'silenced'])
def test_unavailable_store_does_not_end_the_process(run, fault):
    async def scenario(site):
        getattr(site.store.trouble, fault).add('*')
        recorder = site.make_recorder()
        await recorder.begin()
        assert recorder.read_finished.is_set()
        assert not recorder.decide_without_advice()
        await recorder.end_planned()

    records = run(scenario)
    reasons = [one for one in records if one.message == 'life not kept']
    assert len(reasons) == 2
    assert not list_logged(records)


def test_start_without_store_counts_once_store_answers(run):
    async def scenario(site):
        await site.run_process(5000, make_error())
        site.store.trouble.refused.add('*')
        recorder = await site.begin()
        site.store.trouble.refused.clear()
        site.wall_ms += 5000
        await recorder.end_failed(make_error())
        assert (await site.begin()).failed_starts == 2

    run(scenario)


@pytest.mark.plants_errors
def test_internal_error_is_logged_and_contained(run):
    async def scenario(site):
        recorder = site.make_recorder()
        recorder.store = None
        await recorder.begin()
        await recorder.end_planned()

    records = run(scenario)
    assert [one.message for one in records] == ['life not kept'] * 2
    assert all('AttributeError' in one.kwargs['cause'] for one in records)


def test_end_is_stored_after_lost_answer_of_first_write(run):
    async def scenario(site):
        site.store.trouble.lost_answer_share = 1.0
        recorder = await site.begin()
        site.store.trouble.lost_answer_share = 0.0
        await recorder.end_failed(make_error())
        assert site.read().end is ProcessEnd.FAILED

    run(scenario)


def test_stop_during_first_read_keeps_previous_process(run):
    """The stop comes while the first read is in progress."""

    async def scenario(site):
        await site.run_process(60_000)
        site.store.trouble.silenced.add('*')
        recorder = site.make_recorder()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(recorder.begin)
            await trio.sleep(CALL_TIMEOUT_S / 2)
            site.store.trouble.silenced.clear()
            await recorder.end_planned()
        assert recorder.last.last_session == 'edge-1:1'
        assert site.read().session_id == 'edge-1:2'
        assert site.read().end is ProcessEnd.PLANNED

    assert len(list_logged(run(scenario))) == 2


def test_read_after_the_end_is_ignored(run):
    async def scenario(site):
        await site.run_process(60_000)
        recorder = site.make_recorder()
        reading = SlowReading(recorder.store)
        recorder.store = reading
        async with trio.open_nursery() as nursery:
            nursery.start_soon(recorder.begin)
            await trio.sleep(0.1)
            await recorder.end_planned()
            reading.may_answer.set()
        assert recorder.last.last_session == 'edge-1:1'
        assert site.read().end is ProcessEnd.PLANNED

    assert len(list_logged(run(scenario))) == 2


def test_end_of_older_process_keeps_row_of_newer_one(run):
    """The next process starts while the previous one is stopping."""

    async def scenario(site):
        older = await site.begin()
        newer = await site.begin()
        await older.end_planned()
        assert site.read().session_id == 'edge-1:2'
        await newer.end_planned()
        assert site.read().end is ProcessEnd.PLANNED

    run(scenario)


def test_failure_during_a_planned_stop_is_a_failure(run):
    async def scenario(site):
        recorder = await site.begin()
        await recorder.end_planned()
        await recorder.end_failed(make_error())
        assert site.read().end is ProcessEnd.FAILED

    run(scenario)


def test_restart_storm_costs_one_read_and_one_write_each(run):
    async def scenario(site):
        names = [f'edge-{number}' for number in range(97)]
        site.store.trouble.write_duration_s = 0.3
        began_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(site.begin, name)
        assert site.store.call_count == 2 * len(names)
        # Writes of different instances aren't serialized.
        assert trio.current_time() - began_s < 0.5
        assert all(site.get_row(name) for name in names)

    run(scenario)


def test_long_ids_have_rows_of_their_own(run):
    async def scenario(site):
        names = ['x' * 3000 + end for end in 'ab']
        for name in names:
            await site.begin(name)
        rows = [site.get_row(name) for name in names]
        assert rows[0].key != rows[1].key
        assert max(len(row.key) for row in rows) <= 64
        recorder = await site.begin(names[0])
        assert recorder.last.end is ProcessEnd.UNKNOWN

    run(scenario)


INVALID_ROWS = (
    b'',
    b'[]',
    b'{"instance_id": 5}',
    encode(ProcessRecord('other', 'other:1', BEGAN_MS)),
    encode(ProcessRecord(INSTANCE, 's', BEGAN_MS, failed_starts=-1)),
    encode(ProcessRecord(INSTANCE, 's', -(10**30))),
    encode(ProcessRecord(INSTANCE, 's', 10**30)),
    encode(ProcessRecord(INSTANCE, 's', BEGAN_MS, cause='x' * 100_000)),
)


@pytest.mark.parametrize('value', INVALID_ROWS)
def test_invalid_row_is_logged_and_replaced(run, value):
    async def scenario(site):
        part = get_record_part(INSTANCE)
        site.store.write(
            PROCESS_RECORDS_TABLE, part, get_record_key(INSTANCE), value
        )
        recorder = await site.begin()
        assert recorder.last.end is ProcessEnd.NONE
        assert site.read().session_id == 'edge-1:1'

    records = run(scenario)
    assert [one.message for one in records].count('row unreadable') == 1


def test_foreign_row_after_the_start_is_not_replaced(run):
    async def scenario(site):
        recorder = await site.begin()
        part = get_record_part(INSTANCE)
        site.store.write(
            PROCESS_RECORDS_TABLE, part, get_record_key(INSTANCE), b'[]'
        )
        await recorder.end_planned()
        assert site.get_row().value == b'[]'

    assert run(scenario)[-1].message == 'life not kept'


def test_late_read_does_not_change_the_decision(run):
    async def scenario(site):
        for _ in range(3):
            await site.run_process(5000, make_error())
        site.store.trouble.silenced.add('*')
        recorder = site.make_recorder()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(recorder.begin)
            await trio.sleep(CALL_TIMEOUT_S / 3)
            assert not recorder.decide_without_advice()
        site.store.trouble.silenced.clear()
        later = site.make_recorder()
        assert not later.decide_without_advice()
        await later.begin()

    logged = list_logged(run(scenario))[-1]
    assert logged['failed_starts'] >= 3
    assert logged['is_without_advice'] is False


TIMES = st.integers(-(10**13), 10**13)


@given(
    st.text(max_size=2000),
    TIMES,
    TIMES,
    st.text(max_size=3000),
    st.integers(0, 5),
)
def test_written_records_are_valid(name, began_ms, lasted_ms, text, count):
    site = Site(wall_ms=began_ms)

    async def scenario():
        for _ in range(count):
            await site.begin(name)
        recorder = await site.begin(name)
        site.wall_ms += lasted_ms
        await recorder.end_failed(ValueError(text))

    with logbook.TestHandler() as handler:
        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    messages = [one.message for one in handler.records]
    assert 'row unreadable' not in messages
    assert 'life not kept' not in messages
    row = site.get_row(name)
    assert isinstance(row, StoredRow)
    assert read_record(row, ProcessRecord).end is ProcessEnd.FAILED
