"""Tests of replaying journal records into ledgers.

A snapshot followed by the remaining records must give the same ledger as
all records, wherever the snapshot was taken.
"""

from hypothesis import given
from hypothesis import strategies as st

from tulippin import codec, records
from tulippin.ledger import RangeLedger, apply
from tulippin.types import JobSpec, OutcomeKind, TaskOutcome, range_unit

SPEC = JobSpec('job', 'team', task_count=3, max_failures=2)
outcomes = st.sampled_from(list(TaskOutcome))
indexes = st.integers(0, 2)
kinds = st.sampled_from(list(OutcomeKind))
steps = st.lists(
    st.one_of(
        st.tuples(st.just('assign'), indexes),
        st.tuples(st.just('return'), indexes, outcomes),
        st.tuples(st.just('cancel')),
        st.tuples(st.just('open'), indexes),
        st.tuples(
            st.just('close'), indexes, st.sampled_from(list(OutcomeKind))
        ),
    ),
    max_size=30,
)


def make_records(plan):
    journal = [records.JobAccepted(SPEC, 'digest')]
    for step in plan:
        if step[0] == 'assign':
            journal.append(records.TaskAssigned('job', step[1], 1, 'cell/a', 1))
        elif step[0] == 'return':
            journal.append(
                records.TaskReturned('job', step[1], 1, step[2], 'c')
            )
        elif step[0] == 'cancel':
            journal.append(records.JobCancelled('job'))
        elif step[0] == 'open':
            journal.append(records.RequestOpened(f'r{step[1]}', 'd', 1))
        else:
            journal.append(records.RequestClosed(f'r{step[1]}', step[2], 200))
    return journal


def replay(ledger, journal):
    for record in journal:
        apply(record, ledger)
    return ledger


@given(steps, st.integers(0, 31))
def test_snapshot_and_remaining_records_equal_full_replay(plan, cut):
    journal = make_records(plan)
    expected = replay(RangeLedger(), journal)
    body = codec.encode(replay(RangeLedger(), journal[:cut]))
    restored = codec.decode_ledger(range_unit(0), body)
    assert replay(restored, journal[cut:]) == expected


@given(steps)
def test_every_task_is_counted_once(plan):
    job = replay(RangeLedger(), make_records(plan)).jobs['job']
    counted = job.done_count + job.failed_count + job.cancelled_count
    fresh = job.spec.task_count - job.fresh_index
    assert counted + fresh + len(job.tasks) <= job.spec.task_count
    assert job.done_count <= job.spec.task_count


@given(steps)
def test_records_survive_an_encoding_round_trip(plan):
    journal = tuple(
        records.UnitRecord(range_unit(0), 1, record)
        for record in make_records(plan)
    )
    assert codec.decode_records(codec.encode_records(journal)) == journal


def test_request_that_did_not_run_frees_its_id():
    ledger = RangeLedger()
    apply(records.RequestOpened('r', 'd', 1), ledger)
    apply(records.RequestClosed('r', OutcomeKind.NOT_RUN), ledger)
    assert not ledger.requests
