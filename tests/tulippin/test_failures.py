"""Errors that nothing was meant to raise are told with all that is known."""

import logbook
import pytest
import trio

from tulippin import failures


def divide(by):
    return 1 / by


async def fail():
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.sleep_forever)
        divide(0)


async def test_group_is_told_by_its_cause_and_its_place():
    with pytest.raises(ExceptionGroup) as found:
        await fail()
    told = failures.describe(found.value)
    assert told['cause'].startswith('ZeroDivisionError')
    assert told['place'].endswith('divide')
    assert 'in fail' in told['traceback']


def test_line_is_an_error_with_fields_and_bounded():
    def recurse(depth):
        if depth:
            recurse(depth - 1)
        elif depth == 0:
            raise ValueError('x' * 100_000)

    with logbook.TestHandler() as handler:
        try:
            recurse(50)
        except ValueError as error:
            failures.tell('unit failed', error, unit=3)
    (record,) = handler.records
    assert record.level == logbook.ERROR
    assert record.kwargs['unit'] == 3
    assert sum(len(str(one)) for one in record.kwargs.values()) < 20_000
