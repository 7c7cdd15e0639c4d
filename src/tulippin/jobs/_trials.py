"""Where tasks are started that may crash their worker, and what beside them.

What dies with a worker is under suspicion together, and stays so if it is
started together again. Runs under suspicion are kept apart until each has
proved itself, so that the next crash tells which of them it was.
"""

from __future__ import annotations

import typing as t

from tulippin.jobs.state import Attempt, SchedulerState, Task, Worker

# A run that was there for so long has not crashed its worker by its start,
# which took 10 ms in the users' record.
RECENT_MS: t.Final = 5000
# Where a worker dies by itself, most of its runs are older than this: 6 of
# 24 workers lost at once, with two starts a second on each, leave some 12
# tasks to be started apart, and 60 with five seconds.
SOON_MS: t.Final = 1000
# How much longer than before a run under suspicion has to live.
_PROBATION_MS: t.Final = 1000
# From this on nothing else is started beside it meanwhile.
CLOSING_COUNT: t.Final = 2
# The part of the workers that may be closed so at one time: with many such
# tasks at once the others' work goes on.
_MOST_CLOSED_SHARE: t.Final = 0.25
# A worker with nothing on it is not asked otherwise, and one that is dead looks
# the best place. While there are suspects all are asked, once a second.
_UNHEARD_MS: t.Final = 1600
# What is lost with a long-running task or a gang's member, beside others:
# their users miss them for some four seconds.
_LASTING_WEIGHT: t.Final = 4
# A run that has just begun counts more than all that a worker may hold: with
# it there, the next crash would not tell which of the two it was.
_RECENT_WEIGHT: t.Final = 10


def is_on_trial(task: Task) -> bool:
    """Whether a task is to be started apart from others under suspicion."""
    if not task.crashes:
        return False
    soonest_ms = min(one.age_ms for one in task.crashes.values())
    return len(task.crashes) >= CLOSING_COUNT or soonest_ms < SOON_MS


def is_on_probation(attempt: Attempt, worker: Worker) -> bool:
    """Whether a run under suspicion has not lived long enough yet.

    Only what the worker has told counts: a worker that has crashed a while
    ago looks the same as one with nothing new.
    """
    if not attempt.is_ordered:
        return attempt.probation_ms > 0
    return worker.answered_ms - attempt.sent_ms < attempt.probation_ms


def note_start(attempt: Attempt, task: Task, worker: Worker) -> None:
    """Begin the probation of a run whose task is under suspicion.

    Its order waits until the next owner would know of it: of six starts of a
    task whose owners were lost soon after, two were not counted otherwise.
    """
    if not task.crashes:
        return
    worker.trials[attempt.key, attempt.run] = attempt
    attempt.is_ordered = False
    if not is_on_trial(task):
        return
    longest_ms = max(one.age_ms for one in task.crashes.values())
    attempt.crash_count = len(task.crashes)
    attempt.probation_ms = min(RECENT_MS, longest_ms + _PROBATION_MS)


def may_join(worker: Worker, task: Task, state: SchedulerState) -> bool:
    """Whether a worker's runs under suspicion let a task be started there."""
    is_trial = is_on_trial(task)
    if not (worker.trials or is_trial):
        return True
    if is_trial and state.now_ms - worker.answered_ms > _UNHEARD_MS:
        return False
    for attempt in worker.trials.values():
        is_own_gang = attempt.step.gang and attempt.key[:3] == task.key[:3]
        if is_own_gang or not is_on_probation(attempt, worker):
            continue
        if is_trial or attempt.crash_count >= CLOSING_COUNT:
            return False
    is_closing = is_trial and len(task.crashes) >= CLOSING_COUNT
    return not is_closing or _may_close_more(task, state)


def _may_close_more(task: Task, state: SchedulerState) -> bool:
    """Whether one more worker may be closed for a run under suspicion."""
    closed = sum(
        any(
            one.crash_count >= CLOSING_COUNT
            and one.key[:3] != task.key[:3]
            and is_on_probation(one, worker)
            for one in worker.trials.values()
        )
        for worker in state.workers.values()
        if worker.trials
    )
    return closed < max(1, _MOST_CLOSED_SHARE * len(state.workers))


def get_age_ms(attempt: Attempt, worker: Worker) -> int:
    """Return for how long, at least, a run was there, as its worker told."""
    return max(0, worker.answered_ms - attempt.sent_ms)


def is_recent(attempt: Attempt, worker: Worker) -> bool:
    """Whether a run may have begun shortly before its worker died."""
    return get_age_ms(attempt, worker) < RECENT_MS


def get_risk(task: Task, worker: Worker) -> float:
    """Return what speaks against starting a task under suspicion on a worker.

    Runs that died together, and not soon after their start, are not kept
    apart, only spread: started together again, all would have a second crash,
    and wait for each other then. Others go where nothing else has just begun,
    which could be to blame as well, and least is lost.
    """
    if not task.crashes:
        return 0.0
    if is_on_trial(task):
        recent = sum(
            is_recent(attempt, worker) for attempt in worker.attempts.values()
        )
        return _RECENT_WEIGHT * recent + _get_loss(worker)
    return len(worker.trials)


def _get_loss(worker: Worker) -> float:
    """Return what would be lost with a worker, in parts of its processors."""
    millicores = sum(
        attempt.step.size.cpu_millicores * _weigh(attempt)
        for attempt in worker.attempts.values()
    )
    return millicores / max(1, worker.entry.capacity.cpu_millicores)


def _weigh(attempt: Attempt) -> int:
    step = attempt.step
    return _LASTING_WEIGHT if step.long_running or step.gang else 1


def has_trials(worker: Worker) -> bool:
    """Whether a run under suspicion has yet to prove itself there."""
    return any(
        is_on_probation(attempt, worker) for attempt in worker.trials.values()
    )
