"""Places ready tasks on workers.

The scheduler's core calls ``place`` after events and at each tick; it walks
through the queues of ready steps and starts the tasks that fit.
"""

from __future__ import annotations

import collections
import itertools
import typing as t

import attrs

from tulippin.jobs import (
    _advice,
    _crashes,
    _gangs,
    _headroom,
    _interference,
    _ownership,
    _preempting,
    _ranking,
    _ready_queues,
    _rebalancing,
    _slow_start,
    _start_window,
    _starting,
    _unconfirmed_runs,
    _worker_selection,
    _yielding,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs._lost_starts import count_lost_starts
from tulippin.jobs.state import (
    Job,
    Task,
    Worker,
)
from tulippin.jobs.types import Step, TaskKey
from tulippin.types import Resources

# Delay before long-running tasks are placed, so that tasks of one image are
# placed together: jobs that existed before a restart arrive within 100 ms.
_GATHER_DELAY_MS: t.Final = 150
# Interval between two starts of overdue tasks ahead of all others, and how
# many steps are tried. Without the interval, long-running tasks took all free
# capacity under overload: urgent work earned 0.08 to 0.32 of its value instead
# of 0.31 to 0.41.
_OVERDUE_INTERVAL_MS: t.Final = 300
_MAX_OVERDUE_STEPS: t.Final = 8
# Interval between two scans for jobs that have had nothing running for long.
_SLOW_START_INTERVAL_MS: t.Final = 200
# Jobs tried ahead of all others in such a scan, of which one is started.
_MAX_FIRST_TRIES: t.Final = 8
# Minimum interval between two passes over the other tasks, except at a tick:
# events come in bursts, and each would scan the same workers again.
_PASS_INTERVAL_MS: t.Final = 15


def place(context: Context, *, is_tick: bool) -> None:
    """Start ready tasks that fit on a worker, the most urgent first.

    Does nothing while this instance may not start runs. Opportunistic tasks
    are placed at ticks only: the idle processors that they may use change with
    latency tails and paces, not with single events.

    Parameters
    ----------
    context : Context
        Holds the state, and takes the effects.
    is_tick : bool
        Whether the call comes from the periodic tick.
    """
    state = context.state
    if not (context.may_send_orders and _ownership.may_extend_leases(state)):
        return
    count_lost_starts(_unconfirmed_runs.end_worker_wait(context), state)
    if is_tick or state.is_sending_due:
        state.is_sending_due = False
        _starting.send_durable(context)
    is_recent = state.now_ms - state.placed_ms < _PASS_INTERVAL_MS
    if is_tick or (state.is_placing_due and not is_recent):
        state.is_placing_due = False
        state.placed_ms = state.now_ms
        _place_queue(state.ready, context)
    is_due = (
        state.now_ms - state.opportunistic_placed_ms
        >= _ready_queues.OPPORTUNISTIC_PASS_INTERVAL_MS
    )
    if is_tick and is_due and state.ready_opportunistic:
        state.opportunistic_placed_ms = state.now_ms
        _place_queue(state.ready_opportunistic, context)


def _place_queue(
    queue: dict[_ready_queues.StepKey, dict[TaskKey, Task]], context: Context
) -> None:
    """Run a pass over a queue, unless too many orders are under way."""
    budget = _start_window.get_budget(context.state)
    if budget:
        _PlacementPass(context, queue, budget).run()
    else:
        context.state.is_placing_due = True


class _Restriction(t.NamedTuple):
    """What the lateness of a job restricts its tasks to."""

    is_worthless: bool
    slack_share: float

    def includes(self, other: _Restriction) -> bool:
        """Whether every worker closed by another restriction is closed too."""
        return (
            self.is_worthless >= other.is_worthless
            and self.slack_share <= other.slack_share
        )


@attrs.define
class _PlacementPass:
    """One pass over a queue of ready steps.

    It remembers which sizes found no worker, so that no equal or larger task
    is tried again within the pass.
    """

    context: Context
    queue: dict[_ready_queues.StepKey, dict[TaskKey, Task]]
    budget: int = _start_window.MAX_STARTS_PER_PASS
    # Starts of the pass, by job.
    start_counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    # Sizes of opportunistic tasks, by service and image, that no worker
    # accepts next to the tasks that it serves, with the restriction under
    # which they were rejected.
    rejected_sizes: dict[
        tuple[str, str], list[tuple[_Restriction, Resources]]
    ] = attrs.field(factory=dict)
    # Runs that yield to opportunistic tasks; listed on first use.
    victims: _yielding.Victims | None = None
    # Sizes of unconstrained tasks that no worker has capacity for, by service
    # and by whether the task has to leave headroom.
    unplaceable_sizes: dict[tuple[str, bool], list[Resources]] = attrs.field(
        factory=dict
    )
    # Steps that are held back for rebalancing; computed on first use.
    rebalancing_steps: frozenset[_ready_queues.StepKey] | None = None

    def run(self) -> None:
        """Place the steps of the queue until the budget is used up."""
        state = self.context.state
        if self.queue is state.ready:
            self._place_overdue()
            self._place_ranked()
            return
        waiting = self._list_waiting()
        self._place_longest_waiting(waiting)
        self._place_ranked()
        self._place_slow_starts(waiting)

    def _place_ranked(self) -> None:
        state = self.context.state
        ranked = _ranking.sort_steps(self.queue, state)
        step_keys = _start_window.order_by_turn(ranked, state)
        reached_count = 0
        for step_key in step_keys:
            if self.budget <= 0:
                state.is_placing_due = True
                break
            reached_count += 1
            job = state.jobs[step_key[0]]
            if not _unconfirmed_runs.must_await_workers(
                job, job.request.steps[step_key[2]]
            ):
                self._place_step(job, step_key)
        _start_window.note_pass(step_keys, reached_count, state)

    def _list_waiting(self) -> list[tuple[Job, Task]]:
        """Return tasks of jobs that have had no run for long, at intervals."""
        state = self.context.state
        if (
            state.now_ms - state.slow_starts_checked_ms
            < _SLOW_START_INTERVAL_MS
        ):
            return []
        state.slow_starts_checked_ms = state.now_ms
        return _slow_start.list_waiting(state)

    def _place_longest_waiting(self, waiting: list[tuple[Job, Task]]) -> None:
        """Start one job that has had no run for long ahead of all others.

        Under overload the ranked steps, of which some have several runs
        already, take each place that becomes free.
        """
        state = self.context.state
        for job, task in waiting[:_MAX_FIRST_TRIES]:
            if not _slow_start.precedes_others(job, task, state):
                return
            step = job.request.steps[task.key.step]
            worker = _worker_selection.choose(job, task, step, state)
            if worker is not None:
                self._start(job, step, task, worker)
                return

    def _place_slow_starts(self, waiting: list[tuple[Job, Task]]) -> None:
        """Start a run at a low pace for jobs that have had none for long."""
        state = self.context.state
        for job, task in _slow_start.select_round(waiting, state):
            step = job.request.steps[task.key.step]
            is_queued = task.key in self.queue.get(
                _ready_queues.get_step_key(task.key), {}
            )
            if not (is_queued and _slow_start.has_claim(job, task, state)):
                # The job was started in this pass.
                continue
            choice = _slow_start.choose(job, task, step, state)
            if choice is not None:
                self._start(job, step, task, choice.worker, choice)

    def _place_overdue(self) -> None:
        """Start one overdue long-running task ahead of all others.

        Short tasks otherwise precede long-running ones, and where some are
        always waiting they take all capacity that becomes free.
        """
        state = self.context.state
        if state.now_ms - state.overdue_started_ms < _OVERDUE_INTERVAL_MS:
            return
        tried_steps: set[_ready_queues.StepKey] = set()
        for job, task in _ready_queues.list_overdue(state):
            if len(tried_steps) >= _MAX_OVERDUE_STEPS:
                return
            step = job.request.steps[task.key.step]
            is_withheld = _unconfirmed_runs.must_await_workers(job, step)
            if not is_withheld and self._start_overdue(job, task, tried_steps):
                state.overdue_started_ms = state.now_ms
                return

    def _start_overdue(
        self, job: Job, task: Task, tried_steps: set[_ready_queues.StepKey]
    ) -> bool:
        """Try to start an overdue task; return whether it was started.

        Steps for which no worker was found are added to ``tried_steps``, and
        their other tasks are skipped.
        """
        state = self.context.state
        step = job.request.steps[task.key.step]
        step_key = _ready_queues.get_step_key(task.key)
        if step_key in tried_steps or self._exceeds_free_capacity(
            job, step, task
        ):
            return False
        if not _crashes.may_start(job, task, state):
            return False
        worker = _worker_selection.choose(job, task, step, state)
        if worker is None:
            if not task.crashes:
                tried_steps.add(step_key)
                self._record_unplaceable_size(job, step, task)
            return False
        self._start(job, step, task, worker)
        return True

    def _place_step(self, job: Job, step_key: _ready_queues.StepKey) -> None:
        """Start tasks of one step as far as workers and budget allow."""
        step = job.request.steps[step_key[2]]
        if self._is_delayed(job, step_key):
            return
        if job.queue.advised:
            # Needed even if the task fits nowhere in this pass: a slow start
            # requires a ticket for the worker.
            _advice.ask_if_due(job, step_key, self.context)
        if self._exceeds_rejected_size(job, step, step_key):
            return
        startable = self._iter_startable(job, step, step_key)
        if step.gang:
            self.budget -= _gangs.place(
                job, step, list(startable), self.context
            )
            return
        # Tasks leave the queue as they are started.
        tries = itertools.islice(startable, _start_window.MAX_STARTS_PER_PASS)
        for task in list(tries):
            if not self._has_share(job):
                self.context.state.is_placing_due = True
                return
            if not self._place_task(job, step, task):
                self._record_rejected_size(job, step, task)
                return

    def _iter_startable(
        self, job: Job, step: Step, step_key: _ready_queues.StepKey
    ) -> t.Iterator[Task]:
        """Yield the waiting tasks of a step that may be started."""
        tasks: t.Iterable[Task] = self.queue[step_key].values()
        if step.long_running:
            # Tasks that ran before don't have to leave headroom; try them
            # first.
            tasks = sorted(
                tasks, key=lambda task: not _ready_queues.ran_before(job, task)
            )
        for task in tasks:
            if _crashes.may_start(job, task, self.context.state):
                yield task

    def _has_share(self, job: Job) -> bool:
        """Whether the pass may start another task of a job."""
        started_count = self.start_counts[job.job_id]
        is_below_share = started_count < _start_window.MAX_JOB_STARTS_PER_PASS
        return is_below_share and self.budget > 0

    def _exceeds_rejected_size(
        self, job: Job, step: Step, step_key: _ready_queues.StepKey
    ) -> bool:
        """Whether a task of the image that is no larger was rejected."""
        if not step.opportunistic:
            return False
        rejected = self.rejected_sizes.get((job.queue.service, step.image))
        if not rejected:
            return False
        task = next(iter(self.queue[step_key].values()))
        restriction = self._get_restriction(job, task)
        return any(
            step.size.fits(size) and restriction.includes(rejected_under)
            for rejected_under, size in rejected
        )

    def _get_restriction(self, job: Job, task: Task) -> _Restriction:
        """Return which workers are closed to a task by its job's lateness."""
        state = self.context.state
        step_key = _ready_queues.get_step_key(task.key)
        return _Restriction(
            _ranking.is_worthless(job, step_key, state),
            _interference.get_slack_share(task, state),
        )

    def _record_rejected_size(self, job: Job, step: Step, task: Task) -> None:
        """Record that no worker accepts an opportunistic task of this size.

        A task that is limited by a label, a ticket or its own step says
        nothing about others. Unless memory was the obstacle, the size is
        recorded without memory, so that it also covers lighter tasks.
        """
        if not (step.opportunistic and _is_unconstrained(step, job)):
            return
        state = self.context.state
        size = step.size
        if not _worker_selection.is_limited_by_memory(task, step, state):
            size = attrs.evolve(size, memory_mb=0)
        place = job.queue.service, step.image
        restriction = self._get_restriction(job, task)
        self.rejected_sizes.setdefault(place, []).append((restriction, size))

    def _exceeds_free_capacity(self, job: Job, step: Step, task: Task) -> bool:
        """Whether no worker had capacity for a task that is no larger."""
        if step.opportunistic:
            return False
        service = job.queue.service
        sizes = list(self.unplaceable_sizes.get((service, False), ()))
        if _headroom.leaves_headroom(job, task, step):
            sizes.extend(self.unplaceable_sizes.get((service, True), ()))
        return any(step.reserved.fits(size) for size in sizes)

    def _exceeds_headroom(self, job: Job, step: Step, task: Task) -> bool:
        """Whether every worker would lack headroom if the task started."""
        if step.required_label:
            # Whether a label binds a task to this unit is checked per task.
            return False
        if not _headroom.leaves_headroom(job, task, step):
            return False
        largest = _headroom.get_largest(
            job.queue.service, job.queue.priority, self.context.state
        )
        return largest is not None and step.size.cpu_millicores > largest

    def _record_unplaceable_size(
        self, job: Job, step: Step, task: Task
    ) -> None:
        """Record that no worker has capacity for a task of this size."""
        if _is_limited_by_size_only(step, job):
            must_leave_headroom = _headroom.leaves_headroom(job, task, step)
            key = (job.queue.service, must_leave_headroom)
            sizes = self.unplaceable_sizes.setdefault(key, [])
            sizes.append(step.reserved)

    def _is_delayed(self, job: Job, step_key: _ready_queues.StepKey) -> bool:
        """Whether a long-running step waits for its batch or rebalancing."""
        state = self.context.state
        if not job.request.steps[step_key[2]].long_running:
            return False
        if state.now_ms - job.first_seen_ms < _GATHER_DELAY_MS:
            return True
        if self.rebalancing_steps is None:
            self.rebalancing_steps = _rebalancing.list_held_steps(state)
        return step_key in self.rebalancing_steps

    def _place_task(self, job: Job, step: Step, task: Task) -> bool:
        """Start a task, or preempt others for it.

        Returns
        -------
        bool
            False if no other task of the step would find a worker either.
        """
        state = self.context.state
        worker = None
        if self._exceeds_headroom(job, step, task):
            # Preemption frees no capacity that the task may use.
            return False
        if not self._exceeds_free_capacity(job, step, task):
            worker = _worker_selection.choose(job, task, step, state)
        if worker is None:
            if _start_window.awaits_answers(step, state):
                state.is_placing_due = True
                return False
            if _worker_selection.awaits_proven_worker(job, task, step, state):
                # It says nothing about other tasks, and others needn't stop.
                return True
            _preempting.preempt_for(job, task, self.context)
            self._make_room(job, step, task)
            if task.crashes:
                # A suspected task has restrictions that others don't have.
                return True
            self._record_unplaceable_size(job, step, task)
            return bool(task.avoided)
        self._start(job, step, task, worker)
        return True

    def _make_room(self, job: Job, step: Step, task: Task) -> None:
        """Stop runs of no value for an opportunistic task of some value."""
        state = self.context.state
        if not (
            step.opportunistic and state.config.features.orders_by_progress
        ):
            return
        step_key = _ready_queues.get_step_key(task.key)
        if _ranking.is_worthless(job, step_key, state):
            return
        if self.victims is None:
            self.victims = _yielding.list_victims(state)
        _yielding.make_room(job, task, step, self.victims, self.context)

    def _start(
        self,
        job: Job,
        step: Step,
        task: Task,
        worker: Worker,
        slow_start: _slow_start.SlowStart | None = None,
    ) -> None:
        """Start a task, as a slow start if one is given."""
        task.run_count += 1
        attempt = _starting.add_run(job, step, task, worker, self.context)
        if slow_start is not None:
            attempt.is_slow_start = True
            attempt.target_pace_percent = slow_start.pace_percent
            _interference.invalidate_slack(worker)
        _starting.send(attempt, job, self.context)
        self.budget -= 1
        self.start_counts[job.job_id] += 1


def _is_limited_by_size_only(step: Step, job: Job) -> bool:
    """Whether a step's tasks reserve capacity and are limited by size only."""
    return not step.opportunistic and _is_unconstrained(step, job)


def _is_unconstrained(step: Step, job: Job) -> bool:
    """Whether a step has no label, no per-worker limit and no advice."""
    is_free = not (step.required_label or step.max_per_worker)
    return is_free and not job.queue.advised
