"""Run seeded scenarios of workers that restart under their ids and are cut off.

They run in virtual time. Prints each seed with two runs of a task, or with a
lease that lasts longer than its owner assumes.
"""

import argparse
import functools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import restart_soak
from seeded_runs import add_seed_options, play_seeds


def main() -> int:
    parser = argparse.ArgumentParser()
    add_seed_options(parser)
    parser.add_argument(
        '--owners',
        action='append',
        choices=('stop', 'kill'),
        default=[],
        help='how owners end meanwhile; may be given twice',
    )
    parser.add_argument(
        '--forwarded',
        action='store_true',
        help='connections to workers outlast their restarts',
    )
    options = parser.parse_args()
    play = functools.partial(
        restart_soak.play, are_calls_forwarded=options.forwarded
    )
    return play_seeds(options, play, tuple(options.owners))


if __name__ == '__main__':
    sys.exit(main())
