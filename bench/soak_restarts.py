"""Run seeded scenarios of workers that restart under their ids and are cut off.

They run in virtual time. Prints each seed with two runs of a task, or with a
lease that lasts longer than its owner assumes.
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

import restart_soak


def run(seed: int, owner_faults: tuple[str, ...]) -> list[str]:
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(restart_soak.play, seed, owner_faults, clock=clock)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=50)
    parser.add_argument(
        '--owners',
        action='append',
        choices=('stop', 'kill'),
        default=[],
        help='how owners end meanwhile; may be given twice',
    )
    options = parser.parse_args()
    began = time.monotonic()
    failures = 0
    for seed in range(options.seed, options.seed + options.runs):
        violations = run(seed, tuple(options.owners))
        if violations:
            failures += 1
            print(f'seed {seed} fails: {violations[:4]}', flush=True)
    took_s = time.monotonic() - began
    print(f'{options.runs} runs, {failures} failed, in {took_s:.0f} s')
    return min(failures, 1)


if __name__ == '__main__':
    sys.exit(main())
