"""An in-memory stand-in for a worker and the services that run on it."""

from __future__ import annotations

import random
import typing as t

import attrs
import trio

from tulippin.exceptions import FencedError, UnavailableError
from tulippin.messages import RequestOutcome, ServiceRequest
from tulippin.ports import EndpointReply
from tulippin.types import OutcomeKind, Resources, WorkerInfo
from tulippin.worker_types import (
    AttemptKey,
    RunReport,
    RunState,
    StartTask,
    UsageSample,
    WorkerReport,
    WorkerSync,
)

_MS_PER_S: t.Final = 1000
_OK_STATUS: t.Final = 200

Recorder = t.Callable[..., None]


@attrs.define
class WorkerFaults:
    """Faults that a worker injects at present.

    Parameters
    ----------
    fails_everything : bool
        Every task that starts on the worker fails immediately.
    truncate_share, swap_share, break_share, late_share : float
        Shares of answers that are truncated, that belong to another
        request, whose connection breaks, and that are delayed.
    late_s : float
        Delay of a delayed answer.
    use_ratio : float
        Actual use of tasks, relative to what they declare.
    report_lag_ms : int
        Age of the usage samples in a report.
    checkpoint_every_ms : int
        Interval of the checkpoints that a task writes; 0 for none.
    """

    fails_everything: bool = False
    truncate_share: float = 0.0
    swap_share: float = 0.0
    break_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 5.0
    use_ratio: float = 1.0
    report_lag_ms: int = 5000
    checkpoint_every_ms: int = 1000


@attrs.define
class Run:
    """One attempt of a task on the worker."""

    task: StartTask
    began_ms: int
    state: RunState = RunState.RUNNING
    lease_until_ms: int = 0
    ended_ms: int = 0
    progress_ms: float = 0.0
    progressed_at_ms: int = 0
    throttled: bool = False
    checkpoint_ms: int = 0


@attrs.define
class FakeWorker:
    """A worker with leases, slots, delayed usage samples and faults.

    ``add_entry`` is called with each event, for the history. Each batch
    run on the worker slows a service by ``slowdowns[service, job class]``,
    and by half of that if it is throttled. A throttled run progresses at
    half speed.
    """

    info: WorkerInfo
    add_entry: Recorder
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))
    clock_offset_ms: int = 0
    service_ms: float = 5.0
    slowdowns: dict[tuple[str, str], float] = attrs.field(factory=dict)
    faults: WorkerFaults = attrs.field(factory=WorkerFaults)
    incarnation: str = 'one'
    alive: bool = True
    leaving: bool = False
    epoch: int = 0
    sequence: int = 0
    runs: dict[tuple[str, int], Run] = attrs.field(factory=dict)
    busy_slots: int = 0
    last_reply: EndpointReply | None = None
    usage_history: list[tuple[int, tuple[UsageSample, ...]]] = attrs.field(
        factory=list
    )

    @property
    def clock_ms(self) -> int:
        """Return the time of the worker's own clock."""
        return int(trio.current_time() * _MS_PER_S) + self.clock_offset_ms

    def restart(self, incarnation: str) -> None:
        """Start a new incarnation, without any runs and by a new clock."""
        self.advance()
        self._end_all(RunState.LAPSED)
        self.runs.clear()
        self.alive = True
        self.leaving = False
        self.incarnation = incarnation
        self.clock_offset_ms -= self.clock_ms
        self.epoch = self.sequence = self.busy_slots = 0
        self.usage_history.clear()

    def crash(self) -> None:
        """Stop the worker and lose all its runs."""
        self.advance()
        self._end_all(RunState.LAPSED)
        self.runs.clear()
        self.alive = False

    def _end_all(self, state: RunState) -> None:
        for run in self.runs.values():
            if run.state is RunState.RUNNING:
                self._end(run, state, self.clock_ms)

    # -- control -----------------------------------------------------------

    def sync(self, message: WorkerSync) -> WorkerReport:
        """Apply a sync and return a report.

        Raises ``FencedError`` for a lower epoch, and ``UnavailableError``
        if the worker is down or has received a later sync of the epoch.
        """
        if not self.alive:
            raise UnavailableError('the worker is down')
        if message.epoch < self.epoch:
            raise FencedError('a higher epoch is at work')
        if message.epoch == self.epoch and message.sequence <= self.sequence:
            raise UnavailableError('the sync was overtaken')
        self.epoch, self.sequence = message.epoch, message.sequence
        self.advance()
        self._renew(message)
        for key in message.stop:
            self._stop(key)
        if message.incarnation == self.incarnation:
            for task in message.start:
                self._start(task, message.lease_until_ms)
        self._throttle(message.throttle)
        for key in message.forget:
            run = self.runs.get((key.task_id, key.attempt))
            if run is not None and run.state is not RunState.RUNNING:
                del self.runs[key.task_id, key.attempt]
        return self._make_report()

    def _renew(self, message: WorkerSync) -> None:
        for key in message.renew:
            run = self.runs.get((key.task_id, key.attempt))
            if run is not None:
                run.lease_until_ms = max(
                    run.lease_until_ms, message.lease_until_ms
                )

    def _stop(self, key: AttemptKey) -> None:
        run = self.runs.get((key.task_id, key.attempt))
        if run is not None and run.state is RunState.RUNNING:
            run.checkpoint_ms = int(run.progress_ms)
            self._end(run, RunState.STOPPED, self.clock_ms)

    def _start(self, task: StartTask, lease_until_ms: int) -> None:
        key = (task.task_id, task.attempt)
        if key in self.runs or lease_until_ms <= self.clock_ms:
            return
        done_ms = int(task.checkpoint.rpartition('@')[2] or 0)
        now_ms = self.clock_ms
        run = Run(
            task,
            now_ms,
            lease_until_ms=lease_until_ms,
            progress_ms=done_ms,
            progressed_at_ms=now_ms,
            checkpoint_ms=done_ms,
        )
        self.runs[key] = run
        self.add_entry(
            'task_began',
            worker_id=self.info.worker_id,
            task_id=task.task_id,
            attempt=task.attempt,
            size=task.size,
            resumed_ms=done_ms,
            service=task.service,
        )
        if self.faults.fails_everything:
            self._end(run, RunState.FAILED, now_ms)

    def _throttle(self, keys: t.Iterable[AttemptKey]) -> None:
        throttled = {(key.task_id, key.attempt) for key in keys}
        for key, run in self.runs.items():
            run.throttled = key in throttled

    # -- progress ------------------------------------------------------------

    def advance(self) -> None:
        """Update all runs to the present: progress, ends, lapsed leases."""
        now_ms = self.clock_ms
        for run in self.runs.values():
            if run.state is not RunState.RUNNING:
                continue
            until_ms = min(now_ms, run.lease_until_ms)
            speed = 0.5 if run.throttled else 1.0
            gained_ms = max(0, until_ms - run.progressed_at_ms) * speed
            required_ms = run.task.run_ms
            has_end = not run.task.service and required_ms > 0
            if has_end and run.progress_ms + gained_ms >= required_ms:
                missing_ms = (required_ms - run.progress_ms) / speed
                end_ms = run.progressed_at_ms + int(missing_ms)
                run.progress_ms = required_ms
                self._end(run, RunState.DONE, end_ms)
                continue
            run.progress_ms += gained_ms
            run.progressed_at_ms = until_ms
            interval_ms = self.faults.checkpoint_every_ms
            if interval_ms:
                run.checkpoint_ms = max(
                    run.checkpoint_ms,
                    int(run.progress_ms) // interval_ms * interval_ms,
                )
            if now_ms >= run.lease_until_ms:
                self._end(run, RunState.LAPSED, run.lease_until_ms)

    def _end(self, run: Run, state: RunState, at_ms: int) -> None:
        run.state = state
        run.ended_ms = at_ms
        self.add_entry(
            'task_ended',
            worker_id=self.info.worker_id,
            task_id=run.task.task_id,
            attempt=run.task.attempt,
            state=state.value,
            checkpoint_ms=run.checkpoint_ms,
            at_ms=at_ms - self.clock_offset_ms,
        )

    def _make_report(self) -> WorkerReport:
        samples = self._sample_usage()
        self.usage_history.append((self.clock_ms, samples))
        lag_ms = self.faults.report_lag_ms
        visible = [
            entry
            for entry in self.usage_history
            if entry[0] <= self.clock_ms - lag_ms
        ]
        usage: tuple[UsageSample, ...] = ()
        age_ms = 0
        if visible:
            measured_ms, usage = visible[-1]
            age_ms = self.clock_ms - measured_ms
            self.usage_history = [
                entry for entry in self.usage_history if entry[0] > measured_ms
            ]
        return WorkerReport(
            self.info.worker_id,
            self.incarnation,
            self.clock_ms,
            tuple(self._report_run(run) for run in self.runs.values()),
            self.busy_slots,
            self.leaving,
            usage,
            age_ms,
        )

    def _report_run(self, run: Run) -> RunReport:
        checkpoint = f'{run.task.task_id}@{run.checkpoint_ms}'
        if not run.checkpoint_ms:
            checkpoint = ''
        return RunReport(
            run.task.task_id,
            run.task.attempt,
            run.state,
            checkpoint,
            int(run.progress_ms) - run.checkpoint_ms,
            run.throttled,
        )

    def _sample_usage(self) -> tuple[UsageSample, ...]:
        ratio = self.faults.use_ratio
        return tuple(
            UsageSample(
                run.task.task_id,
                run.task.attempt,
                Resources(
                    int(run.task.size.cpu_millicores * ratio),
                    int(run.task.size.memory_mb * ratio),
                    run.task.size.accelerator_count,
                ),
                self.get_slowdown(run.task.job_class)
                if run.task.service
                else 1.0,
            )
            for run in self.runs.values()
            if run.state is RunState.RUNNING
        )

    def get_slowdown(self, service: str) -> float:
        """Return the factor by which batch runs slow a service at present."""
        total = 1.0
        for run in self.runs.values():
            if run.state is RunState.RUNNING and not run.task.service:
                excess = self.slowdowns.get((service, run.task.job_class), 0.0)
                total += excess / 2 if run.throttled else excess
        return total

    # -- services --------------------------------------------------------------

    def _runs_service(self, service: str) -> bool:
        self.advance()
        return any(
            run.task.service
            and run.task.job_class == service
            and run.state is RunState.RUNNING
            for run in self.runs.values()
        )

    async def call(self, request: ServiceRequest, epoch: int) -> EndpointReply:
        """Serve a request, or refuse it without running it."""
        refusal = self._find_refusal(request, epoch)
        if refusal:
            return EndpointReply(
                RequestOutcome(OutcomeKind.NOT_RUN, refusal),
                leaving=self.leaving,
            )
        self.busy_slots += 1
        self.add_entry(
            'request_ran',
            worker_id=self.info.worker_id,
            request_id=request.request_id,
            busy_slots=self.busy_slots,
            leaving=self.leaving,
        )
        try:
            slowdown = self.get_slowdown(request.service)
            jitter = self.rng.expovariate(1.0)
            await trio.sleep(
                self.service_ms * slowdown * (0.5 + jitter / 2) / _MS_PER_S
            )
            if self.rng.random() < self.faults.late_share:
                await trio.sleep(self.faults.late_s)
        finally:
            self.busy_slots = max(0, self.busy_slots - 1)
        if not self.alive:
            raise UnavailableError('the worker died')
        if self.rng.random() < self.faults.break_share:
            raise UnavailableError('the connection broke')
        return self._make_reply(request)

    def _make_reply(self, request: ServiceRequest) -> EndpointReply:
        body = f'{request.service}:{request.request_id}:{request.body}'
        reply = EndpointReply(
            RequestOutcome(OutcomeKind.ANSWERED, '', _OK_STATUS, body),
            self.leaving,
            request.request_id,
            len(body.encode()),
        )
        last, self.last_reply = self.last_reply, reply
        if self.rng.random() < self.faults.swap_share and last:
            return last
        if self.rng.random() < self.faults.truncate_share:
            short = attrs.evolve(reply.outcome, body=body[: len(body) // 2])
            return attrs.evolve(reply, outcome=short)
        return reply

    def _find_refusal(self, request: ServiceRequest, epoch: int) -> str:
        if epoch < self.epoch:
            return 'fenced'
        if self.leaving:
            return 'leaving'
        if not self._runs_service(request.service):
            return 'refused'
        if self.busy_slots >= self.info.slot_count:
            self.add_entry('slots_refused', worker_id=self.info.worker_id)
            return 'refused'
        return ''
