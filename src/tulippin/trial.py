"""Schedule of a trial: the policy that a cell uses at a given time."""

from __future__ import annotations

import random
import typing as t

import attrs

from tulippin.bundles import Bundle
from tulippin.policies import LeastLoadedPolicy, Policy

DEFAULT_POLICY: t.Final = 'default'


@attrs.frozen
class Window:
    """One window of a cell's schedule.

    While it is washing out, the previous policy's placements still have an
    effect, and requests are not counted.
    """

    index: int
    policy_name: str
    washing_out: bool


def get_window(bundle: Bundle, cell: str, wall_ms: int) -> Window:
    """Return the window of a cell at a time.

    Each block has one window for each policy, in an order that depends on
    the seed, so that all policies meet a similar load.
    """
    trial = bundle.trial
    window_ms = trial.window_s * 1000
    index, elapsed_ms = divmod(wall_ms, window_ms)
    block, position = divmod(index, len(trial.policies))
    order = list(trial.policies)
    random.Random(f'{trial.seed}|{cell}|{block}').shuffle(order)
    return Window(index, order[position], elapsed_ms < trial.wash_out_s * 1000)


def get_policy(
    bundle: Bundle | None,
    cell: str,
    wall_ms: int,
    stopped: t.Collection[str] = (),
) -> tuple[str, Policy, Window]:
    """Return the policy name, the policy and the window of a cell.

    ``stopped`` holds the names of policies that the guard-rail stopped.
    They are replaced by the first policy of the trial that is not stopped.
    """
    if bundle is None:
        return DEFAULT_POLICY, LeastLoadedPolicy(), Window(0, '', False)
    window = get_window(bundle, cell, wall_ms)
    name = window.policy_name
    if name in stopped:
        running = [
            policy for policy in bundle.trial.policies if policy not in stopped
        ]
        name = running[0] if running else bundle.trial.policies[0]
    return name, bundle.policies[name], window
