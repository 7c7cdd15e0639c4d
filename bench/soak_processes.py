"""Run seeded scenarios of instances as processes, with faults from outside.

Prints the violations of each seed; the output of the instances is kept.
"""

import argparse
import pathlib
import sys
import tempfile
import time

import trio

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import process_soak


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=50)
    parser.add_argument('--instances', type=int, default=4)
    parser.add_argument('--workers', type=int, default=4)
    parser.add_argument('--faults-s', type=float, default=10.0)
    parser.add_argument(
        '--lose-in-series',
        action='store_true',
        help='kill each owner as it takes the unit, beside lost workers',
    )
    parser.add_argument(
        '--cut-in-series',
        action='store_true',
        help='restart workers, and cut them off soon after',
    )
    options = parser.parse_args()
    failures = 0
    for seed in range(options.seed, options.seed + options.runs):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        began = time.monotonic()
        violations, counts = trio.run(
            process_soak.play,
            seed,
            folder,
            options.instances,
            options.workers,
            options.faults_s,
            options.lose_in_series,
            options.cut_in_series,
        )
        took_s = time.monotonic() - began
        failures += bool(violations)
        print(f'seed {seed}, {took_s:.0f} s, {folder}: {dict(counts)}')
        for violation in violations[:8]:
            print(f'  {violation}')
        sys.stdout.flush()
    print(f'{options.runs} runs, {failures} failed')
    return min(failures, 1)


if __name__ == '__main__':
    sys.exit(main())
