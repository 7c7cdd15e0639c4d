"""Log lines are whole, bounded and never waited for."""

import json
import os

import logbook
import pytest

from tulippin.line_buffer import _LINE_LIMIT, LineBuffer

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
        for number in range(_LINE_LIMIT + 7):
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


def test_file_that_takes_nothing_ends_nobody(pipe):
    """Its reader has gone, or its disk is full: the lines wait, bounded.

    What users would have seen: each instance whose log is not taken ends
    within a quarter of a second of each start.
    """
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
    (told,) = [one for one in found if one['message'] == 'log not written']
    assert told['count'] == 2
    assert 'BrokenPipeError' in told['cause']
