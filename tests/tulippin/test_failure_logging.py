"""Logging of an error succeeds whatever the error is or contains.

Guards against an instance that ends, or a unit that stops for good, because
logging an error raises another one: ``repr`` and ``str`` of an error may
raise, and its text may contain characters that UTF-8 can't encode.
"""

import json
import os

import logbook
import pytest

from tulippin import failures
from tulippin.line_buffer import LineBuffer


class UnprintableError(Exception):
    """Raises in ``repr`` and ``str``."""

    def __repr__(self):
        raise ValueError('repr')

    def __str__(self):
        raise ValueError('str')


class LongError(Exception):
    """Has a text of a million characters."""

    def __init__(self):
        super().__init__('x' * 1_000_000)


def raise_error(error):
    raise error


def catch(error):
    with pytest.raises(type(error)) as caught:
        raise_error(error)
    return caught.value


@pytest.mark.parametrize(
    'error',
    [
        UnprintableError(),
        ExceptionGroup('several', [catch(UnprintableError()), ValueError()]),
        ValueError('\ud800'),
        LongError(),
    ],
    ids=['unprintable', 'group', 'lone surrogate', 'long'],
)
def test_any_error_is_logged(contained_failures, error):
    reader, writer = os.pipe()
    lines = LineBuffer(writer, {})
    with logbook.Flags(errors='raise'), lines.applicationbound():
        failures.tell('unit failed', catch(error), unit=3)
    lines.flush()
    body = os.read(reader, 65536)
    os.close(reader)
    os.close(writer)
    (line,) = [json.loads(one) for one in body.splitlines()]
    assert line['unit'] == 3
    assert 'in raise_error' in line['traceback']
    assert line['cause']
    contained_failures.clear()
