"""Telling an error goes on whatever the error is, and whatever it holds.

What users would have seen: an instance that ends, or a unit that stands still
for good, by an error in the telling of an error.

Cause: ``repr`` and ``str`` of an error are its own code, and its text may hold
what no JSON line can.
"""

import json
import os

import logbook
import pytest

from tulippin import failures
from tulippin.line_buffer import LineBuffer


class UnprintableError(Exception):
    """Can't say what it is."""

    def __repr__(self):
        raise ValueError('repr')

    def __str__(self):
        raise ValueError('str')


class LongError(Exception):
    """Says more than anybody reads."""

    def __init__(self):
        super().__init__('x' * 1_000_000)


def raise_it(error):
    raise error


def catch(error):
    with pytest.raises(type(error)) as found:
        raise_it(error)
    return found.value


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
def test_line_is_written_whatever_the_error_is(contained_failures, error):
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
    assert 'in raise_it' in line['traceback']
    assert line['cause']
    contained_failures.clear()
