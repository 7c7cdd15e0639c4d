"""Log lines are written whole, without blocking, from a bounded buffer."""

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


def test_line_has_given_fields(pipe):
    lines = LineBuffer(pipe[1], {'instance': 'i'})
    with lines.applicationbound():
        logger.info('decided', job='a', age_ms=3)
    lines.flush()
    (line,) = read_lines(pipe[0])
    assert line['message'] == 'decided'
    assert line['instance'] == 'i'
    assert line['job'] == 'a'
    assert line['age_ms'] == 3


def test_full_pipe_does_not_block_or_lose_lines(pipe):
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


def test_dropped_lines_are_counted_and_logged(pipe):
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
    dropped, after = read_lines(pipe[0])
    assert dropped['message'] == 'lines dropped'
    assert dropped['count'] == 7
    assert after['message'] == 'after'


def test_level_can_be_changed(pipe):
    lines = LineBuffer(pipe[1], {}, 'WARNING')
    with lines.applicationbound():
        logger.info('quiet')
        lines.change_level('INFO')
        logger.info('shown')
    lines.flush()
    assert [line['message'] for line in read_lines(pipe[0])] == ['shown']


def test_value_without_json_form_is_logged_as_text(pipe):
    lines = LineBuffer(pipe[1], {})
    with lines.applicationbound():
        logger.info('decided', text='\ud800', kind=object, count=3)
    lines.flush()
    (line,) = read_lines(pipe[0])
    assert line['message'] == 'decided'
    assert line['text'] == "'\\ud800'"
    assert line['count'] == 3


def test_buffer_is_limited_in_bytes(pipe):
    lines = LineBuffer(pipe[1], {})
    with lines.applicationbound():
        for _ in range(3000):
            logger.info('decided', text='x' * 6000)
    assert 0 < lines.waiting_bytes <= 4_000_000
    assert lines.dropped_count > 0


def test_drain_waits_for_slow_reader_up_to_limit(pipe):
    lines = LineBuffer(pipe[1], {})
    with lines.applicationbound():
        for number in range(2000):
            logger.info('decided', number=number, text='x' * 100)
    started_s = time.monotonic()
    lines.drain(0.2)
    assert 0.2 <= time.monotonic() - started_s < 0.6
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


def test_closed_reader_raises_nothing():
    reader, writer = os.pipe()
    lines = LineBuffer(writer, {})
    os.close(reader)
    with lines.applicationbound():
        logger.info('decided')
    lines.flush()
    started_s = time.monotonic()
    lines.drain(5)
    assert time.monotonic() - started_s < 1
    os.close(writer)


def test_full_disk_raises_nothing_and_is_logged_later(pipe):
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


def test_lines_are_kept_while_writing_fails(pipe):
    """Otherwise an instance would end soon after its start if its log fails."""
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
    (failure,) = [
        one for one in found if one['message'] == 'log was not written'
    ]
    assert failure['count'] == 2
    assert 'Broken pipe' in failure['reason']
