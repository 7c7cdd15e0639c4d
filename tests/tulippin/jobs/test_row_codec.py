"""Values of rows stay within the limit of the store, and are read back."""

import random
import zlib

import attrs
import pytest
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from scheduler_fleet import JOB, make_request, open_fleet
from tulippin.codec_json import encode
from tulippin.exceptions import InputError
from tulippin.jobs._packed_progress import PackedProgress, pack, unpack
from tulippin.jobs._row_codec import decode_row, encode_row
from tulippin.jobs._task_limits import MAX_GANG_TASKS, MAX_JOB_TASKS
from tulippin.jobs.intake import _encode_job
from tulippin.jobs.ports import MAX_ROW_BYTES
from tulippin.jobs.records import (
    CrashRecord,
    GuestRecord,
    JobRecord,
    MovedJobRecord,
    ProgressRecord,
)
from tulippin.jobs.types import JobRequest, JobState, Queue, Step
from tulippin.types import Resources

RUN = 7 * 65_536
QUEUE = Queue('q', 'h', '/q/', 's', 0, 3, 2.0, 500)


def make_crash(source, number=0, **options):
    return CrashRecord(
        f'worker-{number}',
        f'10.0.{number}.1:8080',
        f'machine-{number}',
        RUN + source.randrange(3),
        source.randrange(5000),
        1_764_000_000_000 + number,
        born_ms=1_763_999_000_000 + number,
        **options,
    )


def make_progress(steps, tasks, seed=0):
    """Return progress whose tasks are lost in one crash, done or started."""
    source = random.Random(seed)
    names = [
        f'0.{step}.{index}' for step in range(steps) for index in range(tasks)
    ]
    lost = [name for name in names if source.random() < 0.9]
    failed = [name for name in names if source.random() < 0.1]
    return ProgressRecord(
        JobState.RUNNING,
        {
            f'0.{step}': f'{source.getrandbits(tasks):x}'
            for step in range(steps)
        },
        failures={name: [RUN, RUN + 1] for name in failed},
        avoided={name: ['worker-3'] for name in failed},
        crashes={name: (make_crash(source),) for name in lost},
        started={
            name: (RUN + source.randrange(3), f'worker-{source.randrange(8)}')
            for name in names
        },
    )


@pytest.mark.parametrize(
    ('steps', 'tasks'), [(5, 160), (5, 1000)], ids=['800', '5000']
)
def test_progress_of_a_job_lost_in_one_crash_is_kept_whole(steps, tasks):
    record = make_progress(steps, tasks)
    assert len(encode(record)) > MAX_ROW_BYTES
    value = encode_row(record)
    assert len(value) <= MAX_ROW_BYTES
    assert decode_row(value, ProgressRecord) == record


def test_all_parts_of_packed_progress_are_read_back():
    source = random.Random(1)
    crashes = tuple(
        make_crash(source, number, is_sure=number == 1) for number in range(3)
    )
    record = ProgressRecord(
        JobState.FAILED,
        {'0.0': 'ff', '1.0': 'ff', '2.0': 'f0', '10.0': 'ff', '0.1': '1'},
        {'0.0.3': [RUN], '0.0.12': [RUN, RUN + 1], '1.1.0': [RUN]},
        {'0.0.5': (1, 2, RUN), '0.0.4': (1, 2, RUN)},
        {'0.0.3': ['a', 'b'], '0.0.12': []},
        {'0.0.3': crashes, '1.0.3': crashes[::-1], '0.0.0': crashes[1:]},
        {'0.0.3': (RUN, 'a'), '0.1.4': (RUN, 'a'), '0.0.1': (RUN, 'b')},
        'reason',
        {'0.0.3': ('a', 'b'), '0.0.4': ()},
        {'0.0': '1'},
        2,
        3,
        ((0, 0, 40, 'ff'), (1, 0, 40, '1')),
    )
    assert all(
        getattr(record, field.name) != field.default
        for field in attrs.fields(ProgressRecord)
    )
    assert unpack(pack(record)) == record


def test_unknown_places_and_begun_tasks_stay_unknown():
    record = ProgressRecord(JobState.RUNNING)
    assert unpack(pack(record)) == record


def test_steps_of_a_job_that_repeats_for_a_year_are_kept():
    count = 525_600
    done = {f'{number}.0': 'f' for number in range(count)}
    record = ProgressRecord(JobState.RUNNING, done | {f'{count}.0': '3'})
    value = encode_row(record)
    assert len(value) <= MAX_ROW_BYTES
    assert decode_row(value, ProgressRecord) == record


def test_row_that_fits_is_written_in_the_plain_form():
    """Earlier versions read it."""
    record = make_progress(1, 100)
    assert encode_row(record) == encode(record)
    assert decode_row(encode(record), ProgressRecord) == record


def test_large_rows_of_other_records_are_compressed():
    source = random.Random(2)
    names = [f'0.0.{index}' for index in range(1000)]
    record = GuestRecord(
        QUEUE,
        JobRequest('', (Step(1000, Resources(1, 1), long_running=True),)),
        dict.fromkeys(names, 1),
        dict.fromkeys(names, RUN),
        tuple(names),
        {name: (make_crash(source),) for name in names},
    )
    value = encode_row(record)
    assert len(value) <= MAX_ROW_BYTES
    assert decode_row(value, GuestRecord) == record


@pytest.mark.parametrize(
    'value',
    [
        b'x',
        b'xxxx',
        zlib.compress(b'{'),
        zlib.compress(b'{}'),
        zlib.compress(encode(PackedProgress(JobState.RUNNING)))[:-3],
        zlib.compress(b' ' * 20_000_000),
        zlib.compress(b'{"state":"running","done":[[0,0,99999999999,"f"]]}'),
        zlib.compress(
            encode(
                PackedProgress(
                    JobState.RUNNING,
                    crashes=(
                        (
                            make_crash(random.Random(0)),
                            {'0.0': ((1,), (1, 2), (1,), (0,))},
                        ),
                    ),
                )
            )
        ),
        zlib.compress(
            encode(
                PackedProgress(
                    JobState.RUNNING,
                    crashes=((make_crash(random.Random(0)), {'0.0': ()}),),
                )
            )
        ),
    ],
)
def test_malformed_compressed_row_is_an_input_error(value):
    with pytest.raises(InputError):
        decode_row(value, ProgressRecord)


def get_largest_progress_bytes(fleet):
    return max(
        len(row.value)
        for (table, _, _), row in fleet.platform.store.rows.items()
        if table == 'progress0'
    )


def test_job_whose_tasks_are_lost_in_one_crash_goes_on(run_virtual):
    """Guards against a unit that stops for good after the crash."""

    async def run():
        async with open_fleet(workers=3, instances=2) as fleet:
            steps = [Step(160, Resources(10, 10))] * 5
            await fleet.submit(request=make_request(*steps, run_ms=9000))
            await fleet.wait_running(500)
            busiest = max(
                fleet.platform.workers.values(),
                key=lambda worker: len(worker.runs),
            )
            busiest.crash()
            await trio.sleep(2)
            await fleet.submit('00000000000000bb')
            await fleet.wait_done('00000000000000bb', limit_s=5)
            assert get_largest_progress_bytes(fleet) <= MAX_ROW_BYTES
            fleet.kill_owner()
            await fleet.wait_owner()
            await fleet.wait_state(JOB, JobState.RUNNING)
            starts = fleet.count_starts()
            await trio.sleep(15)
            assert fleet.count_starts() > starts
            fleet.check()

    run_virtual(run)


@attrs.frozen
class History:
    """Shares of a job's tasks to which something has happened."""

    workers: int
    crashed: float
    crashes: int
    started: float
    failed: float
    runs: int
    passed: float
    assigned: float
    done: float


shares = st.sampled_from([0.0, 0.01, 0.3, 1.0])
histories = st.builds(
    History,
    st.integers(1, 200),
    shares,
    st.integers(1, 3),
    shares,
    shares,
    st.integers(1, 4),
    st.sampled_from([0.0, 0.01, 0.1]),
    shares,
    shares,
)


def make_history(sizes, occurrences, history, source):
    """Return progress of a job of some steps after a history."""
    last = occurrences - 1
    names = [
        f'{last}.{step}.{index}'
        for step, size in enumerate(sizes)
        for index in range(size)
    ]
    ids = [f'worker-{number}' for number in range(history.workers)]

    def choose(share):
        return [name for name in names if source.random() < share]

    def draw_bits(size):
        bits = sum(
            1 << index
            for index in range(size)
            if source.random() < history.done
        )
        return f'{bits:x}'

    done = {
        f'{number}.{step}': f'{(1 << size) - 1:x}'
        for number in range(last)
        for step, size in enumerate(sizes)
    }
    for step, size in enumerate(sizes):
        done[f'{last}.{step}'] = draw_bits(size)
    failed = choose(history.failed)
    return ProgressRecord(
        JobState.RUNNING,
        done,
        {name: [RUN + run for run in range(history.runs)] for name in failed},
        {
            name: (source.randrange(9), 1, RUN + source.randrange(4))
            for name in choose(history.passed)
        },
        {name: sorted(source.choices(ids, k=2)) for name in failed},
        {
            name: tuple(
                make_crash(source, source.randrange(history.workers))
                for _ in range(history.crashes)
            )
            for name in choose(history.crashed)
        },
        {
            name: (RUN + source.randrange(4), source.choice(ids))
            for name in choose(history.started)
        },
        places={
            name: (source.choice(ids),) for name in choose(history.assigned)
        },
        begun={f'{last}.0': draw_bits(sizes[0])},
    )


# Tasks up to which rows are checked.
MAX_ENCODED_TASKS = 100_000


def test_rows_are_checked_for_all_jobs_that_are_accepted():
    assert MAX_JOB_TASKS <= MAX_ENCODED_TASKS


@settings(max_examples=60)
@given(
    st.lists(st.integers(1, 2000), min_size=1, max_size=5),
    st.sampled_from([1, 2, 500]),
    histories,
    st.integers(0, 2**32),
)
@example([20_000] * 5, 1, History(200, 1, 1, 1, 1, 2, 0.1, 1, 0.5), 0)
def test_progress_after_any_history_is_kept_within_the_limit(
    sizes, occurrences, history, seed
):
    assert sum(sizes) <= MAX_ENCODED_TASKS
    record = make_history(sizes, occurrences, history, random.Random(seed))
    value = encode_row(record)
    assert len(value) <= MAX_ROW_BYTES
    kept = decode_row(value, ProgressRecord)
    assert (kept.state, kept.done, kept.passed) == (
        record.state,
        record.done,
        record.passed,
    )
    for field in attrs.fields(ProgressRecord):
        part = getattr(kept, field.name)
        assert part == getattr(record, field.name) or not part


@settings(max_examples=30)
@given(
    st.lists(st.integers(1, 400), min_size=1, max_size=5),
    st.integers(1, 50),
    st.integers(0, 2**32),
)
def test_progress_of_up_to_two_thousand_tasks_is_kept_whole(
    sizes, workers, seed
):
    """All tasks have a crash, a start, a failure and a place."""
    history = History(workers, 1, 1, 1, 1, 2, 0.1, 1, 0.5)
    record = make_history(sizes, 1, history, random.Random(seed))
    value = encode_row(record)
    assert len(value) <= MAX_ROW_BYTES
    assert decode_row(value, ProgressRecord) == record


# Guards against jobs that are failed as they move, for the size of their row.
@pytest.mark.parametrize('tasks', [500, MAX_JOB_TASKS])
def test_job_that_moves_with_much_progress_fits_a_row(tasks):
    history = History(200, 1, 1, 0, 1, 2, 0, 0, 0.5)
    progress = make_history([tasks], 1, history, random.Random(0))
    record = JobRecord(
        QUEUE,
        make_request(Step(tasks, Resources(10, 10))),
        moved=MovedJobRecord(progress, 0, (1,), {}),
    )
    value = encode_row(record)
    assert len(value) <= MAX_ROW_BYTES
    kept = decode_row(value, JobRecord).moved.progress
    assert (kept.state, kept.done) == (progress.state, progress.done)
    for field in attrs.fields(ProgressRecord):
        part = getattr(kept, field.name)
        assert part == getattr(progress, field.name) or not part


def make_varied_request(count, seed):
    """Return a job of steps whose images can hardly be compressed."""
    source = random.Random(seed)
    return JobRequest(
        '',
        tuple(
            Step(1, Resources(10, 10), image=source.randbytes(16).hex())
            for _ in range(count)
        ),
    )


@pytest.mark.parametrize(
    ('request_', 'limit'),
    [
        (
            make_request(
                *[Step(MAX_JOB_TASKS // 2 + 1, Resources(10, 10))] * 2
            ),
            MAX_JOB_TASKS,
        ),
        (
            make_request(
                Step(MAX_GANG_TASKS + 1, Resources(10, 10), gang=True)
            ),
            MAX_GANG_TASKS,
        ),
        (make_varied_request(5000, 0), MAX_ROW_BYTES),
    ],
    ids=['tasks', 'gang', 'bytes'],
)
def test_job_that_is_too_large_is_refused_at_the_door(
    run_virtual, request_, limit
):
    async def run():
        async with open_fleet(instances=1) as fleet:
            with pytest.raises(InputError, match=f'at most {limit}') as caught:
                await fleet.submit(request=request_)
            assert caught.value.code == 'job_too_large'
            assert not any(
                key == JOB for _, _, key in fleet.platform.store.rows
            )

    run_virtual(run)


@settings(max_examples=20)
@given(st.integers(1, 6000), st.integers(0, 2**32))
def test_job_is_kept_or_refused_at_the_door_by_its_size(count, seed):
    record = JobRecord(QUEUE, make_varied_request(count, seed))
    if len(encode_row(record)) > MAX_ROW_BYTES:
        with pytest.raises(InputError, match=f'at most {MAX_ROW_BYTES}'):
            _encode_job(record)
        return
    value = _encode_job(record)
    assert len(value) <= MAX_ROW_BYTES
    assert decode_row(value, JobRecord) == record
