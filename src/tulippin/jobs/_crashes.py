"""Tasks that crash the workers that start them, told from those beside them.

A worker that crashes takes along all that runs there, and most of it is
sound. A task that crashes each worker costs one at each start, every 3.5 s:
two such jobs took 144 workers in 100 s where nothing was counted. So it is
kept, by task and by worker's life, which runs had begun soon before their
worker died, and what is under suspicion is started apart:

- A run that its worker told for five seconds is above suspicion; so is one
  on a worker that left as planned.
- A task under which a worker died within a second is started where no other
  such run has yet to prove itself, and where least is lost. After a second
  crash nothing else is started there meanwhile, and no other suspect of its
  job at all. That parts the one that crashes from those that died with it:
  with the next crash it alone has one more.
- The third crash gives the job up if two of them came while nothing else had
  just begun on the worker, the fourth if one did, and the fifth in any case,
  of those whose run or whose worker was seen after the order.
  With two, a sound task would do whose worker died beside a crashing one and
  whose next worker dies by itself; each more costs a worker with little on
  it. Five starts are what the users bear.

What is counted is made durable before the task is started again, and where
it is to be started before a suspect's order is sent, so that the next owner
counts on. Other short tasks are started at once, and made durable later: one
may be lost with its owner and its worker. The next owner counts that to each
job of which it may have been.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs import _attempts, _lifecycle, _trials, _unseen
from tulippin.jobs._dispatch import Context
from tulippin.jobs.records import CrashRecord
from tulippin.jobs.state import (
    Attempt,
    AttemptState,
    Job,
    SchedulerState,
    Task,
    Worker,
)
from tulippin.jobs.types import FINAL_STATES

# A job is given up at so many crashes under one task, where those count one
# more that came while nothing else had just begun on the worker, and those
# half after whose order no answer came: the worker may have been dead before.
_ENOUGH: t.Final = 5
_UNSEEN: t.Final = 0.5
# Starts that may have been lost count as so many crashes at most, and only
# beside so many that were seen.
_MOST_DOUBTS: t.Final = 2
_LEAST_SEEN: t.Final = 3
_MOST_TOLD: t.Final = 8
# An answer that comes so soon after an order may have been on its way before.
_UNDER_WAY_MS: t.Final = 100


# -- what is counted ----------------------------------------------------------


def note_silence(worker: Worker, context: Context) -> None:
    """Keep which runs had just begun on a worker that has gone silent.

    It may be cut off and at work. But where its owner is lost too, nobody
    else knows of the runs.
    """
    _blame(worker, context, is_sure=False)


def note_end_of_life(worker: Worker, context: Context) -> None:
    """Count the crash of a worker, another life of which was met."""
    state = context.state
    if worker.leaves_at_ms:
        # It left as it said.
        _forget(worker.worker_id, context)
        return
    if not worker.is_reconciled:
        state.lost_unread[worker.worker_id] = True
    _blame(worker, context, is_sure=True)
    for job, task in list_suspects(state):
        record = task.crashes.get(worker.worker_id)
        if record is not None and not record.is_sure:
            task.crashes[worker.worker_id] = attrs.evolve(record, is_sure=True)
            _lifecycle.mark_dirty(job, state)
    suspects = {
        attempt.key.format()
        for attempt in worker.attempts.values()
        if attempt.key in state.suspects
    }
    context.log(
        'worker crashed',
        worker=worker.worker_id,
        silent_ms=state.now_ms - worker.answered_ms,
        runs=len(worker.attempts),
        suspects=sorted(suspects)[:_MOST_TOLD],
    )


def _blame(worker: Worker, context: Context, *, is_sure: bool) -> None:
    """Keep under which runs a worker died, or may have.

    Beside one that had yet to prove itself, those that were under suspicion
    and have done so are not to blame: five of six sound tasks would have a
    second crash counted beside a worker's next one.
    """
    blamed = [
        attempt
        for attempt in worker.attempts.values()
        if attempt.is_ordered and _trials.is_recent(attempt, worker)
    ]
    if _trials.has_trials(worker):
        blamed = [
            one for one in blamed if not _has_passed(one, worker, context)
        ]
    for attempt in blamed:
        is_clear = len(blamed) == 1 and attempt.probation_ms > 0
        _note(attempt, worker, context, is_sure=is_sure, is_clear=is_clear)


def _has_passed(attempt: Attempt, worker: Worker, context: Context) -> bool:
    """Whether a run under suspicion has lived longer than those that crashed.

    None has where it is not known for how long one of those was there, or
    whether it was: a task that ends its workers after 3 s would outlive a
    second each time.
    """
    if not attempt.probation_ms or _trials.is_on_probation(attempt, worker):
        return False
    found = _attempts.find_task(attempt.key, context)
    if found is None:
        return True
    return all(
        one.is_age_known and one.is_seen for one in found[1].crashes.values()
    )


def _note(
    attempt: Attempt,
    worker: Worker,
    context: Context,
    *,
    is_sure: bool,
    is_clear: bool,
) -> None:
    """Keep that a worker died, or may have, soon after a run began."""
    state = context.state
    found = _attempts.find_task(attempt.key, context)
    if found is None:
        return
    job, task = found
    if task.is_done or job.is_cancelled or job.state in FINAL_STATES:
        return
    if worker.worker_id in task.crashes:
        return
    entry = worker.entry
    _add(
        job,
        task,
        CrashRecord(
            worker.worker_id,
            entry.address,
            entry.machine,
            attempt.run,
            _trials.get_age_ms(attempt, worker),
            get_wall_ms(state),
            is_sure,
            is_clear,
            _is_seen(attempt, worker),
            # One that was taken over has no order of this owner's.
            is_age_known=attempt.start_deadline_ms > 0,
        ),
        state,
    )


def _is_seen(attempt: Attempt, worker: Worker) -> bool:
    """Whether a run was told of, or its worker lived on after the order.

    An order may be long on its way, and its run end the worker before an
    answer tells of it: five such crashes would not be enough.
    """
    lived_ms = _trials.get_age_ms(attempt, worker)
    return attempt.seen_ms > 0 or lived_ms > _UNDER_WAY_MS


def _add(
    job: Job, task: Task, record: CrashRecord, state: SchedulerState
) -> None:
    """Count a crash to a task."""
    task.crashes[record.worker_id] = record
    state.suspects.add(task.key)
    state.count('crashes_suspected')
    _lifecycle.mark_dirty(job, state)


def get_wall_ms(state: SchedulerState) -> int:
    """Return the time of day, which the next owner knows too."""
    return state.now_ms + state.wall_offset_ms


def note_answer(worker: Worker, context: Context) -> None:
    """Take back what a worker was suspected of that answers again."""
    _forget(worker.worker_id, context)


def _forget(worker_id: str, context: Context) -> None:
    for job, task in list_suspects(context.state):
        if task.crashes.pop(worker_id, None) is not None:
            _lifecycle.mark_dirty(job, context.state)


def note_running(attempt: Attempt, context: Context) -> None:
    """Take in that a worker tells a run, and clear one that lives on."""
    found = _attempts.find_task(attempt.key, context)
    if found is None:
        return
    job, task = found
    task.open_start = None
    age_ms = context.state.now_ms - attempt.sent_ms
    if attempt.is_proved or age_ms < _trials.RECENT_MS:
        return
    attempt.is_proved = True
    task.crashes.clear()
    _lifecycle.mark_dirty(job, context.state)


def list_suspects(state: SchedulerState) -> list[tuple[Job, Task]]:
    """Return the tasks under which workers died, and strike others off."""
    found = []
    for key in list(state.suspects):
        job = state.jobs.get(key.job_id)
        task = job.tasks.get(key) if job is not None else None
        is_open = task is not None and task.crashes and not task.is_done
        if job is None or not is_open or job.state in FINAL_STATES:
            state.suspects.discard(key)
            continue
        found.append((job, t.cast(Task, task)))
    return found


# -- what is started ----------------------------------------------------------


def may_start(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a ready task may be started, if a worker takes it.

    It may not while it may run somewhere unseen, or its crashes forbid it.
    """
    if _unseen.is_awaited(task, state):
        return False
    return not _must_wait(job, task, state)


def _must_wait(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a task may not be started, whatever room there is.

    So it is until all that is known of its crashes is durable, and while it
    is open whether they are one too many. Of a job's tasks others wait while
    one of them is the likeliest to blame: they would be lost with the job.
    """
    if task.open_start is not None:
        _judge_open_start(job, task, state)
    if task.open_start is not None:
        return True
    if not _are_doubts_durable(job, task):
        return True
    if not task.crashes:
        return False
    if is_enough(job, task, task.list_crashes()) or not _is_durable(job, task):
        return True
    return _trials.is_on_trial(task) and _waits_for_sibling(job, task, state)


def _judge_open_start(job: Job, task: Task, state: SchedulerState) -> None:
    """Tell what became of an earlier owner's start that nobody reports."""
    run, worker_id = t.cast(tuple[int, str], task.open_start)
    worker = state.workers.get(worker_id)
    if worker is not None and not _unseen.is_sure(worker, state):
        return
    task.open_start = None
    is_lapsed = worker is not None and not worker.is_reconciled
    if worker_id not in state.lost_unread and not is_lapsed:
        # It told all that it runs, or an earlier owner saw it go.
        return
    if worker is not None and worker.leaves_at_ms:
        return
    known = task.crashes.get(worker_id)
    if known is not None and run in {0, known.run}:
        # Its owner told more of it than that it was started.
        return
    entry = worker.entry if worker is not None else None
    record = CrashRecord(
        worker_id,
        entry.address if entry else '',
        entry.machine if entry else '',
        run,
        _trials.SOON_MS,
        get_wall_ms(state),
        state.lost_unread.get(worker_id, False),
        # That it was started is all that the next owner is told.
        is_seen=True,
        is_age_known=False,
    )
    _add(job, task, record, state)


def doubt(jobs: t.Iterable[Job], state: SchedulerState) -> None:
    """Note which jobs' tasks may have crashed a worker unseen.

    No row tells what an earlier owner started in its last moments, or while
    the store took no writes. Where a worker has died since, each short task
    that waits, and of which nothing is known, may have been there.
    """
    job_ids = {job.job_id for job in jobs}
    if not (job_ids and _has_lost_unread(state)):
        return
    doubted = {
        kind[0]: None
        for queue in (state.ready, state.ready_idle)
        for kind, tasks in queue.items()
        if kind[0] in job_ids
        and any(
            _may_be_lost(state.jobs[kind[0]], task, state)
            for task in tasks.values()
        )
    }
    for job_id in doubted:
        job = state.jobs[job_id]
        job.doubts += 1
        _lifecycle.mark_dirty(job, state)


def _has_lost_unread(state: SchedulerState) -> bool:
    """Whether a worker has died, or lapsed, that might run anything."""
    for worker_id in state.lost_unread:
        worker = state.workers.get(worker_id)
        if worker is None or worker.may_run_anything:
            return True
    return any(
        worker.may_run_anything and not worker.is_reconciled
        for worker in state.workers.values()
    )


def _may_be_lost(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether a waiting task may have been started where no row tells it.

    Long-running ones, and those under suspicion, are not before it is durable.
    """
    if task.open_start is not None:
        _judge_open_start(job, task, state)
    return _is_short(job, task) and not task.crashes


def _is_short(job: Job, task: Task) -> bool:
    return not job.request.steps[task.key.step].long_running


def _are_doubts_durable(job: Job, task: Task) -> bool:
    """Whether the next owner would know of starts that may have been lost.

    Without that each owner that is lost would take the next start for the
    first one.
    """
    if not job.doubts or not _is_short(job, task):
        return True
    return job.durable is not None and job.durable.doubts >= job.doubts


def _is_durable(job: Job, task: Task) -> bool:
    """Whether the store tells the same of a task's crashes."""
    if job.durable is None:
        return False
    name = _lifecycle.get_name(task.key)
    kept = job.durable.crashes.get(name, ())
    return kept == task.list_crashes()


def _waits_for_sibling(job: Job, task: Task, state: SchedulerState) -> bool:
    """Whether another task of the job is to be tried, or is, before this."""
    own = _get_rank(task)
    step = job.request.steps[task.key.step]
    for other in job.tasks.values():
        if other is task or len(other.crashes) < _trials.CLOSING_COUNT:
            continue
        if step.gang and other.key[:3] == task.key[:3]:
            continue
        if not other.is_done and (
            _get_rank(other) > own or _is_on_probation(other, state)
        ):
            return True
    return False


def _get_rank(task: Task) -> tuple[int, int]:
    """Return how likely a task is to blame, beside its siblings."""
    return len(task.crashes), -task.key.index


def _is_on_probation(task: Task, state: SchedulerState) -> bool:
    """Whether a run of a task has yet to prove itself."""
    return any(
        _trials.is_on_probation(attempt, state.workers[attempt.worker_id])
        for attempt in task.attempts.values()
        if attempt.worker_id in state.workers
    )


def is_enough(job: Job, task: Task, crashes: t.Sequence[CrashRecord]) -> bool:
    """Whether crashes tell that a task ends each worker that starts it.

    Starts that may have been lost are among those that users bear.
    """
    told = sum(_weigh(one) for one in crashes)
    if _is_short(job, task) and _count_seen(crashes) >= _LEAST_SEEN:
        told += min(job.doubts, _MOST_DOUBTS)
    return told >= _ENOUGH


def _count_seen(crashes: t.Sequence[CrashRecord]) -> int:
    return sum(one.is_seen for one in crashes)


def _weigh(crash: CrashRecord) -> float:
    seen = 1 if crash.is_seen else _UNSEEN
    return seen + crash.is_clear


# -- orders that wait to be durable -------------------------------------------


def take_durable(context: Context) -> list[Attempt]:
    """Return the runs whose orders may be sent now, and note them as sent.

    The next owner has to know of each start of a suspect, as one that is lost
    with its worker and its owner would not be counted, and of each place of a
    long-running task, as it would wait for all workers otherwise.
    """
    state = context.state
    due = []
    waiting = []
    for attempt in state.unsent:
        if attempt.state is not AttemptState.STARTING:
            continue
        worker = state.workers.get(attempt.worker_id)
        place = (attempt.key, attempt.run)
        if worker is None or place not in worker.attempts:
            continue
        # One sent to a worker that is silent by now would count as a crash.
        is_due = not worker.failed_count and _may_send(attempt, worker, state)
        (due if is_due else waiting).append(attempt)
    state.unsent = waiting
    for attempt in due:
        attempt.is_ordered = True
        attempt.sent_ms = state.now_ms
    return due


def _may_send(attempt: Attempt, worker: Worker, state: SchedulerState) -> bool:
    """Whether all that the next owner has to know of a start is durable."""
    job = state.jobs.get(attempt.key.job_id)
    is_place_kept = job is not None and _lifecycle.is_place_durable(
        job, attempt.key, worker.worker_id
    )
    if attempt.step.long_running and not is_place_kept:
        return False
    is_trial = (attempt.key, attempt.run) in worker.trials
    return not is_trial or _is_start_durable(attempt, state)


def _is_start_durable(attempt: Attempt, state: SchedulerState) -> bool:
    job = state.jobs.get(attempt.key.job_id)
    if job is None or job.durable is None:
        return False
    name = _lifecycle.get_name(attempt.key)
    return job.durable.started.get(name) == (attempt.run, attempt.worker_id)
