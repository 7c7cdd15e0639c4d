"""Tests of jobs with figures that are out of range.

They guard against a job that ends every instance in turn: with an estimate of
1e308 ms or 10**400 processors, the owner's sums exceed the range of a float,
its process ends, and the next owner reads the same job. They also guard against
jobs that are accepted from callers and rejected by their owner, and so never
run.
"""

import json

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from scheduler_fleet import JOB, QUEUE, make_request, open_fleet
from tulippin.codec_json import encode
from tulippin.exceptions import InputError
from tulippin.jobs._rows import read_record
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import JobRecord
from tulippin.jobs.types import JobState
from tulippin.platform.callers import decode_job
from tulippin.platform.feeds import decode_configuration

HEALTHY = '00000000000000bb'
HUGE_FIGURE = 10**400
FIELDS = (
    'Count',
    'Cpu',
    'MemMb',
    'Gpus',
    'EstimatedMs',
    'AntiAffinity',
    'target_ms',
    'may_miss',
)
TIMES = ('StartAtMs', 'IntervalMs', 'RepeatCount')
BOUNDARY_FIGURES = (
    -HUGE_FIGURE,
    -(2**63),
    -1,
    0,
    1,
    0.4,
    0.5,
    2**31,
    2**63,
    1e15,
    1e308,
    HUGE_FIGURE,
)


def make_body(step=(), **schedule):
    first = {'Count': 1, 'Cpu': 1000, 'MemMb': 100, **dict(step)}
    body = {'Spec': '{"run_ms":100}', 'Steps': [first], **schedule}
    return json.dumps(body).encode()


def read(body):
    """Return a job as its owner reads it, or None if it isn't accepted."""
    try:
        request = decode_job(body)
    except InputError:
        return None
    row = StoredRow('jobs0', 'j0', JOB, encode(JobRecord(QUEUE, request)), 1)
    record = read_record(row, JobRecord)
    assert record is not None, 'accepted, but rejected by its owner'
    assert record.request == request
    return request


BODIES = st.builds(
    lambda step, schedule: make_body(step, **schedule),
    st.dictionaries(st.sampled_from(FIELDS), st.sampled_from(BOUNDARY_FIGURES)),
    st.dictionaries(st.sampled_from(TIMES), st.sampled_from(BOUNDARY_FIGURES)),
)


@settings(max_examples=500)
@given(BODIES)
def test_accepted_job_is_read_by_its_owner(body):
    read(body)


@pytest.mark.parametrize('nested', [b'[' * 60_000, b'{"a":' * 60_000])
def test_deeply_nested_job_is_rejected(nested):
    with pytest.raises(InputError):
        decode_job(b'{"Spec":"","Steps":[],"x":' + nested)


@pytest.mark.parametrize('field', ['target_ms', 'EstimatedMs'])
def test_time_below_one_is_rounded_up(field):
    """A time below 1 ms becomes 1, as 0 means no target or no estimate."""
    request = read(make_body({field: 0.4}))
    step = request.steps[0]
    assert (step.target_ms, step.estimated_ms).count(1) == 1


@pytest.mark.parametrize('field', FIELDS)
@pytest.mark.parametrize('figure', [-1, -HUGE_FIGURE, HUGE_FIGURE, 1e308])
def test_invalid_figure_is_rejected_and_named(field, figure):
    with pytest.raises(InputError) as caught:
        decode_job(make_body({field: figure}))
    field_paths = [finding.place for finding in caught.value.findings]
    # Values of the wrong type are rejected before the bounds are checked.
    is_named = field_paths == [f'Steps[0].{field}']
    assert is_named or 'Steps[' in caught.value.message


@pytest.mark.parametrize('field', TIMES)
@pytest.mark.parametrize('figure', [-1, -HUGE_FIGURE, HUGE_FIGURE])
def test_invalid_schedule_is_rejected_and_named(field, figure):
    with pytest.raises(InputError) as caught:
        decode_job(make_body(**{field: figure}))
    assert [each.place for each in caught.value.findings] == [field]


async def run_beside_row(record_value):
    """Let an owner read a job's row; return whether another job is done."""
    async with open_fleet(2) as fleet:
        await fleet.wait_owner()
        store = fleet.platform.store
        store.write('homes', '', JOB, b'{"unit":0}')
        store.write('jobs0', '', JOB, record_value)
        request = make_request(run_ms=100)
        await fleet.submit(HEALTHY, request)
        with trio.move_on_after(10):
            while True:
                intake = next(iter(fleet.instances.values())).intake
                state = await intake.get_state(HEALTHY)
                if state is JobState.COMPLETED:
                    return True
                await trio.sleep(0.2)
    return False


INVALID_STEPS = {
    'estimate': {'EstimatedMs': 1e308},
    'estimate and processors': {'EstimatedMs': 1e300, 'Cpu': 10**9},
    'processors': {'Cpu': HUGE_FIGURE},
    'processors of a long-running task': {
        'Cpu': HUGE_FIGURE,
        'LongRunning': True,
    },
    'processors of an opportunistic task': {'Cpu': HUGE_FIGURE, 'fills': True},
    'memory': {'MemMb': HUGE_FIGURE},
    'target': {'target_ms': 1e308, 'LongRunning': True},
    'negative target': {'target_ms': -1, 'LongRunning': True},
}


@pytest.mark.parametrize('name', sorted(INVALID_STEPS))
def test_invalid_stored_job_ends_no_owner(run_virtual, name):
    """A row may be older than the check, or have another writer."""
    step = {
        'task_count': 2,
        'size': {'cpu_millicores': 1000, 'memory_mb': 100},
    }
    fields = INVALID_STEPS[name]
    step['size']['cpu_millicores'] = fields.get('Cpu', 1000)
    step['size']['memory_mb'] = fields.get('MemMb', 100)
    step['estimated_ms'] = int(fields.get('EstimatedMs', 0))
    step['target_ms'] = int(fields.get('target_ms', 0))
    step['long_running'] = fields.get('LongRunning', False)
    step['opportunistic'] = fields.get('fills', False)
    value = json.loads(encode(JobRecord(QUEUE, make_request())))
    value['request']['steps'] = [step]
    assert run_virtual(run_beside_row, json.dumps(value).encode())


@pytest.mark.parametrize('target', [HUGE_FIGURE, -HUGE_FIGURE])
def test_invalid_stored_queue_ends_no_owner(run_virtual, target):
    value = json.loads(encode(JobRecord(QUEUE, make_request())))
    value['queue']['target_latency_ms'] = target
    assert run_virtual(run_beside_row, json.dumps(value).encode())


@pytest.mark.parametrize('target', [0, 500, 1e15, 1e300, 1.7e308])
def test_job_of_any_configured_queue_is_readable(target):
    """No configured value may make a submitted job unreadable."""
    route = {'Name': 'q', 'Host': 'h', 'PathPrefix': '/', 'Service': 's'}
    route['TargetLatencyMs'] = target
    body = json.dumps({'Version': 1, 'Routes': [route]}).encode()
    (queue,) = decode_configuration(body).queues
    row = StoredRow(
        'jobs0', 'j0', JOB, encode(JobRecord(queue, make_request())), 1
    )
    assert read_record(row, JobRecord).queue == queue
