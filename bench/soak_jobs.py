"""Run seeded scenarios of the job scheduler in virtual time.

They contain faults, such as tasks that crash their workers. Prints each seed
that violates an invariant or has a job that ends in a wrong state.
"""

import argparse
import pathlib
import random
import sys
import time

import trio
import trio._core._run as trio_run
import trio.testing

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import scheduler_soak
from tulippin.jobs.features import Features


def run(
    seed: int,
    are_ids_kept: bool,
    evacuates: bool,
    features: Features,
    loses_in_series: bool,
    backlog_jobs: int,
) -> list[str]:
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(
        scheduler_soak.play,
        seed,
        are_ids_kept,
        evacuates,
        features,
        loses_in_series,
        backlog_jobs,
        clock=clock,
    )


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=50)
    parser.add_argument(
        '--keep-ids',
        action='store_true',
        help='restart workers under their ids, in series',
    )
    parser.add_argument(
        '--evacuate',
        action='store_true',
        help='evacuate failure domains, at times all at once',
    )
    parser.add_argument(
        '--all-parts',
        action='store_true',
        help='switch on all optional parts of the scheduler',
    )
    parser.add_argument(
        '--lose-in-series',
        action='store_true',
        help='lose owners one after the other, and workers for good',
    )
    parser.add_argument(
        '--serving',
        type=int,
        nargs='?',
        const=16,
        default=0,
        metavar='JOBS',
        help='serve tasks with targets, and add twice so many jobs',
    )
    options = parser.parse_args()
    features = (
        scheduler_soak.ALL_PARTS
        if options.all_parts
        else scheduler_soak.NO_PARTS
    )
    began = time.monotonic()
    failures = 0
    for seed in range(options.seed, options.seed + options.runs):
        violations = run(
            seed,
            options.keep_ids,
            options.evacuate,
            features,
            options.lose_in_series,
            options.serving,
        )
        if violations:
            failures += 1
            print(f'seed {seed} fails: {violations[:4]}', flush=True)
    took_s = time.monotonic() - began
    print(f'{options.runs} runs, {failures} failed, in {took_s:.0f} s')
    return min(failures, 1)


if __name__ == '__main__':
    sys.exit(main())
