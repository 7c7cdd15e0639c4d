"""Runs random faults against fleets in virtual time; checks the histories.

For each failing seed, prints the failures and a minimized list of faults
that still fails.
"""

import argparse
import collections
import random
import sys
import time

import attrs
import trio
import trio._core._run as trio_run
import trio.testing

from tulippin._soak import Scenario, SoakResult, make_scenario, run_scenario


def run(scenario: Scenario) -> SoakResult:
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r = random.Random(scenario.seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(run_scenario, scenario, clock=clock)


def minimize(scenario: Scenario) -> Scenario:
    """Remove each fault without which the run still fails."""
    for step in scenario.steps:
        remaining = tuple(
            other for other in scenario.steps if other is not step
        )
        shorter = attrs.evolve(scenario, steps=remaining)
        if not run(shorter).is_clean:
            scenario = shorter
    return scenario


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=50)
    parser.add_argument('--steps', type=int, default=6)
    options = parser.parse_args()
    began = time.monotonic()
    events = entries = faults = failures = 0
    outcomes = collections.Counter()
    kinds = collections.Counter()
    for seed in range(options.seed, options.seed + options.runs):
        scenario = make_scenario(seed, options.steps)
        result = run(scenario)
        events += result.event_count
        entries += result.entry_count
        faults += len(scenario.steps)
        kinds.update(step.kind.value for step in scenario.steps)
        outcomes.update(result.outcomes)
        if result.is_clean:
            continue
        failures += 1
        print(f'seed {seed} fails:\n{result.render()[:2000]}')
        for step in minimize(scenario).steps:
            print(f'  {step}')
        sys.stdout.flush()
    print(f'runs {options.runs}, events {events}, history entries {entries},')
    print(f'faults {faults}: {dict(sorted(kinds.items()))}')
    print(f'requests {dict(outcomes)}')
    print(f'failures {failures}, wall {time.monotonic() - began:.0f} s')
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
