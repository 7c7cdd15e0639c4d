"""CPU time of a placement by the number of tasks that run on each worker.

Measures one cell of 8 workers; with 138 cells over 9 instances, an instance
owns 15 or 16 of them. Prints medians and their slope, and the time in which a
job's home unit chooses among 138 cells.
"""

import random
import statistics
import time

import attrs

from tulippin import _home_units, _placing, _worker_state
from tulippin._context import Context
from tulippin.bundles import parse_bundle
from tulippin.ledger import AttemptEntry
from tulippin.messages import CellSummary
from tulippin.records import TaskRef
from tulippin.testing import SingleInstance, make_worker
from tulippin.types import JobKind, JobSpec, Resources, cell_unit

ROUNDS = 400
CAPACITY = Resources(640000, 2560000)
SPEC = JobSpec('new', 'team', job_class='class-3', size=Resources(1000, 1000))
POLICIES = ('random', 'least_loaded', 'best_fit', 'interference')


def make_instance(policy, tasks):
    workers = tuple(
        make_worker(f'worker-{number}', capacity=CAPACITY)
        for number in range(8)
    )
    instance = SingleInstance(workers)
    instance.answer_first_syncs()
    instance.state.bundle = parse_bundle(
        f'[bundle]\nname=x\n[policy p]\nkind={policy}\n'
    )
    cell = instance.state.cells[cell_unit('cell-0')]
    for worker in cell.workers.values():
        for number in range(tasks):
            service = number % 12 == 0
            kind = JobKind.SERVICE if service else JobKind.BATCH
            spec = attrs.evolve(
                SPEC, kind=kind, job_class=f'class-{number % 6}'
            )
            task = TaskRef(f'{worker.worker_id}-{number}', 0, 1, 'range/00')
            cell.ledger.attempts[task.task_id] = AttemptEntry(
                task, spec, worker.worker_id, 'one', SPEC.size
            )
            _worker_state.reserve(worker, task.task_id, spec, SPEC.size)
    return instance, cell


def time_placements(policy, tasks):
    instance, cell = make_instance(policy, tasks)
    context = Context(instance.state)
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        choice = _placing.choose_worker(context, cell, SPEC)
        times.append((time.perf_counter() - began) * 1e6)
        assert choice is not None
    return statistics.median(times)


def time_homes():
    instance = SingleInstance()
    context = Context(instance.state)
    rng = random.Random(1)
    cell_views = {}
    for number in range(138):
        free = Resources(rng.randrange(10000), 10000)
        summary = CellSummary(f'cell/{number}', 1, free, free, free)
        cell_views[summary.unit] = _home_units.CellView(summary, free, free)
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        assert _home_units.pick_cell(context, SPEC, cell_views)
        times.append((time.perf_counter() - began) * 1e6)
    return statistics.median(times)


def main():
    counts = (5, 25, 100, 400)
    print('tasks a worker   ' + ''.join(f'{count:>10}' for count in counts))
    for policy in POLICIES:
        medians = [time_placements(policy, count) for count in counts]
        slope = (medians[-1] - medians[0]) / (counts[-1] - counts[0])
        row = ''.join(f'{median:8.0f}us' for median in medians)
        print(f'{policy:16} {row}   slope {slope:.3f} us a task')
    print(f'choice among 138 cells at the home: {time_homes():.0f} us')


if __name__ == '__main__':
    main()
