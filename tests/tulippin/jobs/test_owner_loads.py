"""The load of other owners, from their leases."""

import math

import attrs

from tulippin.jobs._owner_loads import find_lowest_load
from tulippin.jobs.records import LeaseRecord

NOW_MS = 10_000


@attrs.define
class Unit:
    lease: LeaseRecord | None = None
    lease_seen_ms: int = NOW_MS


def make_unit(owner, share, seen_ms=NOW_MS, **fields):
    lease = LeaseRecord('s', owner, processor_share=share, **fields)
    return Unit(lease, seen_ms)


def find(*units):
    return find_lowest_load(units, 'me', NOW_MS)


def test_least_loaded_owner_counts_with_one_more_unit():
    units = [make_unit('a', 2.0), make_unit('a', 2.0), make_unit('b', 0.5)]
    assert find(*units) == 1.5
    assert find(*units[:1], units[2]) == 1.0


def test_own_released_unread_and_stale_leases_tell_of_no_other_owner():
    assert find() == math.inf
    assert find(Unit(), make_unit('me', 4.0)) == math.inf
    assert find(make_unit('a', 4.0, released=True)) == math.inf
    assert find(make_unit('a', 4.0, seen_ms=NOW_MS - 2000)) == math.inf


def test_owner_of_a_version_without_the_figure_is_left_out():
    assert find(make_unit('a', 0.0)) == math.inf
