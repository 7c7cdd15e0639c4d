"""Workers that restart under their ids and are cut off, in virtual time.

``bench/soak_restarts.py`` plays any number of such scenarios.
"""

import functools

import pytest

import restart_soak

# Guards against a second run of a task beside one that goes on, under a longer
# lease than its owner assumes, on a worker that has restarted unnoticed.
REGRESSION_CASES = (
    *(((), seed) for seed in (3, 8, 13, 17, 21)),
    *((('stop',), seed) for seed in (5, 17)),
    *((('kill',), seed) for seed in (2, 9, 18, 24)),
)


@pytest.mark.parametrize(('owner_faults', 'seed'), REGRESSION_CASES)
def test_restarted_worker_that_is_cut_off_keeps_no_unknown_lease(
    run_virtual, owner_faults, seed
):
    found = run_virtual(restart_soak.play, seed, owner_faults, seed=seed)
    assert found == []


play_forwarded = functools.partial(restart_soak.play, are_calls_forwarded=True)


@pytest.mark.parametrize('seed', [21, 23])
def test_start_answered_by_the_next_incarnation_extends_its_lease(
    run_virtual, seed
):
    """Guards against a second run while a forwarded start goes on."""
    assert run_virtual(play_forwarded, seed, seed=seed) == []


@pytest.mark.parametrize('seed', [9311, 9327])
def test_forwarded_acknowledgement_drops_no_unread_end(run_virtual, seed):
    """Guards against a second start of tasks whose ends nobody has read."""
    assert run_virtual(play_forwarded, seed, seed=seed) == []
