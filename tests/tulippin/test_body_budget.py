"""Bodies wait until others have been handled."""

import pytest
import trio
import trio.testing

from tulippin._body_budget import BodyBudget

KB = 1024


@pytest.mark.parametrize(
    ('sizes', 'expected'),
    [
        pytest.param([5000 * KB], 1, id='one of any size'),
        pytest.param([256 * KB] * 6, 4, id='large ones'),
        pytest.param([5000 * KB] + [KB] * 4, 1, id='small beside too large'),
        pytest.param([1000 * KB] + [KB] * 50, 51, id='small beside large'),
    ],
)
async def test_bodies_are_admitted_up_to_their_limit(sizes, expected):
    """Guards against decoded bodies that together exceed the memory."""
    budget = BodyBudget()
    may_end = trio.Event()
    admitted = []

    async def handle(size):
        async with budget.admit(size):
            admitted.append(size)
            await may_end.wait()

    async with trio.open_nursery() as nursery:
        for size in sizes:
            nursery.start_soon(handle, size)
            await trio.testing.wait_all_tasks_blocked()
        assert len(admitted) == expected
        may_end.set()
    assert admitted == sizes
