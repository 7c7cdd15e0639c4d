"""Folding a journal gives the same jobs, however it is cut."""

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
    found = [records.JobAccepted(SPEC, 'digest')]
    for step in plan:
        if step[0] == 'assign':
            found.append(records.TaskAssigned('job', step[1], 1, 'cell/a', 1))
        elif step[0] == 'return':
            found.append(records.TaskReturned('job', step[1], 1, step[2], 'c'))
        elif step[0] == 'cancel':
            found.append(records.JobCancelled('job'))
        elif step[0] == 'open':
            found.append(records.RequestOpened(f'r{step[1]}', 'd', 1))
        else:
            found.append(records.RequestClosed(f'r{step[1]}', step[2], 200))
    return found


def fold(ledger, found):
    for record in found:
        apply(record, ledger)
    return ledger


@given(steps, st.integers(0, 31))
def test_snapshot_and_rest_equal_the_whole(plan, cut):
    found = make_records(plan)
    whole = fold(RangeLedger(), found)
    body = codec.encode(fold(RangeLedger(), found[:cut]))
    part = codec.decode_ledger(range_unit(0), body)
    assert fold(part, found[cut:]) == whole


@given(steps)
def test_every_task_is_counted_once(plan):
    job = fold(RangeLedger(), make_records(plan)).jobs['job']
    counted = job.done_count + job.failed_count + job.cancelled_count
    fresh = job.spec.task_count - job.fresh_index
    assert counted + fresh + len(job.tasks) <= job.spec.task_count
    assert job.done_count <= job.spec.task_count


@given(steps)
def test_rows_survive_the_codec(plan):
    found = tuple(
        records.UnitRecord(range_unit(0), 1, record)
        for record in make_records(plan)
    )
    assert codec.decode_records(codec.encode_records(found)) == found


def test_not_run_lets_an_id_be_used_again():
    ledger = RangeLedger()
    apply(records.RequestOpened('r', 'd', 1), ledger)
    apply(records.RequestClosed('r', OutcomeKind.NOT_RUN), ledger)
    assert not ledger.requests
