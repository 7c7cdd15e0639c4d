"""Simulated unit for property tests: its rows, its workers and its owner.

The tests apply generated steps to it. The reducer is driven by events only,
and each record that it writes is decoded and validated as its readers do.
"""

import types

import attrs
import trio

from tulippin.codec_json import decode, encode
from tulippin.jobs import _lifecycle, _occurrences, core
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._accounts import make_release_writes
from tulippin.jobs._record_validation import find_fault, find_progress_fault
from tulippin.jobs.ports import StoredRow
from tulippin.jobs.records import (
    ACCOUNTS_TABLE,
    MODELS_TABLE,
    AccountRecord,
    CancelRecord,
    CrashRecord,
    EpochRecord,
    FailRecord,
    GuestRecord,
    JobRecord,
    ModelRecord,
    ProgressRecord,
    RosterRecord,
    UnitCapacity,
)
from tulippin.jobs.state import Phase, SchedulerConfig
from tulippin.jobs.types import (
    FINAL_STATES,
    EndedRun,
    JobRequest,
    OrderAnswer,
    OrderOutcome,
    Queue,
    RunningTask,
    RunOutcome,
    Schedule,
    Step,
    TaskKey,
    WorkerEntry,
    WorkerReport,
)
from tulippin.types import Resources

QUEUE = Queue('q', 'h', '/q/', 's', 0, 3, 2.0, 500)
TICK_MS = 50
WALL_MS = 1_764_000_000_000
SMALL = Resources(1000, 1000)
LARGE = Resources(4000, 1000)
SERVICE_STEP = Step(2, SMALL, long_running=True, target_ms=50, image='web')
OPPORTUNISTIC_STEP = Step(
    3, SMALL, opportunistic=True, image='batch', checkpointing=True
)
REQUESTS = (
    JobRequest('', (Step(3, SMALL), Step(1, SMALL, after=(0,)))),
    JobRequest('', (SERVICE_STEP,)),
    JobRequest('', (OPPORTUNISTIC_STEP,)),
    JobRequest('', (Step(2, SMALL, gang=True), Step(1, SMALL))),
    JobRequest('', (Step(1, SMALL),), Schedule(WALL_MS, 400, 3)),
    JobRequest('', (Step(1, SMALL, allow_duplicates=True),)),
    # More than the free capacity.
    JobRequest('', (attrs.evolve(SERVICE_STEP, task_count=9, size=LARGE),)),
)
OTHER_UNIT_CAPACITY = UnitCapacity(
    64_000, 1000, largest_free=Resources(16_000, 64_000), places=(64,)
)


def encode_and_validate(record):
    """Encode and decode a record, and assert that it is valid."""
    decoded = decode(encode(record), type(record))
    assert find_fault(decoded) == ''
    return decoded


def count_left(job):
    """Return the number of remaining tasks of each step, by those done."""
    left = {
        (occurrence, number): step.task_count
        for occurrence in range(job.request.occurrence_count)
        for number, step in enumerate(job.request.steps)
    }
    for task in job.tasks.values():
        if task.is_done and not _occurrences.is_complete(
            job, task.key.occurrence
        ):
            left[task.key.occurrence, task.key.step] -= 1
    for occurrence, number in left:
        if _occurrences.is_complete(job, occurrence):
            left[occurrence, number] = 0
    return left


@attrs.define
class SimulatedWorker:
    """Incarnation of a worker: its runs and the ended runs that it reports."""

    entry: WorkerEntry
    runs: dict[tuple[TaskKey, int], float] = attrs.field(factory=dict)
    ended: list[EndedRun] = attrs.field(factory=list)

    def end(self, place, outcome):
        del self.runs[place]
        number = len(self.ended) + 1
        self.ended.append(EndedRun(number, *place, outcome, ''))

    def report(self, now_ms):
        running = tuple(
            RunningTask(key, run, '', 10, load)
            for (key, run), load in self.runs.items()
        )
        born_ms = self.entry.born_ms
        return WorkerReport(now_ms, running, tuple(self.ended), born_ms)


@attrs.define
class SimulatedUnit:
    """Rows, workers and current owner of a unit."""

    worker_count: int = 3
    now_ms: int = 100_000
    version: int = 100
    epoch: int = 0
    rows: dict[str, StoredRow] = attrs.field(factory=dict)
    progress: dict[str, StoredRow] = attrs.field(factory=dict)
    roster: RosterRecord | None = None
    roster_version: int = 0
    model: ModelRecord | None = None
    account: AccountRecord | None = None
    workers: dict[str, SimulatedWorker] = attrs.field(factory=dict)
    incarnation_count: int = 0
    starts: list[fx.StartRun] = attrs.field(factory=list)
    commits: list[fx.CommitProgress] = attrs.field(factory=list)
    kinds: set[str] = attrs.field(factory=set)
    # The process that sent the last report, by worker id.
    reporting: dict[str, SimulatedWorker] = attrs.field(factory=dict)
    acknowledged: set[TaskKey] = attrs.field(factory=set)
    state: core.SchedulerState | None = None

    def __attrs_post_init__(self):
        for number in range(self.worker_count):
            self.add_worker(f'address-{number}:80')
        self.load()

    def add_worker(self, address):
        self.incarnation_count += 1
        entry = WorkerEntry(
            f'w{self.incarnation_count}',
            's',
            address,
            'zone',
            Resources(8000, 16_000),
            machine=address,
            born_ms=WALL_MS + self.incarnation_count,
        )
        self.workers[entry.worker_id] = SimulatedWorker(entry)
        return entry

    def put(self, table, key, record):
        self.version += 1
        return StoredRow(table, 'u0', key, encode(record), self.version)

    # -- the owner ----------------------------------------------------------

    def load(self):
        """Have a new owner take the unit over and load its rows."""
        self.epoch += 1
        self.version += 1
        self.starts.clear()
        self.commits.clear()
        session = f'i:{self.epoch}'
        state = self.state = core.make_state(SchedulerConfig('i', session))
        state.now_ms = self.now_ms
        state.wall_offset_ms = WALL_MS - 100_000
        ownership = state.ownership
        ownership.phase = Phase.LOADING
        ownership.epoch = encode_and_validate(EpochRecord(self.epoch, session))
        ownership.epoch_version = self.version
        ownership.taken_ms = ownership.renewed_ms = self.now_ms
        roster = self.roster
        if not self.roster_version:
            roster = RosterRecord({})
        entries = tuple(one.entry for one in self.workers.values())
        self.reduce(
            ev.UnitLoaded(
                self.now_ms,
                tuple(self.rows.values()),
                tuple(self.progress.values()),
                roster,
                self.roster_version,
                entries,
                self.model,
                self.version,
                self.account,
            )
        )

    def reduce(self, event):
        for effect in core.reduce(self.state, event):
            self.perform(effect)

    def perform(self, effect):
        """Carry out an effect; each written record must be valid."""
        match effect:
            case fx.CommitProgress():
                for write in effect.writes:
                    self.check_progress(write)
                self.commits.append(effect)
            case fx.CommitRoster():
                self.roster = encode_and_validate(effect.roster)
                self.version += 1
                self.roster_version = self.version
                self.reduce(
                    ev.RosterCommitted(
                        self.now_ms,
                        effect.roster,
                        self.version,
                        effect.epoch_version,
                    )
                )
            case fx.RenewLease():
                encode_and_validate(effect.lease)
                self.state.ownership.is_renewing = False
            case fx.KeepModel():
                self.model = encode_and_validate(effect.model)
                self.reduce(ev.ModelKept(self.now_ms))
            case fx.PassTasks():
                encode_and_validate(effect.record)
            case fx.FailJob():
                encode_and_validate(FailRecord(effect.reason))
            case fx.StartRun() | fx.StopRun() | fx.HoldWorker():
                self.perform_order(effect)
            case _:
                return
        self.kinds.add(type(effect).__name__)

    def perform_order(self, effect):
        """Carry out an order; no task starts after an acknowledged end."""
        match effect:
            case fx.StartRun():
                assert effect.order.key not in self.acknowledged
                self.starts.append(effect)
            case fx.StopRun():
                self.stop(effect)
            case fx.HoldWorker():
                self.acknowledge(effect)

    def acknowledge(self, effect):
        """Take an acknowledgement to the process that reported the ends."""
        worker = self.workers.get(effect.worker_id)
        reporting = self.reporting.get(effect.worker_id)
        if worker is None or reporting is not worker:
            return
        self.acknowledged.update(
            ended.key
            for ended in worker.ended
            if ended.number <= effect.last_seen
            and ended.outcome is RunOutcome.DONE
        )

    def check_progress(self, write):
        record = encode_and_validate(write.record)
        request = self.state.jobs[write.job_id].request
        assert find_progress_fault(record, request) == ''

    def stop(self, effect):
        worker = self.workers.get(effect.worker_id)
        place = (effect.key, effect.run)
        if worker is not None and place in worker.runs:
            worker.end(place, RunOutcome.STOPPED)

    # -- steps --------------------------------------------------------------

    def advance_ticks(self, ticks):
        for _ in range(ticks):
            self.now_ms += TICK_MS
            self.state.ownership.renewed_ms = self.now_ms - 500
            wall_ms = self.now_ms + WALL_MS - 100_000
            self.reduce(ev.Ticked(self.now_ms, wall_ms))

    def answer(self, number, tail_ms, used_millicores):
        """Let a worker report its runs with the given loads."""
        worker = self.pick(number)
        for key, run in worker.runs:
            is_served = self.is_served(key)
            load = tail_ms if is_served else used_millicores
            worker.runs[key, run] = load
        report = worker.report(self.now_ms)
        worker_id = worker.entry.worker_id
        self.reporting[worker_id] = worker
        self.reduce(
            ev.WorkerAnswered(self.now_ms, worker_id, self.now_ms, report)
        )

    def is_served(self, key):
        job = self.state.jobs.get(key.job_id)
        return job is not None and job.request.steps[0].target_ms > 0

    def run_rounds(self, rounds, tail_ms, used_millicores):
        """Let all start orders be carried out and all workers report."""
        for _ in range(rounds):
            self.advance_ticks(6)
            while self.starts:
                self.answer_start(OrderOutcome.STARTED)
            for number in range(len(self.workers)):
                self.answer(number, tail_ms + number, used_millicores)
            self.commit()

    def pick(self, number):
        return list(self.workers.values())[number % len(self.workers)]

    def answer_start(self, outcome):
        """Answer the oldest pending start order with an outcome."""
        if not self.starts:
            return
        order = self.starts.pop(0).order
        worker = self.workers.get(order.worker_id)
        if worker is None:
            return
        if outcome is OrderOutcome.STARTED:
            worker.runs[order.key, order.run] = 1.0
        answer = OrderAnswer(outcome, self.now_ms)
        self.reduce(
            ev.StartAnswered(
                self.now_ms, order.worker_id, order.key, order.run, answer
            )
        )

    def end_run(self, number, which, outcome):
        worker = self.pick(number)
        places = list(worker.runs)
        if places:
            worker.end(places[which % len(places)], outcome)

    def report_unknown_run(self, number, key, run):
        """Let a worker report a run that no owner has started."""
        self.pick(number).runs[key, run] = 1.0

    def lose(self, number, is_replaced):
        """Crash a worker and start its next incarnation.

        If `is_replaced`, the owner has met the next incarnation.
        """
        worker = self.pick(number)
        worker_id = worker.entry.worker_id
        del self.workers[worker_id]
        entry = self.add_worker(worker.entry.address)
        self.reduce(
            ev.WorkerSilent(
                self.now_ms, worker_id, 'crashed', is_replaced=is_replaced
            )
        )
        self.reduce(ev.WorkersChanged(self.now_ms, (entry,), (), self.now_ms))

    def restart(self, number, is_listed_first):
        """Start a worker again under its id, with its counts begun anew."""
        worker = self.pick(number)
        self.incarnation_count += 1
        born_ms = WALL_MS + self.incarnation_count
        entry = attrs.evolve(worker.entry, born_ms=born_ms)
        self.workers[entry.worker_id] = SimulatedWorker(entry)
        if is_listed_first:
            event = ev.WorkersChanged(self.now_ms, (entry,), (), self.now_ms)
            self.reduce(event)

    def commit(self):
        """Make the oldest commit durable."""
        if not self.commits:
            return
        commit = self.commits.pop(0)
        for write in commit.writes:
            row = self.put('progress0', write.job_id, write.record)
            self.progress[write.job_id] = row
        self.reduce(ev.ProgressCommitted(self.now_ms, commit, self.version))

    def deliver_job_rows(self, *rows):
        self.rows.update((row.key, row) for row in rows)
        self.reduce(ev.JobsChanged(self.now_ms, rows))

    def submit(self, kind):
        job_id = f'{len(self.rows):016x}'
        wall_ms = self.now_ms + WALL_MS - 100_000
        record = encode_and_validate(JobRecord(QUEUE, REQUESTS[kind], wall_ms))
        self.deliver_job_rows(self.put('jobs0', job_id, record))

    def transfer_task_here(self, transfer_number, has_begun, has_crashed):
        """Transfer a task of a service from another unit to this one."""
        job_id = f'{len(self.rows):016x}'
        crash = CrashRecord('w0', 'a:80', 'm', 7, 10, WALL_MS, True)
        record = encode_and_validate(
            GuestRecord(
                QUEUE,
                REQUESTS[1],
                {'0.0.1': transfer_number},
                {'0.0.1': 65_536},
                ('0.0.1',) if has_begun else (),
                {'0.0.1': (crash,)} if has_crashed else {},
            )
        )
        self.deliver_job_rows(self.put('jobs0', f'{job_id}/guest', record))

    def mark(self, number, record, suffix):
        """Write a cancel or fail marker for a job."""
        jobs = list(self.state.jobs)
        if jobs:
            job_id = jobs[number % len(jobs)]
            self.deliver_job_rows(
                self.put(
                    'jobs0', f'{job_id}{suffix}', encode_and_validate(record)
                )
            )

    def cancel(self, number):
        self.mark(number, CancelRecord('q'), '/cancel')

    def give_up(self, number):
        self.mark(number, FailRecord('crashed'), '/failed')

    def receive_capacities(self):
        self.reduce(ev.RoomsSeen(self.now_ms, {1: OTHER_UNIT_CAPACITY}))

    # -- the next owner -----------------------------------------------------

    def crash(self):
        """Lose the owner: the next one has only the durable state."""
        self.account = None
        self.load()

    def release(self):
        """Have the owner release the unit, and another one take it."""
        released = [
            effect
            for effect in core.reduce(self.state, ev.StopRequested(self.now_ms))
            if isinstance(effect, fx.ReleaseLease)
        ]
        for effect in released:
            encode_and_validate(effect.lease)
            shell = types.SimpleNamespace(state=self.state)
            writes = trio.run(make_release_writes, effect, shell)
            kept = {write.table: write.value for write in writes}
            # Everything in the owner's state must be valid in the records.
            self.account = encode_and_validate(
                decode(kept[ACCOUNTS_TABLE], AccountRecord)
            )
            self.model = encode_and_validate(
                decode(kept[MODELS_TABLE], ModelRecord)
            )
            self.kinds.add('ReleaseLease')
        self.load()

    def check_restored(self):
        """Check that the owner's state of each job equals the durable one."""
        for job_id, row in self.progress.items():
            job = self.state.jobs.get(job_id)
            if job is None:
                continue
            durable = decode(row.value, ProgressRecord)
            assert not job.is_progress_unknown
            if durable.state in FINAL_STATES or job.state in FINAL_STATES:
                continue
            assert _lifecycle.make_progress(job) == durable
            left = count_left(job)
            assert left == {
                key: _occurrences.count_remaining(job, *key) for key in left
            }
            assert {key: left[key] for key in job.remaining} == job.remaining
