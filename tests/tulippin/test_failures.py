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


@pytest.mark.plants_errors
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


@pytest.mark.plants_errors
def test_error_that_comes_again_and_again_is_told_without_its_frames():
    """A fault at each event or call would fill the log with one traceback."""
    with logbook.TestHandler() as handler:
        for number in range(250):
            try:
                divide(0)
            except ZeroDivisionError as error:
                failures.tell('again', error, number=number)
    assert failures.counts['again'] == 250
    told = [record.kwargs for record in handler.records]
    assert [one['number'] for one in told] == list(range(250))
    assert all(one['place'].endswith('divide') for one in told)
    whole = [one['number'] for one in told if 'traceback' in one]
    assert whole == [*range(20), 99, 199]
    assert told[50]['time_told'] == 51


@pytest.mark.plants_errors
def test_another_error_beside_one_that_comes_often_is_told_whole():
    with logbook.TestHandler() as handler:
        for text in ['often'] * 30 + ['rare']:
            try:
                raise_at_one_place(text)
            except (KeyError, ValueError) as error:
                failures.tell('beside', error)
    assert 'traceback' in handler.records[-1].kwargs


def raise_at_one_place(text):
    raise {'often': KeyError, 'rare': ValueError}[text](text)
