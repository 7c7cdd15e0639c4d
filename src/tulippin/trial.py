"""The trial: which policy a cell follows at a moment."""

from __future__ import annotations

import random
import typing as t

import attrs

from tulippin.bundles import Bundle
from tulippin.policies import LeastLoadedPolicy, Policy

DEFAULT_POLICY: t.Final = 'default'


@attrs.frozen
class Window:
    """One window of a cell's schedule."""

    index: int
    policy_name: str
    washing_out: bool


def get_window(bundle: Bundle, cell: str, wall_ms: int) -> Window:
    """Return the window that a cell is in.

    Windows come in blocks of one each policy, shuffled by the seed, so
    that every policy sees each stretch of the same live load.
    """
    trial = bundle.trial
    window_ms = trial.window_s * 1000
    index, elapsed_ms = divmod(wall_ms, window_ms)
    block, place = divmod(index, len(trial.policies))
    order = list(trial.policies)
    random.Random(f'{trial.seed}|{cell}|{block}').shuffle(order)
    return Window(index, order[place], elapsed_ms < trial.wash_out_s * 1000)


def get_policy(
    bundle: Bundle | None,
    cell: str,
    wall_ms: int,
    stopped: t.Collection[str] = (),
) -> tuple[str, Policy, Window]:
    """Return the name, the policy and the window of a cell.

    ``stopped`` names policies that the guard-rail took out; the first
    policy of the trial that still runs stands in for them.
    """
    if bundle is None:
        return DEFAULT_POLICY, LeastLoadedPolicy(), Window(0, '', False)
    window = get_window(bundle, cell, wall_ms)
    name = window.policy_name
    if name in stopped:
        running = [one for one in bundle.trial.policies if one not in stopped]
        name = running[0] if running else bundle.trial.policies[0]
    return name, bundle.policies[name], window
