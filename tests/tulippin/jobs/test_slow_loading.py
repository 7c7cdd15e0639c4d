"""An instance that is too slow to read all parts of its jobs in one attempt.

A slow instance that takes a unit with some 200 jobs may fail to read one of the
eight parts within the timeout of a call. If it then reads all parts again, it
renews its lease but does not load the unit for 8 to 14 s, while long-running
tasks are down and urgent jobs wait. Parts that were read must be kept.
"""

import pytest
import trio

from tulippin.exceptions import AnswerLostError
from tulippin.jobs._unit_feeds import read_jobs
from tulippin.jobs.ports import RowPage, StoredRow
from tulippin.jobs.records import Unit, get_jobs_parts

# Concurrent calls that succeed; further ones time out.
MAX_CONCURRENT_CALLS = 5


class SlowStore:
    """Answers only the first few of concurrent calls."""

    def __init__(self):
        self.open_count = 0
        self.read_parts = []

    async def read_rows(self, table, part, *bounds):
        self.open_count += 1
        is_answered = self.open_count <= MAX_CONCURRENT_CALLS
        await trio.sleep(0.01)
        self.open_count -= 1
        if not is_answered:
            raise AnswerLostError('silent')
        self.read_parts.append(part)
        version = 100 + len(self.read_parts)
        row = StoredRow(table, part, f'job-{part}', b'', version)
        return RowPage((row,), version)


async def test_read_parts_are_not_read_again():
    store = SlowStore()
    pages = {}
    with pytest.raises(AnswerLostError):
        await read_jobs(store, Unit(), 8, pages)
    page = await read_jobs(store, Unit(), 8, pages)
    assert sorted(store.read_parts) == sorted(get_jobs_parts(8))
    assert {row.part for row in page.rows} == set(get_jobs_parts(8))
    # The feed continues from the lowest version of the parts.
    assert page.version == 101


async def test_read_without_earlier_pages_is_complete_or_fails():
    with pytest.raises(AnswerLostError):
        await read_jobs(SlowStore(), Unit(), 8)
