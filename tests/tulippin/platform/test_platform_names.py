"""Only the platform package uses the platform's names; its bodies decode."""

import pathlib
import re

import pytest

from tulippin.jobs.types import RunOutcome
from tulippin.platform import feeds, wire, workers
from tulippin.platform.callers import decode_job
from tulippin.platform.store import PlatformStore
from tulippin.platform.wire import RowBody, RowsBody

SOURCES = pathlib.Path(feeds.__file__).parents[1]
NAMES = (
    'RunningCount',
    'EndedAt',
    'LastSeen',
    'ExpectedRevision',
    'rows-tx',
    'rows-get',
    'rows-feed',
    'run-start',
    'run-stop',
    'MaxHoldMs',
    'AfterRevision',
    'LongRunning',
    'AntiAffinity',
    'RepeatCount',
    'Expected-Instance',
    'WaitingCount',
    'MemMb',
    'EstimatedMs',
    'Checkpointing',
    'TargetVersion',
    'may_miss',
    'SeedLagS',
)
FORBIDDEN = re.compile('|'.join(NAMES))


def test_only_the_platform_package_uses_its_names():
    found = [
        f'{path.name}: {match.group()}'
        for path in SOURCES.rglob('*.py')
        if path.parent.name != 'platform'
        for match in FORBIDDEN.finditer(path.read_text())
    ]
    assert found == []


def test_job_decodes():
    request = decode_job(
        b'{"Spec":"s","RepeatCount":2,"StartAtMs":5,"IntervalMs":7,"Steps":['
        b'{"Count":4,"Cpu":500,"MemMb":256,"Gpus":1,"EstimatedMs":900,'
        b'"Affinity":"r1-3","Requirements":"a","AntiAffinity":2,'
        b'"AllowDuplicates":true,"image":"i","target_ms":50,"fills":true,'
        b'"may_miss":1,"Gang":true,"SameRack":true,"LongRunning":true},'
        b'{"Count":20,"AfterRevision":[0],"Checkpointing":true}]}'
    )
    first, second = request.steps
    assert first.size.accelerator_count == 1
    assert first.preferred_rack == 'r1-3'
    assert first.required_label == 'a'
    assert first.max_per_worker == 2
    assert first.max_unavailable == 1
    assert first.opportunistic
    assert first.gang
    assert first.same_rack
    assert first.long_running
    assert second.after == (0,)
    assert request.occurrence_count == 2
    assert request.schedule.interval_ms == 7


def test_configuration_decodes():
    configuration = feeds.decode_configuration(
        b'{"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/",'
        b'"Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":2500,'
        b'"Priority":2,"Service":"s","MaxAttempts":2,"Stretch":2.2,'
        b'"advice":{"decide_ms":1,"each_ms":1,"valid_ms":9}}],"Services":'
        b'[{"Name":"s","EnforcesCapacity":true,"Spare":false}],'
        b'"Limits":{"MaxBodyBytes":10,"MaxHeaderBytes":20}}'
    )
    queue = configuration.find_queue('h', '/a/0011')
    assert queue.advised
    assert queue.priority == 2
    assert configuration.max_body_bytes == 10
    assert configuration.max_header_bytes == 20
    assert configuration.services[0].enforces_capacity


def test_longest_prefix_wins():
    configuration = feeds.decode_configuration(
        b'{"Version":1,"Routes":['
        b'{"Name":"a","Host":"h","PathPrefix":"/a/","Service":"s"},'
        b'{"Name":"ab","Host":"h","PathPrefix":"/a/b/","Service":"s"}]}'
    )
    assert configuration.find_queue('h', '/a/b/1').name == 'ab'
    assert configuration.find_queue('h', '/a/1').name == 'a'
    assert configuration.find_queue('g', '/a/1') is None


def test_worker_decodes():
    entry = feeds.decode_worker(
        'i-1',
        b'{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1",'
        b'"Slots":8,"State":"draining","ColdRemainingMs":0,"Capacity":'
        b'{"Cpu":16000,"MemMb":32768},"Labels":["a","r1-3"],'
        b'"ClockMs":482113,"Sequence":4,"RemainingMs":900.5}',
    )
    assert entry.draining
    assert entry.rack == 'r1-3'
    assert entry.leaves_in_ms == 900
    assert entry.capacity.cpu_millicores == 16000


def test_report_rows_decode():
    running = workers._decode_running(['aa.0.1.17', 2, '0bb8', 41, 12])
    assert running.key.index == 17
    assert running.progress_percent == 41
    assert running.load == 12
    without = workers._decode_running(['aa.0.1.17', 2, '0bb8', 41])
    assert without.load is None
    ended = workers._decode_ended((58, 'aa.0.1.9', 1, 'done', ''))
    assert ended.outcome is RunOutcome.DONE


def test_empty_fields_are_left_out_of_an_order():
    body = wire.StartBody('t', 1, 's', 5, 7)
    text = wire.msgspec.json.encode(body)
    assert b'Checkpoint' not in text
    assert b'Ticket' not in text


@pytest.mark.parametrize('value', [b'', b'{', b'{"Version":"x"}'])
def test_invalid_configuration_is_an_error(value):
    with pytest.raises(wire.msgspec.DecodeError):
        feeds.decode_configuration(value)


async def test_read_of_several_pages_has_version_of_the_first():
    class Paged(PlatformStore):
        async def _get_page(self, table, part, first, end):
            if first:
                return RowsBody(version=9, rows=(RowBody(key='b'),))
            return RowsBody(version=5, more=True, rows=(RowBody(key='a'),))

    page = await Paged('', None).read_rows('jobs', 'p')
    assert [row.key for row in page.rows] == ['a', 'b']
    assert page.version == 5
