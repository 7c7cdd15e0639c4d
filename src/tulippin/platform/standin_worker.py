"""In-memory stand-in of a worker, and the history of its runs."""

from __future__ import annotations

import typing as t

import attrs
import msgspec
import trio

from tulippin.exceptions import AnswerLostError
from tulippin.jobs.ports import (
    FencedOrderError,
    StartOrder,
    WorkerChangedError,
)
from tulippin.jobs.types import (
    EndedRun,
    OrderAnswer,
    OrderOutcome,
    RunningTask,
    RunOutcome,
    TaskKey,
    WorkerReport,
)
from tulippin.platform.wire import (
    MAX_LISTED_ENDS,
    CapacityBody,
    WorkerBody,
)

_MS_PER_S: t.Final = 1000
_LOAD_MILLICORES: t.Final = 1000.0
_FULL_PERCENT: t.Final = 100
# The time of day at the start of the virtual time.
_EPOCH_START_MS: t.Final = 1_700_000_000_000
# A reduced capacity applies to starts after this time: 3 s and a heartbeat.
_CAPACITY_GRACE_MS: t.Final = 4100


def get_now_ms() -> int:
    """Return the virtual time in milliseconds."""
    return int(trio.current_time() * _MS_PER_S)


def get_unix_ms() -> int:
    """Return the virtual time of day in Unix milliseconds."""
    return _EPOCH_START_MS + get_now_ms()


class TaskPlan(msgspec.Struct, frozen=True):
    """Behaviour of a simulated task, encoded as JSON in the spec of its job.

    Parameters
    ----------
    run_ms : int
        Duration of a run at full pace.
    slow_tasks : tuple of str
        Tasks whose runs take ``slow_factor`` times as long, as ``STEP.INDEX``.
    slow_workers : tuple of str
        Workers on which runs take ``slow_factor`` times as long.
    slow_factor : int
        How many times as long these take.
    failing_workers : tuple of str
        Workers on which its runs fail.
    fails_always : bool
        Its runs fail on all workers.
    lasts : bool
        It runs until it is stopped.
    tail_ms : float
        Tail latency that it reports as load if it ``lasts``.
    crashes_after_ms : int, optional
        Its worker crashes this long after each start of a run.
    cpu_millicores : int
        What a run takes of its worker's capacity.
    """

    run_ms: int = 300
    failing_workers: tuple[str, ...] = ()
    fails_always: bool = False
    lasts: bool = False
    tail_ms: float = 10.0
    crashes_after_ms: int | None = None
    cpu_millicores: int = 0
    slow_tasks: tuple[str, ...] = ()
    slow_workers: tuple[str, ...] = ()
    slow_factor: int = 1

    def compute_run_ms(self, key: TaskKey, worker_id: str) -> int:
        """Return the duration of a run of a task on a worker at full pace."""
        is_slow = (
            f'{key.step}.{key.index}' in self.slow_tasks
            or worker_id in self.slow_workers
        )
        factor = self.slow_factor if is_slow else 1
        return self.run_ms * factor


@attrs.frozen
class RunEvent:
    """Event in the history of a run."""

    at_ms: int
    kind: str
    worker_id: str
    key: TaskKey
    run: int
    outcome: RunOutcome | None = None


@attrs.define
class _Run:
    """Run on a worker; ``left_ms`` is its remaining work at ``since_ms``."""

    order: StartOrder
    plan: TaskPlan
    left_ms: float
    since_ms: int
    checkpoint: str
    pace_percent: int = 100
    started_ms: int = attrs.field(factory=get_now_ms)
    stops_at_ms: int | None = None

    @property
    def is_crash_due(self) -> bool:
        """Whether the time at which the run crashes its worker has come."""
        after_ms = self.plan.crashes_after_ms
        return after_ms is not None and (
            get_now_ms() >= self.started_ms + after_ms
        )

    def compute_left_ms(self) -> float:
        """Return the remaining work, as its duration at full pace."""
        worked_ms = (get_now_ms() - self.since_ms) * self.pace_percent
        return max(0.0, self.left_ms - worked_ms / _FULL_PERCENT)

    def set_pace(self, percent: int) -> None:
        """Change the share of its speed at which the run works."""
        self.left_ms = self.compute_left_ms()
        self.since_ms = get_now_ms()
        self.pace_percent = percent


def _get_progress(run: _Run) -> int:
    """Return the progress in percent; 100 for long-running tasks."""
    if run.plan.lasts:
        return _FULL_PERCENT
    left_ms = run.compute_left_ms()
    run_ms = max(1, run.plan.compute_run_ms(run.order.key, run.order.worker_id))
    return int(_FULL_PERCENT - left_ms * _FULL_PERCENT // run_ms)


@attrs.define
class StandinWorker:
    """Incarnation of a worker; its leases follow its own clock.

    Parameters
    ----------
    worker_id, address : str
        The id of the incarnation, and where it listens.
    history : list of RunEvent
        Receives the events of its runs.
    clock_offset_ms : int
        Offset of its clock from the virtual time.
    leaves_at_ms : int, optional
        When a draining worker shuts down with its remaining runs.
    unreachable_clients : set of str
        Clients that can't reach it; ``*`` stands for all.
    start_order_delay_s : float
        Delay with which start orders are carried out, without an answer.
    reports_load : bool
        It reports the load of its runs.
    tells_entry : bool
        It writes its entry into the worker list with each heartbeat.
    stop_ms : int
        Delay until a stopped run ends.
    lease_limit_ms : int
        Longest lease that it grants; a longer one is cut to it.
    rooms : list of (int, int)
        Earlier CPU capacities, each with the time at which it changed.
    born_ms : int
        The Unix time of its start.
    """

    worker_id: str
    address: str
    history: list[RunEvent]
    service: str = 'catalogue'
    room: CapacityBody = CapacityBody(16000, 64000, 0)
    labels: tuple[str, ...] = ('a', 'r1')
    failure_domain: str = 'hall'
    clock_offset_ms: int = 5000
    is_up: bool = True
    are_connections_closed: bool = False
    crashed_ms: int | None = None
    is_entry_removed: bool = False
    is_restarted: bool = False
    is_draining: bool = False
    leaves_at_ms: int | None = None
    unreachable_clients: set[str] = attrs.field(factory=set)
    start_order_delay_s: float = 0.0
    reports_load: bool = True
    publishes_entry: bool = True
    stop_ms: int = 0
    lease_limit_ms: int = 6000
    rooms: list[tuple[int, int]] = attrs.field(factory=list)
    born_ms: int = attrs.field(factory=get_unix_ms)
    runs: dict[tuple[TaskKey, int], _Run] = attrs.field(factory=dict)
    ended: list[EndedRun] = attrs.field(factory=list)
    highest_runs: dict[TaskKey, int] = attrs.field(factory=dict)
    fence: int = 0
    deadline_ms: int = 0
    last_number: int = 0
    acknowledged_number: int = 0
    started_count: int = 0
    _changed: trio.Event = attrs.field(factory=trio.Event)

    @property
    def clock_ms(self) -> int:
        """The worker's monotonic clock."""
        return get_now_ms() + self.clock_offset_ms

    def make_body(self, sequence: int) -> bytes:
        """Return the encoded entry for the worker list."""
        return msgspec.json.encode(
            WorkerBody(
                service=self.service,
                address=self.address,
                zone=self.failure_domain,
                version='v1',
                slots=8,
                state='draining' if self.is_draining else 'ready',
                cold_remaining_ms=0,
                sequence=sequence,
                capacity=self.room,
                labels=self.labels,
                clock_ms=self.clock_ms,
                remaining_ms=self._get_remaining_ms(),
                machine=f'm{sequence}',
                born_ms=self.born_ms,
            )
        )

    def _get_remaining_ms(self) -> int:
        if self.leaves_at_ms is None:
            return 0
        return max(0, self.leaves_at_ms - get_now_ms())

    def _record_event(
        self,
        kind: str,
        key: TaskKey,
        run: int,
        outcome: RunOutcome | None = None,
    ) -> None:
        self.history.append(
            RunEvent(get_now_ms(), kind, self.worker_id, key, run, outcome)
        )

    def _end_run(
        self, run_key: tuple[TaskKey, int], outcome: RunOutcome
    ) -> None:
        run = self.runs.pop(run_key)
        self.last_number += 1
        self.ended.append(
            EndedRun(
                self.last_number,
                run_key[0],
                run_key[1],
                outcome,
                run.checkpoint,
            )
        )
        self._record_event('ended', run_key[0], run_key[1], outcome)
        self._changed.set()
        self._changed = trio.Event()

    def tick(self) -> None:
        """End completed runs, and all runs once the lease has expired.

        A run that is due to crash the worker ends all its runs.
        """
        for key, number in self._list_crashing():
            self._record_event('crashed', key, number)
            self.crash()
        for run_key, run in list(self.runs.items()):
            outcome = self._get_outcome(run)
            if outcome is not None:
                self._end_run(run_key, outcome)

    def _list_crashing(self) -> list[tuple[TaskKey, int]]:
        """Return the first run that is due to crash the worker, if any."""
        crashing = [
            run_key for run_key, run in self.runs.items() if run.is_crash_due
        ]
        return crashing[:1]

    def _get_outcome(self, run: _Run) -> RunOutcome | None:
        """Return the outcome of a run, or None while it runs."""
        if self.clock_ms > self.deadline_ms:
            return RunOutcome.LAPSED
        if run.stops_at_ms is not None:
            is_stopped = get_now_ms() >= run.stops_at_ms
            return RunOutcome.STOPPED if is_stopped else None
        if run.plan.lasts or run.compute_left_ms():
            return None
        fails = run.plan.fails_always or (
            self.worker_id in run.plan.failing_workers
        )
        return RunOutcome.FAILED if fails else RunOutcome.DONE

    def resize(self, cpu_millicores: int) -> None:
        """Change the CPU capacity; the next heartbeat publishes it."""
        self.rooms.append((get_now_ms(), self.room.cpu))
        self.room = msgspec.structs.replace(self.room, cpu=cpu_millicores)

    def _is_over_capacity(self) -> bool:
        """Whether the runs exceed all capacities of the grace period."""
        since_ms = get_now_ms() - _CAPACITY_GRACE_MS
        earlier = [cpu for until_ms, cpu in self.rooms if until_ms > since_ms]
        taken = sum(run.plan.cpu_millicores for run in self.runs.values())
        return taken > max([self.room.cpu, *earlier])

    def crash(self, *, is_silent: bool = True) -> None:
        """Stop working; all runs are lost.

        A silent crash is that of a machine, which closes no connection.
        """
        self.are_connections_closed = not is_silent
        if not is_silent:
            self._changed.set()
        for key, run in list(self.runs):
            self._record_event('ended', key, run, RunOutcome.LAPSED)
            self._record_event('lost', key, run)
        self.runs.clear()
        self.is_up = False
        self.crashed_ms = get_now_ms()

    def fail_all(self) -> None:
        """End and report all runs as failed."""
        for run_key in list(self.runs):
            self._end_run(run_key, RunOutcome.FAILED)

    def handle_start_order(self, order: StartOrder) -> OrderAnswer:
        """Handle an order to start a run."""
        if order.worker_id != self.worker_id:
            return OrderAnswer(OrderOutcome.OTHER_INCARNATION)
        clock_ms = self.clock_ms
        if order.fencing_token < self.fence:
            return OrderAnswer(OrderOutcome.FENCED, clock_ms)
        self.fence = order.fencing_token
        if (order.key, order.run) in self.runs:
            return OrderAnswer(OrderOutcome.STARTED, clock_ms)
        if order.deadline_ms < clock_ms:
            return OrderAnswer(OrderOutcome.TOO_LATE, clock_ms)
        self._extend_lease(order.deadline_ms)
        if order.run <= self.highest_runs.get(order.key, 0):
            return OrderAnswer(OrderOutcome.SUPERSEDED, clock_ms)
        plan = msgspec.json.decode(order.spec, type=TaskPlan)
        self.highest_runs[order.key] = order.run
        self.runs[order.key, order.run] = _Run(
            order,
            plan,
            plan.compute_run_ms(order.key, order.worker_id),
            get_now_ms(),
            order.checkpoint,
        )
        self.started_count += 1
        self._record_event('started', order.key, order.run)
        if self._is_over_capacity():
            self._record_event('over_room', order.key, order.run)
        return OrderAnswer(OrderOutcome.STARTED, clock_ms)

    def handle_stop_order(
        self, worker_id: str, key: TaskKey, run: int, fence: int
    ) -> OrderAnswer:
        """Handle an order to stop a run."""
        if worker_id != self.worker_id:
            return OrderAnswer(OrderOutcome.OTHER_INCARNATION)
        if fence < self.fence:
            return OrderAnswer(OrderOutcome.FENCED, self.clock_ms)
        self.highest_runs[key] = max(run, self.highest_runs.get(key, 0))
        found = self.runs.get((key, run))
        if found is not None and found.stops_at_ms is None:
            found.stops_at_ms = get_now_ms() + self.stop_ms
            self.tick()
        return OrderAnswer(OrderOutcome.STARTED, self.clock_ms)

    async def handle_hold(
        self,
        worker_id: str,
        fence: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport:
        """Extend the lease; wait for a run to end, and return the report.

        Raises
        ------
        WorkerChangedError
            If the request is for another incarnation.
        FencedOrderError
            If a higher fencing token was received.
        AnswerLostError
            If the worker has crashed.
        """
        if worker_id != self.worker_id:
            raise WorkerChangedError('another incarnation')
        if fence < self.fence:
            raise FencedOrderError('a newer owner')
        self.fence = fence
        self.acknowledged_number = max(self.acknowledged_number, last_seen)
        self.tick()
        self._drop_acknowledged()
        if not self.is_up:
            raise AnswerLostError(f'{self.address} has crashed')
        if deadline_ms is not None:
            self._extend_lease(deadline_ms)
        if not self.ended and wait_ms:
            with trio.move_on_after(wait_ms / _MS_PER_S):
                await self._changed.wait()
        self._drop_acknowledged()
        return self._report()

    def _extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease to a time on its clock, up to the limit."""
        longest_ms = self.clock_ms + self.lease_limit_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def _drop_acknowledged(self) -> None:
        """Drop all ends up to the highest number that was acknowledged."""
        limit = self.acknowledged_number
        for ended in self.ended:
            if ended.number <= limit:
                self._record_event('noted', ended.key, ended.run, ended.outcome)
        self.ended = [one for one in self.ended if one.number > limit]

    def _get_load(self, plan: TaskPlan) -> float | None:
        if not self.reports_load:
            return None
        return plan.tail_ms if plan.lasts else _LOAD_MILLICORES

    def _get_paced_load(self, run: _Run) -> float | None:
        load = self._get_load(run.plan)
        if load is None or run.plan.lasts:
            return load
        return load * run.pace_percent / _FULL_PERCENT

    def _report(self) -> WorkerReport:
        running = tuple(
            RunningTask(
                key,
                run,
                one.checkpoint,
                _get_progress(one),
                self._get_paced_load(one),
            )
            for (key, run), one in self.runs.items()
        )
        listed = tuple(self.ended[:MAX_LISTED_ENDS])
        return WorkerReport(
            self.clock_ms,
            running,
            listed,
            self.born_ms,
            is_cut=len(listed) >= MAX_LISTED_ENDS,
        )
