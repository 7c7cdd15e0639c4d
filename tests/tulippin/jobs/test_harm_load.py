"""A harm budget on long-running tasks near their targets, off and on.

Guards against neighbours that pause too late, or all of them for the miss that
one causes, and against a miss that reaches the limit.
"""

import pytest

import harm_load
from harm_load import play

SEEDS = (1, 2, 3)
PLAYED_S = 25
LIMIT_S = 4.0
# Paces and moves cost some of the opportunistic work.
MIN_DONE_SHARE = 0.9
MAX_MISSED_SHARE = 0.85


def play_all(run_virtual, *, budgets_harm):
    """Play the load with all seeds; return what was measured."""
    results = []
    for seed in SEEDS:
        with pytest.MonkeyPatch.context() as monkeypatch:
            plant = harm_load.patch(monkeypatch, seed)

            async def run(plant=plant):
                return await play(
                    plant, budgets_harm=budgets_harm, for_s=PLAYED_S
                )

            results.append(run_virtual(run))
    return results


def test_targets_are_missed_less_with_a_harm_budget(run_virtual):
    off = play_all(run_virtual, budgets_harm=False)
    on = play_all(run_virtual, budgets_harm=True)
    missed_s = sum(one.missed_s for one in on)
    assert missed_s < MAX_MISSED_SHARE * sum(one.missed_s for one in off)
    assert max(one.longest_s for one in on) < LIMIT_S
    done = sum(one.done for one in on)
    assert done > MIN_DONE_SHARE * sum(one.done for one in off)
    assert sum(one.counters['harm_runs_shed'] for one in on) > 0
    assert all('harm_runs_shed' not in one.counters for one in off)
