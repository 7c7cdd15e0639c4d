"""An instance that is too slow to read all parts of its jobs at once.

What users saw: long-running tasks away for 20 s and more, and urgent jobs
that waited, while one instance held their unit.

In which order: all owners were lost; a slow instance took a unit with 212
jobs, and renewed its lease. Of the eight parts of the jobs, which it read side
by side, one was not read in the time of a call, and it began anew with all of
them; so again and again, for 8 and 14 s.

Cause: a part that was not read cost the reading of the others. Evidence: in
these seconds its log tells five readings that were silent, each of another
part, while the store answered it all the time.
"""

import pytest
import trio

from tulippin.exceptions import AnswerLostError
from tulippin.jobs._unit_feeds import read_jobs
from tulippin.jobs.ports import RowPage, StoredRow
from tulippin.jobs.records import Unit, get_jobs_parts

# Calls that a slow instance has answered in time.
BORNE = 5


class SlowStore:
    """Answers the first few of the calls that are under way together."""

    def __init__(self):
        self.open_count = 0
        self.read_parts = []

    async def read_rows(self, table, part, *bounds):
        self.open_count += 1
        is_borne = self.open_count <= BORNE
        await trio.sleep(0.01)
        self.open_count -= 1
        if not is_borne:
            raise AnswerLostError('silent')
        self.read_parts.append(part)
        version = 100 + len(self.read_parts)
        row = StoredRow(table, part, f'job-{part}', b'', version)
        return RowPage((row,), version)


async def test_parts_that_were_read_are_not_read_again():
    store = SlowStore()
    pages = {}
    with pytest.raises(AnswerLostError):
        await read_jobs(store, Unit(), pages)
    page = await read_jobs(store, Unit(), pages)
    assert sorted(store.read_parts) == sorted(get_jobs_parts())
    assert {row.part for row in page.rows} == set(get_jobs_parts())
    # The feed goes on from the earliest of them.
    assert page.version == 101


async def test_reading_without_earlier_ones_is_whole_or_fails():
    with pytest.raises(AnswerLostError):
        await read_jobs(SlowStore(), Unit())
