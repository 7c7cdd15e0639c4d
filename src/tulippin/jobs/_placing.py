"""Which worker each ready task is started on, and when."""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import (
    _advice,
    _attempts,
    _choosing,
    _crashes,
    _evening,
    _feasibility,
    _headroom,
    _interference,
    _ownership,
    _preempting,
    _ranking,
    _ready,
    _slow_start,
    _starting,
    _unseen,
)
from tulippin.jobs._dispatch import Context
from tulippin.jobs.state import (
    Attempt,
    Job,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import Step, TaskKey
from tulippin.types import Resources

# The most starts decided in one go, so that answers are read in between.
_STARTS_PER_PASS: t.Final = 40
# How long long-running tasks wait for others, to be placed image by image:
# the jobs that stood before a start come within 100 ms.
_GATHER_MS: t.Final = 150
# Between two starts of overdue tasks ahead of all others, and how many of
# them are tried. Without a pause between, tasks that last took all room of
# an overloaded day: urgent work was served by 0.08 to 0.32 in place of 0.31
# to 0.41 of its worth.
_OVERDUE_EVERY_MS: t.Final = 300
_OVERDUE_TRIES: t.Final = 8
# Between two looks for jobs that have long had nothing running.
_SLOW_EVERY_MS: t.Final = 200
# Between two passes over the tasks for idle processors.
_IDLE_EVERY_MS: t.Final = 100
# Between two passes over the other tasks, but at a tick: events come in
# bursts, and each would look at the same workers again.
_EVERY_MS: t.Final = 15


def place(context: Context, *, is_tick: bool) -> None:
    """Start ready tasks, the most urgent first, wherever they fit.

    Tasks on idle processors wait for a tick: what they may take changes
    with tails and paces, not with single events.
    """
    state = context.state
    if not (context.may_order and _ownership.may_prolong(state)):
        return
    _crashes.doubt(_unseen.note_settled(state), state)
    if is_tick or state.is_sending_due:
        state.is_sending_due = False
        _starting.send_durable(context)
    is_soon = state.now_ms - state.placed_ms < _EVERY_MS
    if is_tick or (state.is_placing_due and not is_soon):
        state.is_placing_due = False
        state.placed_ms = state.now_ms
        _Pass(context, state.ready).run()
    is_due = state.now_ms - state.idle_placed_ms >= _IDLE_EVERY_MS
    if is_tick and is_due and state.ready_idle:
        state.idle_placed_ms = state.now_ms
        _Pass(context, state.ready_idle).run()


@attrs.define
class _Pass:
    """One look through a queue of ready steps."""

    context: Context
    queue: dict[_ready.StepKey, dict[TaskKey, Task]]
    budget: int = _STARTS_PER_PASS
    # Sizes of opportunistic tasks, by service and image, that no worker
    # takes beside what it serves.
    refused: dict[tuple[str, str], list[Resources]] = attrs.field(factory=dict)
    # Sizes of plain tasks, by service, for which no worker has room; those
    # of tasks that leave headroom apart.
    too_large: dict[tuple[str, bool], list[Resources]] = attrs.field(
        factory=dict
    )
    # Steps that wait for the others' rooms, once that was asked.
    held: frozenset[_ready.StepKey] | None = None

    def run(self) -> None:
        """Place step by step, as far as the budget goes."""
        state = self.context.state
        if self.queue is state.ready:
            self._place_overdue()
        self._place_ranked()
        if self.queue is state.ready_idle:
            self._place_slowly()

    def _place_ranked(self) -> None:
        state = self.context.state
        for kind in _ranking.sort_kinds(self.queue, state):
            job = state.jobs[kind[0]]
            if not _unseen.holds_back(job, job.request.steps[kind[2]]):
                self._place(job, kind)
            if self.budget <= 0:
                state.is_placing_due = True
                return

    def _place_slowly(self) -> None:
        """Begin a run of each job that has long had none."""
        state = self.context.state
        if state.now_ms - state.slow_placed_ms < _SLOW_EVERY_MS:
            return
        state.slow_placed_ms = state.now_ms
        waiting = _slow_start.list_waiting(state)
        for job, task in _slow_start.take_turn(waiting, state):
            step = job.request.steps[task.key.step]
            if _ready.has_runs(job) and not step.long_running:
                # Another of its steps has begun in this look.
                continue
            found = _slow_start.choose(job, task, step, state)
            if found is not None:
                self._start(job, step, task, found.worker, found.pace_percent)

    def _place_overdue(self) -> None:
        """Start one task that has waited long, before others.

        Short tasks go before long-running ones otherwise, and where they
        always wait they take all room that comes free.
        """
        state = self.context.state
        if state.now_ms - state.overdue_ms < _OVERDUE_EVERY_MS:
            return
        tried: set[_ready.StepKey] = set()
        for job, task in _ready.list_overdue(state):
            if len(tried) >= _OVERDUE_TRIES:
                return
            step = job.request.steps[task.key.step]
            is_unseen = _unseen.holds_back(job, step)
            if not is_unseen and self._start_overdue(job, task, tried):
                state.overdue_ms = state.now_ms
                return

    def _start_overdue(
        self, job: Job, task: Task, tried: set[_ready.StepKey]
    ) -> bool:
        """Start a task, unless none of its step or size finds a place."""
        state = self.context.state
        step = job.request.steps[task.key.step]
        kind = _ready.get_step_key(task.key)
        if kind in tried or self._is_too_large(job, step, task):
            return False
        if not _crashes.may_start(job, task, state):
            return False
        worker = _choosing.choose(job, task, step, state)
        if worker is None:
            if not task.crashes:
                tried.add(kind)
                self._note_too_large(job, step, task)
            return False
        self._start(job, step, task, worker)
        return True

    def _place(self, job: Job, kind: _ready.StepKey) -> None:
        step = job.request.steps[kind[2]]
        if self._is_gathering(job, kind):
            return
        if job.queue.advised:
            # Also where there is no hope in this pass: a job that has had
            # nothing running for long can begin only where it has a ticket.
            _advice.ask_if_due(job, kind, self.context)
        if self._is_hopeless(job, step):
            return
        state = self.context.state
        tasks = [
            task
            for task in self.queue[kind].values()
            if _crashes.may_start(job, task, state)
        ]
        if step.long_running:
            # No room that is kept from new tasks is kept from those that ran.
            tasks.sort(key=lambda task: not _ready.is_back(job, task))
        if step.gang:
            self.budget -= place_gang(job, step, tasks, self.context)
            return
        for task in tasks[: self.budget]:
            if not self._place_task(job, step, task):
                self._note_refused(job, step, task)
                break

    def _is_hopeless(self, job: Job, step: Step) -> bool:
        """Whether no larger task of the same image found a place."""
        if not step.opportunistic:
            return False
        place = job.queue.service, step.image
        return any(step.size.fits(size) for size in self.refused.get(place, ()))

    def _note_refused(self, job: Job, step: Step, task: Task) -> None:
        """Note that no worker takes tasks of a size beside what it serves.

        What only a label, a ticket or its own step keeps off tells nothing
        of others, and what lacks memory nothing of lighter ones.
        """
        if not (step.opportunistic and _has_no_bounds(step, job)):
            return
        state = self.context.state
        size = step.size
        if not _choosing.is_kept_by_memory(task, step, state):
            size = attrs.evolve(size, memory_mb=0)
        place = job.queue.service, step.image
        self.refused.setdefault(place, []).append(size)

    def _is_too_large(self, job: Job, step: Step, task: Task) -> bool:
        """Whether no larger task of the service found room in this pass."""
        if step.opportunistic:
            return False
        service = job.queue.service
        sizes = list(self.too_large.get((service, False), ()))
        if _headroom.leaves_headroom(job, task, step):
            sizes.extend(self.too_large.get((service, True), ()))
        return any(step.reserved.fits(size) for size in sizes)

    def _is_held_back(self, job: Job, step: Step, task: Task) -> bool:
        """Whether no worker would have headroom left beside a task."""
        if step.required_label:
            # What binds a task to its unit is looked at for each.
            return False
        if not _headroom.leaves_headroom(job, task, step):
            return False
        largest = _headroom.get_largest(
            job.queue.service, job.queue.priority, self.context.state
        )
        return largest is not None and step.size.cpu_millicores > largest

    def _note_too_large(self, job: Job, step: Step, task: Task) -> None:
        """Note that no worker has room for tasks of a size."""
        if _is_plain(step, job):
            leaves_room = _headroom.leaves_headroom(job, task, step)
            key = (job.queue.service, leaves_room)
            sizes = self.too_large.setdefault(key, [])
            sizes.append(step.reserved)

    def _is_gathering(self, job: Job, kind: _ready.StepKey) -> bool:
        """Whether others that come together with the job are awaited."""
        state = self.context.state
        if not job.request.steps[kind[2]].long_running:
            return False
        if state.now_ms - job.known_ms < _GATHER_MS:
            return True
        if self.held is None:
            self.held = _evening.list_held(state)
        return kind in self.held

    def _place_task(self, job: Job, step: Step, task: Task) -> bool:
        """Start a task; false if the step's others fit nowhere either."""
        state = self.context.state
        worker = None
        if self._is_held_back(job, step, task):
            # No stop of others would make it room that it may take.
            return False
        if not self._is_too_large(job, step, task):
            worker = _choosing.choose(job, task, step, state)
        if worker is None:
            _preempt(job, task, self.context)
            if task.crashes:
                # What keeps it off, as one under suspicion, keeps off no other.
                return True
            self._note_too_large(job, step, task)
            return bool(task.avoided)
        self._start(job, step, task, worker)
        return True

    def _start(
        self,
        job: Job,
        step: Step,
        task: Task,
        worker: Worker,
        pace_percent: int | None = None,
    ) -> None:
        """Start a task, at a pace where it is to begin slowly."""
        task.run_count += 1
        attempt = _starting.add_run(job, step, task, worker, self.context)
        if pace_percent is not None:
            attempt.is_slow_start = True
            attempt.wanted_percent = pace_percent
            _interference.forget_view(worker)
        _starting.send(attempt, job, self.context)
        self.budget -= 1


def _is_plain(step: Step, job: Job) -> bool:
    """Whether only its size keeps a step's task from a worker."""
    return not step.opportunistic and _has_no_bounds(step, job)


def _has_no_bounds(step: Step, job: Job) -> bool:
    """Whether a step's tasks may run on any worker that bears them."""
    is_free = not (step.required_label or step.max_per_worker)
    return is_free and not job.queue.advised


def place_gang(
    job: Job, step: Step, tasks: list[Task], context: Context
) -> int:
    """Start all tasks of a gang under one run, or none of them.

    Returns
    -------
    int
        How many runs were started.
    """
    if len(tasks) < step.task_count:
        # Members of the last run are still to end.
        return 0
    for labels in _iter_racks(step, context.state):
        attempts = _add_all(job, step, tasks, labels, context)
        for attempt in attempts:
            _starting.send(attempt, job, context)
        if attempts:
            return len(attempts)
    return 0


def _iter_racks(step: Step, state: SchedulerState) -> t.Iterator[str]:
    """Iterate over racks to try, then any place at all."""
    if step.same_rack:
        racks = {worker.entry.rack for worker in state.workers.values()}
        yield from sorted(racks - {''})
    yield ''


def _add_all(
    job: Job, step: Step, tasks: list[Task], rack: str, context: Context
) -> list[Attempt]:
    """Reserve a place for each member; reserve nothing if one has none."""
    state = context.state
    run_count = max(task.run_count for task in tasks) + 1
    checkpoint = max(task.checkpoint for task in tasks)
    added: list[Attempt] = []
    for task in tasks:
        worker = _choosing.choose(job, task, step, state, rack)
        if worker is None:
            for attempt in added:
                _attempts.drop_attempt(attempt, context)
                _ready.add(job.tasks[attempt.key], step, state)
            return []
        task.run_count = run_count
        task.checkpoint = checkpoint
        added.append(_starting.add_run(job, step, task, worker, context))
    return added


def _preempt(job: Job, task: Task, context: Context) -> None:
    step = job.request.steps[task.key.step]
    if job.queue.priority != 0 or step.opportunistic:
        return
    _preempting.make_room(
        job,
        task,
        lambda worker: _feasibility.is_open(
            worker, job, task, step, context.state
        ),
        context,
    )
