"""Runs in virtual time whose course a seed determines."""

import random
import time

import trio
import trio._core._run as trio_run
import trio.testing


def run_virtual(function, *arguments, seed=1):
    """Run a coroutine function in virtual time; return its result."""
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


def add_seed_options(parser):
    """Add the options that choose which seeds a soak plays."""
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=50)


def play_seeds(options, play, *arguments):
    """Play the scenarios of the chosen seeds; print the violations of each.

    Returns 1 if any has violations, otherwise 0.
    """
    began = time.monotonic()
    failures = 0
    for seed in range(options.seed, options.seed + options.runs):
        violations = run_virtual(play, seed, *arguments, seed=seed)
        if violations:
            failures += 1
            print(f'seed {seed} fails: {violations[:4]}', flush=True)
    took_s = time.monotonic() - began
    print(f'{options.runs} runs, {failures} failed, in {took_s:.0f} s')
    return min(failures, 1)
