"""Run seeded scenarios of the job scheduler in virtual time.

They contain faults, such as tasks that crash their workers. Prints each seed
that violates an invariant or has a job that ends in a wrong state.
"""

import argparse
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import scheduler_soak
from seeded_runs import add_seed_options, play_seeds


def main() -> int:
    parser = argparse.ArgumentParser()
    add_seed_options(parser)
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
    return play_seeds(
        options,
        scheduler_soak.play,
        options.keep_ids,
        options.evacuate,
        features,
        options.lose_in_series,
        options.serving,
    )


if __name__ == '__main__':
    sys.exit(main())
