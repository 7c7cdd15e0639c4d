"""Log lines are whole, bounded and never waited for."""

import json
import os
import threading
import time

import logbook
import pytest

from tulippin.line_buffer import _MAX_LINES, LineBuffer

logger = logbook.Logger('test')


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    os.set_blocking(reader, False)
    body = b''
    while True:
        try:
            part = os.read(reader, 65536)
        except BlockingIOError:
            break
        body += part
    return [json.loads(line) for line in body.splitlines()]


def test_line_has_its_fields(pipe):
    lines = LineBuffer(pipe[1], {'instance': 'i'})
    with lines.applicationbound():
        logger.info('decided', job='a', age_ms=3)
    lines.flush()
    (line,) = read_lines(pipe[0])
    assert line['message'] == 'decided'
    assert line['instance'] == 'i'
    assert line['job'] == 'a'
    assert line['age_ms'] == 3


def test_full_pipe_does_not_block_and_loses_no_line(pipe):
    lines = LineBuffer(pipe[1], {})
    with lines.applicationbound():
        for number in range(2000):
            logger.info('decided', number=number, text='x' * 100)
    found = []
    lines.flush()
    for _ in range(100):
        found.extend(read_lines(pipe[0]))
        lines.flush()
    assert [line['number'] for line in found] == list(range(2000))


def test_dropped_lines_are_counted_and_told(pipe):
    lines = LineBuffer(pipe[1], {})
    with lines.applicationbound():
        for number in range(_MAX_LINES + 7):
            logger.info('decided', number=number)
        assert lines.dropped_count == 7
        for _ in range(400):
            lines.flush()
            read_lines(pipe[0])
        logger.info('after')
    lines.flush()
    told, after = read_lines(pipe[0])
    assert told['message'] == 'lines dropped'
    assert told['count'] == 7
    assert after['message'] == 'after'


def test_level_can_be_changed(pipe):
    lines = LineBuffer(pipe[1], {}, 'WARNING')
    with lines.applicationbound():
        logger.info('quiet')
        lines.change_level('INFO')
        logger.info('told')
    lines.flush()
    assert [line['message'] for line in read_lines(pipe[0])] == ['told']


def test_value_that_is_no_json_is_told_as_text(pipe):
    lines = LineBuffer(pipe[1], {})
    with lines.applicationbound():
        logger.info('decided', text='\ud800', kind=object, count=3)
    lines.flush()
    (line,) = read_lines(pipe[0])
    assert line['message'] == 'decided'
    assert line['text'] == "'\\ud800'"
    assert line['count'] == 3


def test_long_lines_are_bounded_by_their_bytes(pipe):
    lines = LineBuffer(pipe[1], {})
    with lines.applicationbound():
        for _ in range(3000):
            logger.info('decided', text='x' * 6000)
    assert 0 < lines.waiting_bytes <= 4_000_000
    assert lines.dropped_count > 0


def test_end_waits_for_a_slow_reader_and_not_for_an_absent_one(pipe):
    lines = LineBuffer(pipe[1], {})
    with lines.applicationbound():
        for number in range(2000):
            logger.info('decided', number=number, text='x' * 100)
    began_s = time.monotonic()
    lines.drain(0.2)
    assert 0.2 <= time.monotonic() - began_s < 0.6
    found = []

    def read():
        while sum(part.count(b'\n') for part in found) < 2000:
            found.append(os.read(pipe[0], 65536))
            time.sleep(0.01)

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    lines.drain(5)
    thread.join(5)
    numbers = [
        json.loads(one)['number'] for one in b''.join(found).split(b'\n')[:-1]
    ]
    assert numbers == list(range(2000))


def test_reader_that_is_gone_ends_nothing():
    reader, writer = os.pipe()
    lines = LineBuffer(writer, {})
    os.close(reader)
    with lines.applicationbound():
        logger.info('decided')
    lines.flush()
    began_s = time.monotonic()
    lines.drain(5)
    assert time.monotonic() - began_s < 1
    os.close(writer)


def test_full_disk_ends_nothing_and_is_told_afterwards(pipe):
    full = os.open('/dev/full', os.O_WRONLY)
    lines = LineBuffer(full, {})
    with lines.applicationbound():
        logger.info('decided')
        lines.flush()
        lines.flush()
        os.dup2(pipe[1], full)
        lines.flush()
        logger.info('after')
        lines.flush()
    os.close(full)
    found = {line['message']: line for line in read_lines(pipe[0])}
    assert set(found) == {'decided', 'log was not written', 'after'}
    assert 'No space' in found['log was not written']['reason']
    assert found['log was not written']['count'] == 2


def test_lines_wait_for_a_file_that_takes_none_for_a_while(pipe):
    """Each instance whose log was not taken ended soon after each start."""
    reader, writer = os.pipe()
    lines = LineBuffer(writer, {})
    os.close(reader)
    with lines.applicationbound():
        logger.info('decided', number=1)
        lines.flush()
        lines.flush()
        os.dup2(pipe[1], writer)
        os.set_blocking(writer, False)
        logger.info('decided', number=2)
        lines.flush()
    os.close(writer)
    found = read_lines(pipe[0])
    assert [one['number'] for one in found if 'number' in one] == [1, 2]
    (told,) = [one for one in found if one['message'] == 'log was not written']
    assert told['count'] == 2
    assert 'Broken pipe' in told['reason']
