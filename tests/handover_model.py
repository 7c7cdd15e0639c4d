"""Model of handovers: real shells, reducers and effects in any order.

The model plays the store, the workers and the time. Each call that an instance
makes is a `Call`, which a schedule carries out, answers, loses, rejects or
repeats, also after its instance has ended. A schedule is a sequence of bytes:
a pair of them chooses an action and what it applies to.
"""

import collections
import contextlib
import itertools
import math
import types
import typing as t

import attrs

from tulippin.codec_json import encode
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs import (
    _accounts,
    _row_effects,
    _transactions,
    _unit_feeds,
)
from tulippin.jobs import events as ev
from tulippin.jobs._inbox import EventInbox
from tulippin.jobs._transactions import AnswerTimes
from tulippin.jobs._unit_feeds import UnitFeeds
from tulippin.jobs.ports import (
    FencedOrderError,
    HistoryLostError,
    RowCondition,
    RowPage,
    RowWrite,
    Transaction,
    WorkerChangedError,
)
from tulippin.jobs.records import (
    DEFAULT_JOB_PARTS,
    HOMES_TABLE,
    UNITS_TABLE,
    HomeRecord,
    JobRecord,
    LayoutRecord,
    Unit,
    UnitCapacity,
    get_jobs_part,
)
from tulippin.jobs.state import Phase, SchedulerConfig
from tulippin.jobs.types import (
    EndedRun,
    JobRequest,
    OrderAnswer,
    OrderOutcome,
    Queue,
    RunningTask,
    RunOutcome,
    Step,
    WorkerEntry,
    WorkerReport,
)
from tulippin.jobs.unit_shell import UnitShell
from tulippin.platform.standin_store import StandinStore
from tulippin.platform.wire import MAX_LISTED_ENDS
from tulippin.types import Resources

TICK_MS = 50
MS_PER_S = 1000
START_MS = 100_000
WALL_MS = 1_764_000_000_000
CALL_TIMEOUT_MS = 900
MAX_LATE_MS = 6000
MAX_WORKER_LEASE_MS = 6000
STOP_MS = 300
WORKER_CLOCK_STEP_MS = 40_000
MAX_RUNS = 2
LONG_MS = 300
READY_MS = 1500
# Longer than a lease and the delay of a takeover.
LAPSE_MS = 2500
MAX_SETTLE_CALLS = 400
SMALL = Resources(1000, 1000)
QUEUE = Queue('q', 'h', '/q/', 's', 0, 3, 2.0, 500)
REQUESTS = (
    JobRequest('', (Step(1, SMALL),)),
    JobRequest('', (Step(3, SMALL), Step(1, SMALL, after=(0,)))),
    JobRequest('', (Step(1, SMALL, opportunistic=True, image='batch'),)),
)
# Position of the wait among the arguments of a hold call.
WAIT_ARGUMENT = 5
# Calls that may be carried out after their caller has given up.
LASTING_KINDS = frozenset(('transact', 'start', 'stop', 'hold'))


ORDER_KINDS = frozenset(('start', 'stop', 'pace'))


class TwoRunsError(Exception):
    """A task is started while it has a run on a worker that is up."""


class StartAfterEndError(Exception):
    """A task is started after an end as done that is or gets acknowledged."""


VIOLATIONS = (TwoRunsError, StartAfterEndError)


@types.coroutine
def ask(kind, *arguments):
    """Suspend the caller until the schedule answers the call."""
    return (yield (kind, arguments))


class SequentialNursery:
    """Runs its tasks one after another, each call of them being a step."""

    async def __aenter__(self):
        self.tasks = []
        return self

    def start_soon(self, task, *arguments):
        self.tasks.append((task, arguments))

    async def __aexit__(self, *details):
        for task, arguments in self.tasks:
            await task(*arguments)


TRIO = types.SimpleNamespace(
    sleep=lambda seconds: ask('sleep', seconds),
    open_nursery=SequentialNursery,
    move_on_after=lambda seconds: contextlib.nullcontext(),
)


async def transact_in_steps(store, transaction, limit_s, times=None):
    return await ask('transact', transaction, limit_s)


def install(monkeypatch):
    """Make the feeds and effects call the model."""
    for module in (_unit_feeds, _row_effects, _accounts):
        monkeypatch.setattr(module, 'trio', TRIO)
    monkeypatch.setattr(
        _row_effects, 'transact_with_retries', transact_in_steps
    )


@attrs.define(eq=False)
class Call:
    """A call of an instance; ``outcome`` is set once it was carried out."""

    kind: str
    arguments: tuple
    sent_ms: int
    unit: 'ModelUnit'
    routine: t.Coroutine
    feeds: UnitFeeds | None
    outcome: tuple | None = None
    is_lost: bool = False

    @property
    def timeout_ms(self):
        if self.kind == 'transact':
            return CALL_TIMEOUT_MS + int(min(self.arguments[1], 99) * 1000)
        if self.kind == 'hold':
            return CALL_TIMEOUT_MS + self.arguments[WAIT_ARGUMENT]
        return CALL_TIMEOUT_MS


class ModelUnit(UnitShell):
    """The shell of a unit, whose tasks are run by the model."""

    @property
    def world(self):
        return self._parent.world

    def start(self, task, *arguments):
        self.world.resume(self, task(*arguments), None)

    def _handle_failure(self, error, *details, **fields):
        raise error

    def follow_unit(self, load_number):
        self._feeds = UnitFeeds(self, load_number)
        self.world.resume(self, self._load(self._feeds), self._feeds)

    def forget_unit(self):
        if self._feeds is not None:
            self.world.drop_calls(
                lambda call: call.unit is self and call.feeds is not None
            )
            self._feeds = None

    async def _load(self, feeds):
        loaded, jobs_after, workers_after = await feeds._load()
        self.post(loaded)
        if self._feeds is feeds:
            world = self.world
            world.resume(self, feeds._follow_jobs(jobs_after), feeds)
            world.resume(self, feeds._follow_workers(workers_after), feeds)


class Instance:
    """One process, in place of the `SchedulerShell` of its units."""

    def __init__(self, world, number, session):
        self.world = world
        self.number = number
        self.session = session
        self.answer_times = AnswerTimes()
        self.layout = LayoutRecord({})
        self.read_counts = collections.Counter()
        self.ports = types.SimpleNamespace(
            store=types.SimpleNamespace(
                read_rows=lambda *a: ask('read', *a),
                follow=lambda *a: ask('follow', *a),
                transact=lambda transaction: ask('transact', transaction, 0),
            ),
            feeds=types.SimpleNamespace(
                read_workers=lambda: ask('list'),
                follow_workers=lambda after: ask('list', after),
            ),
            workers=types.SimpleNamespace(
                start=lambda order: ask('start', order),
                stop=lambda *a: ask('stop', *a),
                pace=lambda *a: ask('pace', *a),
                hold=lambda *a: ask('hold', *a),
            ),
            forget_worker=self._forget_worker,
        )
        self.is_paused = False
        self.is_handling = False
        self.inbox = EventInbox()
        self.seen_version = 0
        self.units = {}
        for unit in range(world.unit_count):
            config = SchedulerConfig(
                f'i{number}', f'i{number}:{session}', Unit(unit)
            )
            self.units[unit] = ModelUnit(config, self)

    async def _forget_worker(self, worker_id):
        pass

    def clock(self):
        return self.world.now_ms

    def observe(self, *details):
        pass

    def record_store_result(self, error=None):
        pass

    def get_unit_number(self, entry):
        return int(entry.rack)

    def post_to(self, unit, event):
        self.inbox.put(unit, event)
        self.handle_events()

    def handle_events(self):
        if self.is_handling or self.is_paused:
            return
        self.is_handling = True
        while self.inbox:
            unit, event = self.inbox.take()
            unit.step(event)
        self.is_handling = False

    def watch(self):
        """Read the changed rows of all units."""
        changes = [
            row
            for row in self.world.store.changes
            if row.version > self.seen_version and row.table == UNITS_TABLE
        ]
        self.seen_version = self.world.store.version
        for number, unit in self.units.items():
            rows = [row for row in changes if row.part == f'u{number}']
            if rows or not unit.is_seen:
                unit.apply_rows(rows)

    def is_leaving(self):
        return any(unit.state.is_stopping for unit in self.units.values())


@attrs.define
class ModelWorker:
    """One incarnation of a worker, as the protocol describes it."""

    world: 'World'
    entry: WorkerEntry
    offset_ms: int
    is_up: bool = True
    is_listed: bool = True
    token: int = 0
    deadline_ms: int = 0
    runs: dict = attrs.field(factory=dict)
    closed: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    end_count: int = 0
    # Ends up to this number don't count: the lease has lapsed since.
    lapsed_number: int = 0
    # Numbers of ends as done after which their task was started again.
    restarted: set = attrs.field(factory=set)

    @property
    def clock_ms(self):
        return self.world.now_ms + self.offset_ms

    def accept(self, token):
        if token < self.token:
            return False
        self.token = token
        return True

    def note_lapse(self):
        if self.clock_ms > self.deadline_ms:
            self.lapsed_number = self.end_count

    def note_restart(self, key):
        """Note that a task starts, perhaps after it has ended here as done."""
        self.restarted.update(
            ended.number
            for ended in self.ended
            if ended.key == key and ended.outcome is RunOutcome.DONE
        )

    def check_acknowledgement(self, ended):
        """Check that no task was started between its end and this."""
        if ended.number > self.lapsed_number and ended.number in self.restarted:
            raise StartAfterEndError(ended.key.format())

    def extend(self, deadline_ms):
        self.note_lapse()
        limit_ms = self.clock_ms + MAX_WORKER_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def start(self, order):
        if not self.accept(order.fencing_token):
            return OrderOutcome.FENCED
        if self.clock_ms > order.deadline_ms:
            return OrderOutcome.TOO_LATE
        self.extend(order.deadline_ms)
        run_id = (order.key, order.run)
        if run_id in self.runs:
            return OrderOutcome.STARTED
        if order.run <= self.closed.get(order.key, 0):
            return OrderOutcome.SUPERSEDED
        if len(self.runs) >= MAX_RUNS:
            return OrderOutcome.NO_ROOM
        self.world.check_start(self, order)
        self.runs[run_id] = math.inf
        return OrderOutcome.STARTED

    def stop(self, worker_id, address, key, run, token):
        if not self.accept(token):
            return OrderOutcome.FENCED
        self.close(key, run)
        if (key, run) in self.runs:
            end_ms = self.world.now_ms + STOP_MS
            self.runs[key, run] = min(self.runs[key, run], end_ms)
        return OrderOutcome.STARTED

    def hold(self, worker_id, address, token, last_seen, deadline_ms, *_):
        if not self.accept(token):
            raise FencedOrderError('fence')
        for ended in self.ended:
            if ended.number <= last_seen and ended.outcome is RunOutcome.DONE:
                self.check_acknowledgement(ended)
                self.world.acknowledged.add(ended.key)
        self.ended = [one for one in self.ended if one.number > last_seen]
        if deadline_ms is not None:
            self.extend(deadline_ms)
        running = tuple(
            RunningTask(key, run, '', 10, None) for key, run in self.runs
        )
        limit = self.world.max_listed_ends
        listed = tuple(self.ended[:limit])
        is_cut = len(listed) >= limit
        return WorkerReport(self.clock_ms, running, listed, is_cut=is_cut)

    def close(self, key, run):
        self.closed[key] = max(run, self.closed.get(key, 0))

    def end(self, run_id, outcome):
        del self.runs[run_id]
        self.close(*run_id)
        self.end_count += 1
        self.ended.append(EndedRun(self.end_count, *run_id, outcome, ''))

    def end_due(self):
        self.note_lapse()
        for run_id, end_ms in list(self.runs.items()):
            if self.clock_ms > self.deadline_ms:
                self.end(run_id, RunOutcome.LAPSED)
            elif self.world.now_ms >= end_ms:
                self.end(run_id, RunOutcome.STOPPED)


class World:
    """Store, workers, instances and all calls that are not over."""

    def __init__(
        self,
        instance_count=2,
        worker_count=2,
        unit_count=1,
        max_listed_ends=MAX_LISTED_ENDS,
    ):
        self.unit_count = unit_count
        self.max_listed_ends = max_listed_ends
        self.now_ms = START_MS
        self.store = StandinStore(clock=lambda: self.now_ms / MS_PER_S)
        self.calls = []
        self.late = []
        self.acknowledged = set()
        self.workers = []
        self.list_changes = []
        self.job_count = 0
        self.stop_count = 0
        self.trace = []
        self.instances = []
        self.evacuated = None
        # Which calls `settle` passes over, and whether it carries them out.
        self.blocked = {}
        for unit, _ in itertools.product(
            range(unit_count), range(worker_count)
        ):
            self.add_worker(unit, f'10.0.0.{len(self.workers)}:80')
        for number in range(instance_count):
            self.instances.append(Instance(self, number, 1))

    # -- calls ----------------------------------------------------------------

    def resume(self, unit, routine, feeds, outcome=(True, None)):
        """Run a task of an instance up to its next call."""
        is_done, value = outcome
        try:
            step = routine.send if is_done else routine.throw
            kind, arguments = step(value)
        except StopIteration:
            return
        call = Call(kind, arguments, self.now_ms, unit, routine, feeds)
        self.calls.append(call)

    def answer(self, call):
        """Deliver the outcome of a call to its instance."""
        self.calls.remove(call)
        self.resume(call.unit, call.routine, call.feeds, call.outcome)

    def fail(self, call, error):
        call.outcome = (False, error)
        if call.kind in ORDER_KINDS:
            is_lost = isinstance(error, AnswerLostError)
            outcome = OrderOutcome.UNKNOWN if is_lost else OrderOutcome.NOT_SENT
            call.outcome = (True, OrderAnswer(outcome))
        self.answer(call)

    def execute(self, call):
        """Carry a call out; its answer is still on its way."""
        if call.kind == 'sleep':
            call.outcome = (True, None)
            return
        try:
            handler = getattr(self, f'_do_{call.kind}')
            call.outcome = (True, handler(*call.arguments))
        except UnavailableError as error:
            call.outcome = (False, error)
        if call.kind == 'transact' and call.is_lost:
            result = _transactions.recognize_own_writes(
                call.arguments[0], call.outcome[1]
            )
            call.outcome = (True, result)

    def may_execute(self, call):
        """Whether the other side would answer the call now."""
        if call.outcome is not None:
            return False
        waited_ms = self.now_ms - call.sent_ms
        match call.kind:
            case 'sleep':
                return waited_ms >= call.arguments[0] * 1000
            case 'follow':
                table, after, _ = call.arguments
                is_lost = after < self.store.dropped_version
                return is_lost or bool(self._list_changes(table, after))
            case 'hold':
                worker = self.find_worker(*call.arguments[:2])
                has_ends = worker is not None and worker.ended
                return has_ends or waited_ms >= call.arguments[WAIT_ARGUMENT]
        return True

    def drop_calls(self, is_dropped):
        """Cancel tasks; what was sent may still be carried out."""
        for call in [one for one in self.calls if is_dropped(one)]:
            self.calls.remove(call)
            self._add_late(call)
            call.routine.close()

    def _add_late(self, call):
        if call.outcome is None and call.kind in LASTING_KINDS:
            until_ms = self.now_ms + MAX_LATE_MS
            self.late.append((until_ms, call.kind, call.arguments))

    def lose(self, call):
        """Give up a call without an answer, as its client does."""
        if call.kind == 'transact':
            self._add_late(call)
            if call.arguments[1] == math.inf:
                call.outcome = None
                call.sent_ms = self.now_ms
                call.is_lost = True
                return
        elif call.kind in LASTING_KINDS:
            self._add_late(call)
        self.fail(call, AnswerLostError('no answer'))

    def reject(self, call):
        """Refuse a call, which then has no effect."""
        if call.kind == 'transact':
            if call.arguments[1] != math.inf and not call.is_lost:
                self.fail(call, UnavailableError('refused'))
        else:
            self.fail(call, UnavailableError('refused'))

    def repeat(self, call):
        """Send a transaction a second time beside the first attempt."""
        self._add_late(call)
        call.is_lost = True

    def execute_late(self, number):
        _, kind, arguments = self.late.pop(number)
        with contextlib.suppress(UnavailableError):
            getattr(self, f'_do_{kind}')(*arguments)

    # -- the store ------------------------------------------------------------

    def _do_transact(self, transaction, limit_s):
        return self.store.apply(transaction)

    def _do_read(self, table, part, first='', end=''):
        rows = [
            row
            for (one_table, one_part, key), row in self.store.rows.items()
            if (one_table, one_part) == (table, part)
            and first <= key
            and (not end or key < end)
        ]
        rows.sort(key=lambda row: row.key)
        return RowPage(tuple(rows), self.store.version)

    def _list_changes(self, table, after):
        return tuple(
            row
            for row in self.store.changes
            if row.table == table and row.version > after
        )

    def _do_follow(self, table, after, wait_ms):
        if after < self.store.dropped_version:
            raise HistoryLostError('history is gone')
        return RowPage(self._list_changes(table, after), self.store.version)

    # -- the workers ----------------------------------------------------------

    def add_worker(self, unit, address):
        number = len(self.workers)
        entry = WorkerEntry(
            f'w{number}',
            's',
            address,
            f'hall{unit}',
            Resources(2000, 16_000),
            rack=str(unit),
        )
        offset_ms = WORKER_CLOCK_STEP_MS * number
        self.workers.append(ModelWorker(self, entry, offset_ms))
        self.list_changes.append((entry.worker_id, entry))

    def find_worker(self, worker_id, address):
        """Return the worker of a call, or None if nobody is at the address.

        Raises ``WorkerChangedError`` if another incarnation answers there.
        """
        there = [
            worker
            for worker in self.workers
            if worker.is_up and worker.entry.address == address
        ]
        if not there:
            return None
        return there[0] if there[0].entry.worker_id == worker_id else None

    def _reach(self, worker_id, address):
        worker = self.find_worker(worker_id, address)
        if worker is None:
            if any(
                one.is_up and one.entry.address == address
                for one in self.workers
            ):
                raise WorkerChangedError('another incarnation')
            raise UnavailableError('no connection')
        return worker

    def _order(self, worker_id, address, act):
        try:
            worker = self._reach(worker_id, address)
        except WorkerChangedError:
            return OrderAnswer(OrderOutcome.OTHER_INCARNATION)
        except UnavailableError:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        return OrderAnswer(act(worker), worker.clock_ms)

    def _do_start(self, order):
        return self._order(
            order.worker_id, order.address, lambda worker: worker.start(order)
        )

    def _do_stop(self, *arguments):
        return self._order(
            *arguments[:2], lambda worker: worker.stop(*arguments)
        )

    def _do_pace(self, *arguments):
        return self._order(*arguments[:2], lambda worker: OrderOutcome.STARTED)

    def _do_hold(self, *arguments):
        return self._reach(*arguments[:2]).hold(*arguments)

    def _do_list(self, after=0):
        entries = dict(self.list_changes[after:])
        changed = tuple(one for one in entries.values() if one is not None)
        gone = tuple(name for name, one in entries.items() if one is None)
        version = len(self.list_changes)
        return (changed, gone, version) if after else (changed, version)

    def check_start(self, worker, order):
        """Check a start that a worker is about to carry out."""
        if order.key in self.acknowledged:
            raise StartAfterEndError(order.key.format())
        for other in self.workers:
            if other.is_up:
                other.note_restart(order.key)
            for key, run in other.runs if other.is_up else ():
                if key == order.key:
                    raise TwoRunsError(
                        f'{key.format()} runs as {run} on'
                        f' {other.entry.worker_id} and starts as {order.run}'
                        f' on {worker.entry.worker_id}'
                    )

    # -- steps ----------------------------------------------------------------

    def advance(self):
        """Let a tick pass: time-outs, leases, ends and the instances' ticks."""
        self.now_ms += TICK_MS
        self.late = [one for one in self.late if one[0] > self.now_ms]
        for worker in self.workers:
            if worker.is_up:
                worker.end_due()
        for call in list(self.calls):
            age_ms = self.now_ms - call.sent_ms
            is_over = age_ms > call.timeout_ms
            if call in self.calls and is_over and call.kind != 'sleep':
                if call.kind == 'follow' and call.outcome is None:
                    call.outcome = (
                        True,
                        RowPage((), call.arguments[1]),
                    )
                    self.answer(call)
                else:
                    self.lose(call)
        for number, instance in enumerate(list(self.instances)):
            if instance.is_paused:
                continue
            if instance.is_leaving() and all(
                unit.has_left for unit in instance.units.values()
            ):
                self.replace(number)
                continue
            for unit in instance.units.values():
                unit.tick(self.now_ms + WALL_MS)

    def replace(self, number):
        """End the process of an instance, and start the next one."""
        ended = self.instances[number]
        units = list(ended.units.values())
        self.drop_calls(lambda call: call.unit in units)
        for unit in units:
            unit.is_ended = True
        fresh = Instance(self, number, ended.session + 1)
        self.instances[number] = fresh
        fresh.watch()
        if self.evacuated is not None:
            self.tell_evacuation(fresh)

    def settle(self):
        """Carry out and answer all calls, in order, until none is left."""
        for _ in range(MAX_SETTLE_CALLS):
            for instance in self.instances:
                if not instance.is_paused:
                    instance.watch()
            call = next(filter(self._advance_call, self.calls), None)
            if call is None:
                return
            self.answer(call)

    def _advance_call(self, call):
        """Carry a call out if it is due; return whether to answer it."""
        modes = [self.blocked.get(name) for name in list_targets(call)]
        if 'before' not in modes and self.may_execute(call):
            self.execute(call)
        is_open = not any(modes) and not call.unit._parent.is_paused
        return is_open and call.outcome is not None

    def block(self, number):
        """Let `settle` pass over calls by kind, worker or instance."""
        up = [one.entry.worker_id for one in self.workers if one.is_up]
        owned = [f'i{one.number}' for one in self.instances]
        names = (
            *('start', 'start', 'transact', 'read', *up, *owned),
            *map('/'.join, itertools.product(owned, ('transact', *up))),
        )
        mode = ('before', 'after')[number % 2]
        self.blocked[names[number // 2 % len(names)]] = mode

    def partition(self, number):
        """Cut an owner off the store, and each side off some workers."""
        owner = number % len(self.instances)
        self.blocked[f'i{owner}/transact'] = 'before'
        for worker in self.workers:
            number = number * 5 + 3
            side = (number >> 3) % len(self.instances)
            self.blocked[f'i{side}/{worker.entry.worker_id}'] = 'before'

    def unblock(self, number):
        self.blocked.clear()

    def run(self, duration_ms=LONG_MS):
        for _ in range(duration_ms // TICK_MS):
            self.advance()
            self.settle()

    def submit(self, number):
        """Accept a job."""
        self.job_count += 1
        job_id = f'{self.job_count:016x}'
        request = REQUESTS[number % len(REQUESTS)]
        unit = number // len(REQUESTS) % self.unit_count
        record = JobRecord(QUEUE, request, self.now_ms + WALL_MS)
        self.store.apply(
            Transaction(
                get_jobs_part(job_id, DEFAULT_JOB_PARTS),
                (RowCondition(HOMES_TABLE, job_id, 0),),
                (
                    RowWrite(HOMES_TABLE, job_id, encode(HomeRecord(unit))),
                    RowWrite(Unit(unit).jobs_table, job_id, encode(record)),
                ),
            )
        )

    def list_owners(self):
        return [
            instance
            for instance in self.instances
            if any(
                unit.state.ownership.phase
                in {Phase.LOADING, Phase.ACTIVE, Phase.TAKING}
                for unit in instance.units.values()
            )
        ]

    def stop_owner(self, number):
        """Ask an owner for a planned stop."""
        owners = [one for one in self.list_owners() if not one.is_leaving()]
        if owners:
            owner = owners[number % len(owners)]
            for unit in owner.units.values():
                unit.post(ev.StopRequested(self.now_ms))

    def crash_owner(self, number):
        owners = self.list_owners()
        if owners:
            self.replace(self.instances.index(owners[number % len(owners)]))

    def pause(self, number):
        self.instances[number % len(self.instances)].is_paused = True

    def unpause(self, number):
        for instance in self.instances:
            instance.is_paused = False
            instance.handle_events()

    def end_run(self, number):
        """Let a run end as done."""
        found = [
            (worker, run_id)
            for worker in self.workers
            if worker.is_up
            for run_id in worker.runs
        ]
        if found:
            worker, run_id = found[number % len(found)]
            worker.end(run_id, RunOutcome.DONE)

    def crash_worker(self, number):
        """End a worker; its next incarnation has another id."""
        up = [worker for worker in self.workers if worker.is_up]
        worker = up[number % len(up)]
        worker.is_up = False
        self.add_worker(int(worker.entry.rack), worker.entry.address)

    def toggle_entry(self, number):
        """Let an entry of the workers' list lapse, or come again."""
        worker = self.workers[number % len(self.workers)]
        worker.is_listed = worker.is_up and not worker.is_listed
        entry = worker.entry if worker.is_listed else None
        self.list_changes.append((worker.entry.worker_id, entry))

    def evacuate(self, number):
        """Close one of two units, so that its jobs move, or open it again.

        The next one to be closed may be the other one: jobs come back.
        """
        if self.unit_count > 1:
            closed = number % 2 if self.evacuated is None else None
            self.evacuated = closed
            for instance in self.instances:
                self.tell_evacuation(instance)

    def tell_evacuation(self, instance):
        closed = frozenset()
        if self.evacuated is not None:
            closed = frozenset((self.evacuated,))
        domains = frozenset(f'hall{number}' for number in closed)
        room = UnitCapacity(
            4000, 1000, largest_free=SMALL, places=(4,), short_places=(4,)
        )
        for number, unit in instance.units.items():
            unit.post(ev.EvacuationsChanged(self.now_ms, domains, closed))
            unit.post(ev.RoomsSeen(self.now_ms, {1 - number: room}))

    def lose_history(self, number):
        self.store.dropped_version = self.store.version

    def apply_to_call(self, name, number):
        """Apply an action to one of the calls that allow it."""
        match name:
            case 'execute':
                found = [one for one in self.calls if self.may_execute(one)]
                act = self.execute
            case 'answer':
                found = [one for one in self.calls if one.outcome is not None]
                act = self.answer
            case 'deliver':
                found = [one for one in self.calls if self.may_execute(one)]
                act = self._deliver
            case 'lose' | 'reject' | 'repeat':
                found = [one for one in self.calls if one.kind != 'sleep']
                if name != 'lose':
                    found = [one for one in found if one.outcome is None]
                if name == 'repeat':
                    found = [one for one in found if one.kind == 'transact']
                act = getattr(self, name)
        found = [one for one in found if not one.unit._parent.is_paused]
        if found:
            call = found[number % len(found)]
            self.trace.append(f'{name} {describe(call)}')
            act(call)

    def _deliver(self, call):
        self.execute(call)
        self.answer(call)

    def act(self, choice, number):
        """Carry out one step of a schedule."""
        name = ACTIONS[choice % len(ACTIONS)]
        self.trace.append(f'{self.now_ms - START_MS} {name} {number}')
        match name:
            case 'settle' | 'advance' | 'run':
                getattr(self, name)()
            case 'wait':
                self.run(LAPSE_MS)
            case 'watch':
                instance = self.instances[number % len(self.instances)]
                if not instance.is_paused:
                    instance.watch()
            case 'late':
                if self.late:
                    self.execute_late(number % len(self.late))
            case _ if name in CALL_ACTIONS:
                self.apply_to_call(name, number)
            case _:
                getattr(self, name)(number)


CALL_ACTIONS = ('execute', 'answer', 'deliver', 'lose', 'reject', 'repeat')
# Each action as often as it is to be chosen.
ACTIONS = (
    *('settle',) * 8,
    *('advance',) * 6,
    *('run',) * 6,
    'wait',
    *('partition',) * 2,
    *('deliver',) * 3,
    *('execute',) * 3,
    *('answer',) * 3,
    *('submit',) * 4,
    *('stop_owner',) * 4,
    *('block',) * 8,
    *('unblock',) * 2,
    *('late',) * 3,
    *('lose',) * 2,
    *('end_run',) * 4,
    'reject',
    'repeat',
    'watch',
    'watch',
    'crash_owner',
    'pause',
    'unpause',
    'unpause',
    'crash_worker',
    'toggle_entry',
    'lose_history',
    *('evacuate',) * 3,
)


def list_targets(call):
    """Return the names by which a call can be blocked."""
    names = [call.kind]
    if call.kind == 'start':
        names.append(call.arguments[0].worker_id)
    elif call.kind in {'hold', 'stop', 'pace'}:
        names.append(call.arguments[0])
    instance = f'i{call.unit._parent.number}'
    return [*names, instance, *(f'{instance}/{name}' for name in names)]


def describe(call):
    first = call.arguments[0] if call.arguments else ''
    if call.kind == 'transact':
        first = [(one.table, one.key) for one in first.writes]
    elif call.kind == 'start':
        first = first.key.format(), first.run, first.worker_id
    unit = call.unit
    return f'{call.kind} {first} of {unit.config.session_id}'


def open_world(**options):
    """Return a world whose first owner has loaded its units."""
    world = World(**options)
    for instance in world.instances:
        instance.watch()
    world.run(READY_MS)
    return world


def play(schedule, **options):
    """Play a schedule and return its world; raises one of ``VIOLATIONS``."""
    world = open_world(**options)
    for choice, number in zip(schedule[::2], schedule[1::2], strict=False):
        try:
            world.act(choice, number)
        except VIOLATIONS as violation:
            violation.add_note('\n'.join(world.trace))
            raise
    return world
