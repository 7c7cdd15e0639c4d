"""Jobs, as callers send them, with figures that no job has.

One job could end every instance in turn: with an estimate of 1e308 ms, or
10 to the 400th processors, the owner's sums left what a float holds, its
process ended, and the next owner met the same job. Other jobs were accepted
and then refused by their owner, which reads less than the callers' side
took, so that nobody ran them.
"""

import json

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from fleet_of_schedulers import JOB, QUEUE, make_request, open_fleet
from tulippin.codec_json import encode
from tulippin.exceptions import InputError
from tulippin.jobs._rows import read_record
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import JobRecord
from tulippin.jobs.types import JobState
from tulippin.platform.callers import decode_job
from tulippin.platform.feeds import decode_configuration

SOUND = '00000000000000bb'
HUGE = 10**400
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
FIGURES = (-HUGE, -(2**63), -1, 0, 1, 0.4, 0.5, 2**31, 2**63, 1e15, 1e308, HUGE)


def make_body(step=(), **schedule):
    first = {'Count': 1, 'Cpu': 1000, 'MemMb': 100, **dict(step)}
    body = {'Spec': '{"run_ms":100}', 'Steps': [first], **schedule}
    return json.dumps(body).encode()


def read(body):
    """Return the job as its owner reads it; nothing if it is refused."""
    try:
        request = decode_job(body)
    except InputError:
        return None
    row = StoredRow('jobs0', 'j0', JOB, encode(JobRecord(QUEUE, request)), 1)
    record = read_record(row, JobRecord)
    assert record is not None, 'accepted, and refused by its owner'
    assert record.request == request
    return request


BODIES = st.builds(
    lambda step, schedule: make_body(step, **schedule),
    st.dictionaries(st.sampled_from(FIELDS), st.sampled_from(FIGURES)),
    st.dictionaries(st.sampled_from(TIMES), st.sampled_from(FIGURES)),
)


@settings(max_examples=500)
@given(BODIES)
def test_what_is_accepted_is_read_by_its_owner(body):
    read(body)


@pytest.mark.parametrize('nested', [b'[' * 60_000, b'{"a":' * 60_000])
def test_deeply_nested_job_is_refused(nested):
    with pytest.raises(InputError):
        decode_job(b'{"Spec":"","Steps":[],"x":' + nested)


@pytest.mark.parametrize('field', ['target_ms', 'EstimatedMs'])
def test_time_below_one_is_not_none(field):
    """A target of 0 is no target, and an estimate of 0 none."""
    request = read(make_body({field: 0.4}))
    step = request.steps[0]
    assert (step.target_ms, step.estimated_ms).count(1) == 1


@pytest.mark.parametrize('field', FIELDS)
@pytest.mark.parametrize('figure', [-1, -HUGE, HUGE, 1e308])
def test_figure_of_no_job_is_refused_and_named(field, figure):
    with pytest.raises(InputError) as caught:
        decode_job(make_body({field: figure}))
    places = [one.place for one in caught.value.findings]
    # What is no number at all of its kind is refused before the bounds.
    is_named = places == [f'Steps[0].{field}']
    assert is_named or 'Steps[' in caught.value.message


@pytest.mark.parametrize('field', TIMES)
@pytest.mark.parametrize('figure', [-1, -HUGE, HUGE])
def test_time_of_no_schedule_is_refused_and_named(field, figure):
    with pytest.raises(InputError) as caught:
        decode_job(make_body(**{field: figure}))
    assert [one.place for one in caught.value.findings] == [field]


async def meet(record_value):
    """Have an owner meet a job's row; return whether a sound one is done."""
    async with open_fleet(2) as fleet:
        await fleet.wait_owner()
        store = fleet.platform.store
        store.write('homes', '', JOB, b'{"unit":0}')
        store.write('jobs0', '', JOB, record_value)
        request = make_request(run_ms=100)
        await fleet.submit(SOUND, request)
        with trio.move_on_after(10):
            while True:
                intake = next(iter(fleet.instances.values())).intake
                state = await intake.get_state(SOUND)
                if state is JobState.COMPLETED:
                    return True
                await trio.sleep(0.2)
    return False


ODD_STEPS = {
    'estimate': {'EstimatedMs': 1e308},
    'estimate and processors': {'EstimatedMs': 1e300, 'Cpu': 10**9},
    'processors': {'Cpu': HUGE},
    'processors of a long-running task': {'Cpu': HUGE, 'LongRunning': True},
    'processors of an opportunistic task': {'Cpu': HUGE, 'fills': True},
    'memory': {'MemMb': HUGE},
    'target': {'target_ms': 1e308, 'LongRunning': True},
    'negative target': {'target_ms': -1, 'LongRunning': True},
}


@pytest.mark.parametrize('name', sorted(ODD_STEPS))
def test_odd_job_of_another_writer_ends_no_owner(run_virtual, name):
    """A row may be older than the check, or another writer's."""
    step = {
        'task_count': 2,
        'size': {'cpu_millicores': 1000, 'memory_mb': 100},
    }
    odd = ODD_STEPS[name]
    step['size']['cpu_millicores'] = odd.get('Cpu', 1000)
    step['size']['memory_mb'] = odd.get('MemMb', 100)
    step['estimated_ms'] = int(odd.get('EstimatedMs', 0))
    step['target_ms'] = int(odd.get('target_ms', 0))
    step['long_running'] = odd.get('LongRunning', False)
    step['opportunistic'] = odd.get('fills', False)
    value = json.loads(encode(JobRecord(QUEUE, make_request())))
    value['request']['steps'] = [step]
    assert run_virtual(meet, json.dumps(value).encode())


@pytest.mark.parametrize('target', [HUGE, -HUGE])
def test_queue_of_another_writer_ends_no_owner(run_virtual, target):
    value = json.loads(encode(JobRecord(QUEUE, make_request())))
    value['queue']['target_latency_ms'] = target
    assert run_virtual(meet, json.dumps(value).encode())


@pytest.mark.parametrize('target', [0, 500, 1e15, 1e300, 1.7e308])
def test_job_of_any_configured_queue_is_read_by_its_owner(target):
    """What the operators configure must not hide what callers hand in."""
    route = {'Name': 'q', 'Host': 'h', 'PathPrefix': '/', 'Service': 's'}
    route['TargetLatencyMs'] = target
    body = json.dumps({'Version': 1, 'Routes': [route]}).encode()
    (queue,) = decode_configuration(body).queues
    row = StoredRow(
        'jobs0', 'j0', JOB, encode(JobRecord(queue, make_request())), 1
    )
    assert read_record(row, JobRecord).queue == queue
