"""Many instances that accept jobs in a store whose speed varies.

Callers, the HTTP application, the intake and its writes are real; the store
and the owners of units are simulated, in virtual time.
"""

import collections
import json
import random
import types

import attrs
import trio

from scheduler_fleet import QUEUE, WALL_OFFSET_MS
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs._task_limits import SentTasks
from tulippin.jobs._transactions import AnswerTimes, transact_with_retries
from tulippin.jobs._write_bounds import StoreLoad, list_reported_s
from tulippin.jobs.features import Features
from tulippin.jobs.intake import JobIntake
from tulippin.jobs.ports import (
    PartitionBehindError,
    RowCondition,
    RowPage,
    RowWrite,
    Transaction,
)
from tulippin.jobs.records import LayoutRecord, LeaseRecord
from tulippin.platform.callers import CallersApp
from tulippin.platform.standin import get_now_ms
from tulippin.platform.standin_store import CALL_TIMEOUT_S, StandinStore

LATENCY_S = 0.004
# 200 writes per second and part.
EXECUTION_S = 0.005
MAX_QUEUE_S = 1.0
UNIT_COUNT = 6
RENEW_EVERY_S = 0.5
LEASES_READ_EVERY_S = 0.45
CALLER_TIME_S = 3.0
MAX_CALLS = 4
CALLER_PAUSES_S = (0.2, 0.4, 0.8)
BODY = json.dumps(
    {
        'Spec': '{"run_ms":100}',
        'Steps': [{'Count': 1, 'Cpu': 1000, 'MemMb': 100}],
    }
).encode()


@attrs.define
class SlowStore:
    """A store that executes the writes of a part one after the other.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the writes, which take effect also if nobody waits for them.
    factor : float
        How many times as long as usual everything takes.
    lost_share : float
        Share of the writes whose answers are lost.
    lost_requests_share : float
        Share of the writes that never reach the store.
    """

    nursery: trio.Nursery
    factor: float = 1.0
    lost_share: float = 0.0
    lost_requests_share: float = 0.0
    full_parts: set = attrs.field(factory=set)
    store: StandinStore = attrs.field(factory=StandinStore)
    source: random.Random = attrs.field(factory=lambda: random.Random(7))
    busy_until_s: dict = attrs.field(factory=dict)
    write_counts: collections.Counter = attrs.field(factory=collections.Counter)
    refused_count: int = 0

    async def read_rows(self, table, part, first='', end=''):
        await trio.sleep(LATENCY_S * self.factor)
        if LATENCY_S * self.factor > CALL_TIMEOUT_S:
            raise AnswerLostError('silent')
        row = self.store.rows.get((table, part, first))
        return RowPage((row,) if row else (), self.store.version)

    async def transact(self, transaction, extra_wait_ms=0):
        limit_s = CALL_TIMEOUT_S + extra_wait_ms / 1000
        answers = []
        answered = trio.Event()
        if self.source.random() >= self.lost_requests_share:
            self.nursery.start_soon(
                self._execute, transaction, answers, answered
            )
        with trio.move_on_after(limit_s):
            await answered.wait()
        if not answers:
            raise AnswerLostError('silent')
        if answers[0] is None:
            raise PartitionBehindError('the store refuses (429)')
        return answers[0]

    async def _execute(self, transaction, answers, answered):
        part = transaction.part
        self.write_counts[part[0]] += 1
        latency_s = LATENCY_S * self.factor
        await trio.sleep(latency_s / 2)
        now_s = trio.current_time()
        start_s = max(now_s, self.busy_until_s.get(part, now_s))
        if start_s - now_s > MAX_QUEUE_S or part in self.full_parts:
            self.refused_count += 1
            answers.append(None)
        else:
            end_s = start_s + EXECUTION_S * self.factor
            self.busy_until_s[part] = end_s
            await trio.sleep(end_s - now_s)
            answers.append(self.store.apply(transaction))
        await trio.sleep(latency_s / 2)
        if self.source.random() >= self.lost_share:
            answered.set()
        else:
            answers.clear()


@attrs.define
class FakeUnit:
    """A unit as an instance sees it: its owner's newest lease."""

    is_owner: bool = False
    lease: LeaseRecord | None = None
    lease_seen_ms: int = 0
    state: types.SimpleNamespace = types.SimpleNamespace(
        ownership=types.SimpleNamespace(renewed_ms=0)
    )


class FakeShell:
    """What the intake uses of an instance's shell."""

    def __init__(self, store, features, number=0):
        self.config = types.SimpleNamespace(features=features)
        self.ports = types.SimpleNamespace(store=store)
        self.clock = get_now_ms
        self.silent_since_ms = None
        self.units = {
            unit: FakeUnit(is_owner=unit == number)
            for unit in range(UNIT_COUNT)
        }
        self.layout = LayoutRecord(
            {f'r{unit}': unit for unit in self.units},
            job_parts=features.job_part_count,
        )
        self.layout_known = trio.Event()
        self.layout_known.set()
        self.answer_times = AnswerTimes()
        self.sent_tasks = SentTasks()
        self.store_load = StoreLoad(
            self.answer_times,
            lambda: list_reported_s(self.units, self.clock),
            random.Random(number),
        )
        self.configuration = types.SimpleNamespace(
            find_queue=lambda host, path: QUEUE,
            max_header_bytes=10_000,
            max_body_bytes=100_000,
        )

    @property
    def store_answered_ms(self):
        """Feeds return all the time until the store becomes silent."""
        return self.silent_since_ms or self.clock()

    def wall(self):
        return get_now_ms() + WALL_OFFSET_MS

    def choose_unit(self, request, service):
        return 0

    def observe(self, *details):
        """Ignore the time that a call took."""


@attrs.define
class CallerOutcome:
    """What a caller got for one job: the statuses of its calls."""

    job_id: str
    began_s: float
    statuses: list = attrs.field(factory=list)
    took_s: float = 0.0
    max_call_s: float = 0.0


async def call(app, method, job_id, deadline_ms, body=BODY):
    """Send one request as the HTTP server does; return status and headers."""
    sent = []

    async def receive():
        return {'type': 'http.request', 'body': body}

    async def send(message):
        sent.append(message)

    headers = [
        (b'host', b'host'),
        (b'deadline-ms', str(int(deadline_ms)).encode()),
    ]
    scope = {'type': 'http', 'method': method, 'path': f'/q/{job_id}'}
    await app({**scope, 'headers': headers}, receive, send)
    return sent[0]['status'], dict(sent[0]['headers'])


@attrs.define
class IntakeSite:
    """Instances, owners that renew their leases, and callers."""

    nursery: trio.Nursery
    store: SlowStore
    shells: list
    apps: list
    source: random.Random = attrs.field(factory=lambda: random.Random(3))
    outcomes: list = attrs.field(factory=list)

    @classmethod
    def make(cls, nursery, features, count=30):
        store = SlowStore(nursery)
        shells = [FakeShell(store, features, one) for one in range(count)]
        apps = [CallersApp(JobIntake(shell), lambda: '') for shell in shells]
        site = cls(nursery, store, shells, apps)
        for unit in range(min(UNIT_COUNT, count)):
            nursery.start_soon(site._renew, unit)
        return site

    async def _renew(self, unit):
        """Renew a unit's lease, which tells the owner's response time."""
        shell = self.shells[unit]
        write = Transaction(
            f'u{unit}', (), (RowWrite('units', 'lease', b'lease'),)
        )
        while True:
            lease = LeaseRecord(
                's', 'i', answer_ms=int(shell.answer_times.usual_s * 1000)
            )
            try:
                await transact_with_retries(
                    self.store, write, 1.4, shell.answer_times
                )
            except UnavailableError:
                await trio.sleep(RENEW_EVERY_S)
                continue
            self.nursery.start_soon(self._publish, unit, lease)
            await trio.sleep(RENEW_EVERY_S)

    async def _publish(self, unit, lease):
        await trio.sleep(LEASES_READ_EVERY_S)
        for shell in self.shells:
            shell.units[unit].lease = lease
            shell.units[unit].lease_seen_ms = get_now_ms()

    async def submit_many(self, rate, duration_s, cancel_share=0.25):
        """Start callers at a rate."""
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            job_id = f'{self.source.getrandbits(64):016x}'
            self.nursery.start_soon(self._run_caller, job_id, cancel_share)
            await trio.sleep(self.source.expovariate(rate))

    async def _run_caller(self, job_id, cancel_share):
        """Call for a job as callers do: again only after 429 or 503."""
        began_s = trio.current_time()
        outcome = CallerOutcome(job_id, began_s)
        for number in range(MAX_CALLS):
            left_s = began_s + CALLER_TIME_S - trio.current_time()
            if left_s <= 0:
                break
            app = self.source.choice(self.apps)
            sent_s = trio.current_time()
            status, _ = await call(app, 'POST', job_id, left_s * 1000)
            took_s = trio.current_time() - sent_s
            outcome.max_call_s = max(outcome.max_call_s, took_s)
            outcome.statuses.append(status)
            if status not in {429, 503} or number == MAX_CALLS - 1:
                break
            await trio.sleep(CALLER_PAUSES_S[number])
        outcome.took_s = trio.current_time() - began_s
        self.outcomes.append(outcome)
        if outcome.statuses[-1] == 200 and self.source.random() < cancel_share:
            app = self.source.choice(self.apps)
            await call(app, 'DELETE', job_id, CALLER_TIME_S * 1000)

    def is_stored(self, job_id):
        return any(
            (table, key) == ('homes', job_id)
            for table, _, key in self.store.store.rows
        )

    def count_last_statuses(self):
        return collections.Counter(one.statuses[-1] for one in self.outcomes)

    def check_statuses(self):
        """Check that 200 and 503 tell the truth about each job."""
        stored = {
            key for table, _, key in self.store.store.rows if table == 'homes'
        }
        for one in self.outcomes:
            if one.statuses[-1] == 200:
                assert one.job_id in stored
            if set(one.statuses) <= {429, 503}:
                assert one.job_id not in stored

    def describe(self):
        """Return the figures of the callers' outcomes."""
        took_s = sorted(one.took_s for one in self.outcomes)
        return {
            'statuses': dict(self.count_last_statuses()),
            'p50_s': round(took_s[len(took_s) // 2], 2),
            'p99_s': round(took_s[len(took_s) * 99 // 100], 2),
            'writes': dict(self.store.write_counts),
            'refused': self.store.refused_count,
        }


OFF = Features()
ON = Features(job_part_count=64, bounds_writes=True)


def make_transaction(job_id='a', part='j0'):
    return Transaction(
        part,
        (RowCondition('homes', job_id, 0),),
        (RowWrite('homes', job_id, b'home'),),
    )
