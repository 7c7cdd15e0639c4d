"""Each checker reports a history that breaks its promise."""

import pytest

from tulippin.history import CHECKERS, History, check_history
from tulippin.types import Resources

WORKER = (
    'worker',
    {
        'worker_id': 'w',
        'capacity': Resources(2000, 2000),
        'slot_count': 1,
    },
)


def began(worker='w', task='job/0', attempt=1, cpu=1000, resumed=0):
    return (
        'task_began',
        {
            'worker_id': worker,
            'task_id': task,
            'attempt': attempt,
            'size': Resources(cpu, 10),
            'resumed_ms': resumed,
            'service': False,
        },
    )


def ended(worker='w', task='job/0', attempt=1, state='done', checkpoint=0):
    return (
        'task_ended',
        {
            'worker_id': worker,
            'task_id': task,
            'attempt': attempt,
            'state': state,
            'checkpoint_ms': checkpoint,
        },
    )


def ran(request='r', worker='w', busy=1):
    return (
        'request_ran',
        {
            'worker_id': worker,
            'request_id': request,
            'busy_slots': busy,
            'leaving': False,
        },
    )


def sent(request='r', repeatable=False):
    return ('caller_sent', {'request_id': request, 'repeatable': repeatable})


def answered(outcome='answered', body='x', request='r', instance='i#0'):
    return (
        'caller_answered',
        {
            'request_id': request,
            'instance_id': instance,
            'outcome': outcome,
            'code': '',
            'body': body,
            'expected': 'x',
        },
    )


def taken(number, process='i#0'):
    return ('bundle_taken', {'process': process, 'number': number})


BROKEN = [
    ('capacity', [WORKER, began(cpu=1500), began(task='job/1', cpu=1500)]),
    ('capacity', [WORKER, ran(busy=2)]),
    ('single_place', [WORKER, began(), began(worker='v', attempt=2)]),
    ('resume_once', [began(), ended(), began(attempt=2)]),
    (
        'resume_once',
        [began(), ended(state='lapsed'), began(worker='v')],
    ),
    (
        'resume_once',
        [began(), ended(state='stopped', checkpoint=7), began(attempt=2)],
    ),
    ('whole_answer', [sent(), answered(body='x of another')]),
    ('not_run', [sent(), ran(), answered('not_run')]),
    (
        'not_run',
        [
            began(),
            ('job_answered', {'job_id': 'job', 'outcome': 'not_run'}),
        ],
    ),
    ('at_most_once', [sent(), ran(), ran()]),
    (
        'leaving',
        [('endpoint_leaving', {'worker_id': 'w'}), *[None] * 40, ran()],
    ),
    (
        'planned_stop',
        [sent(), ('stop_began', {'instance_id': 'i#0'}), answered('cut')],
    ),
    ('bundle', [('instance_up', {'process': 'i#0'}), taken(2), taken(1)]),
    (
        'bundle',
        [
            ('instance_up', {'process': 'i#0'}),
            ('bundle_accepted', {'number': 1}),
            *[None] * 130,
            ('end', {}),
        ],
    ),
]

VALID = [
    [WORKER, began(), ended(), began(task='job/1'), ended(task='job/1')],
    [
        began(),
        ended(state='stopped', checkpoint=7),
        began(worker='v', attempt=2, resumed=7),
        ended(worker='v', attempt=2),
    ],
    [WORKER, sent(), ran(), answered()],
    [sent(), answered('not_run', body='')],
    [WORKER, sent(repeatable=True), ran(), ran(), answered()],
    [
        began(),
        ('worker_hidden', {'worker_id': 'w', 'until_ms': 900}),
        ended(),
        began(worker='v', attempt=2),
    ],
    [
        ('instance_up', {'process': 'i#0'}),
        ('bundle_accepted', {'number': 1}),
        taken(1),
        *[None] * 130,
        ('end', {}),
    ],
]


def make_history(steps):
    """Record steps 100 ms apart; ``None`` advances the time by 100 ms."""
    times = iter(range(0, 100000, 100))
    history = History(lambda: next(times))
    for step in steps:
        if step is None:
            next(times)
        else:
            history.note(step[0], **step[1])
    return history


@pytest.mark.parametrize(('promise', 'steps'), BROKEN)
def test_checker_reports_a_broken_history(promise, steps):
    violations = check_history(make_history(steps))
    assert {violation.promise for violation in violations} == {promise}


@pytest.mark.parametrize('steps', VALID)
def test_checkers_accept_a_valid_history(steps):
    assert not check_history(make_history(steps))


def test_every_promise_has_a_broken_history():
    assert {promise for promise, _ in BROKEN} == set(CHECKERS)
