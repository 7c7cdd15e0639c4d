"""Unexpected errors are logged with cause, place, traceback and fields."""

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


async def test_group_is_described_by_its_first_cause():
    with pytest.raises(ExceptionGroup) as caught:
        await fail()
    fields = failures.describe(caught.value)
    assert fields['cause'].startswith('ZeroDivisionError')
    assert fields['place'].endswith('divide')
    assert 'in fail' in fields['traceback']


@pytest.mark.plants_errors
def test_line_has_error_level_fields_and_limited_size():
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


@pytest.mark.plants_errors
def test_recurring_error_is_mostly_logged_without_traceback():
    """Otherwise a fault at each event would fill the log with tracebacks."""
    with logbook.TestHandler() as handler:
        for number in range(250):
            try:
                divide(0)
            except ZeroDivisionError as error:
                failures.tell('again', error, number=number)
    assert failures.counts['again'] == 250
    lines = [record.kwargs for record in handler.records]
    assert [line['number'] for line in lines] == list(range(250))
    assert all(line['place'].endswith('divide') for line in lines)
    with_traceback = [line['number'] for line in lines if 'traceback' in line]
    assert with_traceback == [*range(20), 99, 199]
    assert lines[50]['time_told'] == 51


@pytest.mark.plants_errors
def test_new_error_at_same_place_is_logged_with_traceback():
    with logbook.TestHandler() as handler:
        for text in ['often'] * 30 + ['rare']:
            try:
                raise_by_name(text)
            except (KeyError, ValueError) as error:
                failures.tell('beside', error)
    assert 'traceback' in handler.records[-1].kwargs


def raise_by_name(text):
    raise {'often': KeyError, 'rare': ValueError}[text](text)
