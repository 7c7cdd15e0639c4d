"""Sizes of state and messages, CPU and memory per item.

Slopes are computed from two sizes. docs/CAPACITY.md uses the figures.
"""

import gc
import time
import tracemalloc

import attrs
import trio

from tulippin import codec, records
from tulippin._cells import make_summaries
from tulippin._context import Context
from tulippin._http_client import HttpClient
from tulippin._worker_state import reserve
from tulippin._workers import _make_sync
from tulippin.ledger import AttemptEntry, RequestEntry
from tulippin.messages import Gossip, TaskHeld, TaskOffered, TaskReported
from tulippin.peers_grpc import decode_envelope, encode_envelope
from tulippin.ports import Envelope
from tulippin.records import TaskRef
from tulippin.standins import Standins, StandinSize
from tulippin.testing import FakeWorker, SingleInstance, make_worker
from tulippin.types import JobSpec, OutcomeKind, Resources, TaskOutcome
from tulippin.worker_types import StartTask, WorkerSync
from tulippin.workers_http import HttpWorkers

SPEC = JobSpec('job-0123456789', 'team-17', run_ms=60000)
SIZE = Resources(1000, 1024)


def make_entry(number):
    task = TaskRef(f'job-{number:010d}', number % 100, 1, 'range/07')
    spec = attrs.evolve(SPEC, job_id=task.job_id)
    return AttemptEntry(task, spec, 'worker-0', 'incarnation-1', SIZE, '', 'p')


def add_attempts(instance, count):
    cell = instance.state.cells['cell/cell-0']
    worker = cell.workers['worker-0']
    for number in range(count):
        entry = make_entry(number)
        cell.ledger.attempts[entry.task.task_id] = entry
        reserve(worker, entry.task.task_id, entry.spec, SIZE)
        worker.started.add(entry.task.task_id)
    return cell, worker


def compute_slope(function, low, high):
    return (function(high) - function(low)) / (high - low)


def measure_sync_bytes(count):
    instance = SingleInstance((make_worker(capacity=Resources(10**9, 10**9)),))
    instance.answer_first_syncs()
    cell, worker = add_attempts(instance, count)
    sync = _make_sync(Context(instance.state), cell, worker)
    return len(codec.encode(sync))


def measure_report_bytes(count, lag_ms=0):
    worker = make_fake_worker(count)
    worker.faults.report_lag_ms = lag_ms
    return len(codec.encode(worker.sync(make_empty_sync(worker))))


def make_fake_worker(count):
    worker = FakeWorker(make_worker(), lambda *_, **__: None)
    starts = tuple(
        StartTask(f'job-{number:010d}/7', 1, 'class', False, SIZE, 10**7)
        for number in range(count)
    )
    worker.sync(WorkerSync('worker-0', 1, 1, 10**13, 'one', start=starts))
    return worker


def make_empty_sync(worker):
    return WorkerSync('worker-0', 1, worker.sequence + 1, 10**13, 'one')


def measure_memory_bytes(make, count):
    gc.collect()
    tracemalloc.start()
    retained = [make(number) for number in range(count)]
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(retained) == count
    return size / count


def measure_agent_cpu_us(count):
    """Return the CPU time that a fake agent takes for an empty sync.

    It decodes the sync, applies it and encodes its report.
    """
    worker = make_fake_worker(count)
    rounds = 300
    began = time.process_time()
    for _ in range(rounds):
        body = codec.encode(make_empty_sync(worker))
        codec.encode(worker.sync(codec.decode(body, WorkerSync)))
    return (time.process_time() - began) * 1e6 / rounds


def measure_envelope(count):
    ref = TaskRef('job-0123456789', 7, 1, 'range/07')
    messages = []
    for _ in range(count // 3):
        messages.extend(
            (
                TaskOffered('cell/rack-012', 3, ref, SPEC, 2),
                TaskHeld('cell/rack-012', 3, ref),
                TaskReported('cell/rack-012', ref, TaskOutcome.DONE, 'c@1'),
            )
        )
    envelope = Envelope('instance-1:abcdef', 'instance-1', 1, tuple(messages))
    began = time.process_time()
    for _ in range(50):
        wire = encode_envelope(envelope)
        decode_envelope(wire)
    spent_us = (time.process_time() - began) * 1e6 / 50
    return spent_us / len(messages), wire.ByteSize() / len(messages)


def measure_gossip_bytes(cell_count):
    workers = tuple(
        make_worker(f'worker-{cell}-{number}', f'rack-{cell:03d}')
        for cell in range(cell_count)
        for number in range(8)
    )
    instance = SingleInstance(workers)
    summaries = make_summaries(Context(instance.state))
    return len(codec.encode(Gossip(summaries, 1, 1, True)))


def measure_record_bytes():
    ref = TaskRef('job-0123456789', 7, 1, 'range/07')
    task_records = (
        records.TaskAssigned(ref.job_id, 7, 1, 'cell/rack-012', 3),
        records.AttemptPlaced(ref, SPEC, 'worker-012-3', 'one', SIZE, '', 'p'),
        records.AttemptEnded(ref.task_id, 1, TaskOutcome.DONE, 'c@100'),
        records.TaskReturned(ref.job_id, 7, 1, TaskOutcome.DONE, 'c@100'),
        records.AttemptForgotten(ref.task_id, 1),
    )
    rows = [
        records.UnitRecord('cell/rack-012', 3, record)
        for record in task_records
    ]
    return len(codec.encode_records(rows))


def measure_snapshot(count):
    instance = SingleInstance((make_worker(capacity=Resources(10**9, 10**9)),))
    instance.answer_first_syncs()
    cell, _ = add_attempts(instance, count)
    began = time.process_time()
    body = codec.encode_ledgers([('cell/cell-0', 1, cell.ledger)])
    return len(body), (time.process_time() - began) * 1000


async def measure_http_sync_ms(count):
    """Return the CPU ms of client and server together for an HTTP sync."""
    async with Standins(StandinSize(1, 1)) as standins, HttpClient() as client:
        worker = next(iter(standins.workers.values()))
        starts = tuple(
            StartTask(f'job-{number:010d}/7', 1, 'c', False, SIZE, 10**7)
            for number in range(25)
        )
        port = HttpWorkers(client)
        await port.sync(
            worker.info.address,
            WorkerSync('w', 1, 1, 10**13, 'one', start=starts),
        )
        began = time.process_time()
        for number in range(count):
            await port.sync(
                worker.info.address,
                WorkerSync('w', 1, number + 2, 10**13, 'one'),
            )
        return (time.process_time() - began) * 1000 / count


async def main():
    print('state and messages')
    print(
        f'  sync: {measure_sync_bytes(0)} B +'
        f' {compute_slope(measure_sync_bytes, 5, 100):.0f} B a task'
    )
    print(
        f'  report: {measure_report_bytes(0)} B +'
        f' {compute_slope(measure_report_bytes, 5, 100):.0f} B a task,'
        ' use included'
    )
    print(
        f'  stand-in agent: {measure_agent_cpu_us(0):.0f} us +'
        f' {compute_slope(measure_agent_cpu_us, 5, 105):.1f} us a task,'
        ' for each sync'
    )
    print(
        f'  gossip: {compute_slope(measure_gossip_bytes, 2, 15):.0f} B a cell'
    )
    cpu_us, size = measure_envelope(300)
    print(f'  peer message: {size:.0f} B, {cpu_us:.1f} us CPU both sides')
    print(
        f'  five records of a task: {measure_record_bytes()} B in the journal'
    )
    size, spent_ms = measure_snapshot(3000)
    print(
        f'  snapshot: {size / 3000:.0f} B, {spent_ms:.1f} ms for 3,000 attempts'
    )
    print('memory of an owner')
    print(f'  attempt: {measure_memory_bytes(make_entry, 5000):.0f} B')
    request_bytes = measure_memory_bytes(
        lambda n: (f'r{n}', RequestEntry('d' * 64, n, OutcomeKind.ANSWERED)),
        5000,
    )
    print(
        f'  non-repeatable request kept: {request_bytes:.0f} B and its answer'
    )
    spent_ms = await measure_http_sync_ms(300)
    print(f'sync by HTTP, both sides in one process: {spent_ms:.2f} ms CPU')


if __name__ == '__main__':
    trio.run(main)
