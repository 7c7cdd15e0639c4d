"""Recorded histories of a deployment, and checkers of its nine promises.

A history lists what callers, workers and instances did, as observed from
outside the scheduler. Each checker takes a history and returns the
violations of one promise.
"""

from __future__ import annotations

import collections
import functools
import typing as t

import attrs

from tulippin.types import Resources

Details = t.Mapping[str, t.Any]

LEAVING_LIMIT_MS: t.Final = 3000
BUNDLE_LIMIT_MS: t.Final = 12000


@attrs.frozen
class Entry:
    """An observed event, with its time by the history's clock."""

    at_ms: int
    kind: str
    details: dict[str, t.Any]


@attrs.frozen
class Violation:
    """An entry of a history that breaks a promise."""

    promise: str
    at_ms: int
    message: str

    def render(self) -> str:
        """Return the violation as one line."""
        return f'{self.at_ms} ms: {self.promise}: {self.message}'


@attrs.define
class History:
    """An append-only record of events.

    Parameters
    ----------
    clock : callable
        Returns the time in milliseconds.
    entries : list of Entry
        The events, in the order in which they were recorded.
    """

    clock: t.Callable[[], int]
    entries: list[Entry] = attrs.field(factory=list)

    def note(self, kind: str, *, at_ms: int | None = None, **details) -> None:
        """Append an event, at the present time unless ``at_ms`` is given."""
        moment = self.clock() if at_ms is None else at_ms
        self.entries.append(Entry(moment, kind, details))

    def iter_kind(self, *kinds: str) -> t.Iterator[Entry]:
        """Iterate over the entries of some kinds, ordered by time.

        Entries of the same time come in the order of ``kinds``.
        """
        order = {kind: position for position, kind in enumerate(kinds)}
        matching = [entry for entry in self.entries if entry.kind in order]
        return iter(
            sorted(matching, key=lambda entry: (entry.at_ms, order[entry.kind]))
        )


Checker = t.Callable[[History], list[Violation]]


def check_capacity(history: History) -> list[Violation]:
    """Check that no worker exceeds its capacity or its slots."""
    workers = {
        entry.details['worker_id']: entry.details
        for entry in history.iter_kind('worker')
    }
    return [
        *_check_slots(history, workers),
        *_check_sizes(history, workers),
    ]


def _check_slots(
    history: History, workers: t.Mapping[str, Details]
) -> t.Iterator[Violation]:
    for entry in history.iter_kind('request_ran'):
        worker = workers.get(entry.details['worker_id'])
        busy_count = entry.details['busy_slots']
        if worker is not None and busy_count > worker['slot_count']:
            message = f'{worker["worker_id"]} runs {busy_count} requests'
            yield Violation('capacity', entry.at_ms, message)


def _check_sizes(
    history: History, workers: t.Mapping[str, Details]
) -> t.Iterator[Violation]:
    held: dict[str, dict[tuple[str, int], Resources]] = {}
    instant_runs = _find_instant_runs(history)
    for entry in history.iter_kind('task_ended', 'task_began'):
        run = _get_run_key(entry)
        worker = workers.get(run[0])
        if worker is None or run in instant_runs:
            continue
        running = held.setdefault(run[0], {})
        if entry.kind == 'task_ended':
            running.pop(run[1:], None)
            continue
        running[run[1:]] = entry.details['size']
        total = functools.reduce(Resources.add, running.values())
        if not worker['capacity'].fits(total):
            message = f'{run[0]} holds {total}'
            yield Violation('capacity', entry.at_ms, message)


def _find_instant_runs(history: History) -> set[tuple[str, str, int]]:
    """Return the runs that ended in the millisecond in which they began.

    Ends sort before starts of the same time, so such a run would count
    as running for ever.
    """
    began = {
        _get_run_key(entry): entry.at_ms
        for entry in history.iter_kind('task_began')
    }
    return {
        _get_run_key(entry)
        for entry in history.iter_kind('task_ended')
        if began.get(_get_run_key(entry)) == entry.at_ms
    }


def _get_run_key(entry: Entry) -> tuple[str, str, int]:
    details = entry.details
    return details['worker_id'], details['task_id'], details['attempt']


def check_single_run(history: History) -> list[Violation]:
    """Check that no task has two runs at the same time."""
    running: dict[str, dict[tuple[str, int], int]] = {}
    instant_runs = _find_instant_runs(history)
    violations = []
    for entry in history.iter_kind('task_ended', 'task_began'):
        details = entry.details
        task_id = details['task_id']
        run = (details['worker_id'], details['attempt'])
        if (run[0], task_id, run[1]) in instant_runs:
            continue
        active = running.setdefault(task_id, {})
        if entry.kind == 'task_ended':
            active.pop(run, None)
            continue
        if active:
            violations.append(
                Violation(
                    'single_place',
                    entry.at_ms,
                    f'{task_id} begins on {run} and runs on {list(active)}',
                )
            )
        active[run] = entry.at_ms
    return violations


def check_resume_once(history: History) -> list[Violation]:
    """Check that evicted work resumes once, from its checkpoint.

    No attempt begins twice, none begins after the task is done, and the
    attempt after an eviction resumes at the checkpoint of the evicted
    one. A task that was done on an unreachable worker may run again, as
    the instances can't tell it from one that was lost with its worker.
    """
    violations = []
    done: dict[str, Entry] = {}
    begun: set[tuple[str, int]] = set()
    stopped: dict[str, int] = {}
    unreachable = list(history.iter_kind('worker_hidden'))
    for entry in history.iter_kind('task_ended', 'task_began'):
        worker_id, task_id, attempt = _get_run_key(entry)
        if entry.kind == 'task_ended':
            _update_ended(entry, done, stopped)
            continue
        run_name = f'{task_id} attempt {attempt} on {worker_id}'
        faults = []
        if (task_id, attempt) in begun:
            faults.append('begins again')
        if task_id in done and not _was_unreachable(
            unreachable, done[task_id], entry
        ):
            faults.append('begins after it is done')
        resumed_ms = entry.details['resumed_ms']
        expected_ms = stopped.pop(task_id, resumed_ms)
        if resumed_ms != expected_ms:
            faults.append(f'resumes at {resumed_ms} ms, not {expected_ms}')
        begun.add((task_id, attempt))
        violations.extend(
            Violation('resume_once', entry.at_ms, f'{run_name} {fault}')
            for fault in faults
        )
    return violations


def _update_ended(
    entry: Entry, done: dict[str, Entry], stopped: dict[str, int]
) -> None:
    details = entry.details
    if details['state'] == 'done':
        done.setdefault(details['task_id'], entry)
    if details['state'] == 'stopped':
        stopped[details['task_id']] = details['checkpoint_ms']


def _was_unreachable(
    unreachable: t.Sequence[Entry], done: Entry, begun: Entry
) -> bool:
    """Tell whether a worker was unreachable when its task was done."""
    return any(
        entry.details['worker_id'] == done.details['worker_id']
        and entry.at_ms <= begun.at_ms
        and entry.details['until_ms'] >= done.at_ms
        for entry in unreachable
    )


def check_whole_answers(history: History) -> list[Violation]:
    """Check that each caller got the full answer to its own request."""
    violations = []
    for entry in history.iter_kind('caller_answered'):
        details = entry.details
        if details['outcome'] != 'answered':
            continue
        if details['body'] != details['expected']:
            violations.append(
                Violation(
                    'whole_answer',
                    entry.at_ms,
                    f'{details["request_id"]} got {details["body"]!r}',
                )
            )
    return violations


def check_not_run(history: History) -> list[Violation]:
    """Check that no request or job ran that was refused as "not run"."""
    runs_by_request: dict[str, list[int]] = {}
    for entry in history.iter_kind('request_ran'):
        runs_by_request.setdefault(entry.details['request_id'], []).append(
            entry.at_ms
        )
    started_jobs = {
        entry.details['task_id'].partition('/')[0]
        for entry in history.iter_kind('task_began')
    }
    not_refused = _find_ids_not_refused(history)
    violations = []
    for entry in history.iter_kind('caller_answered', 'job_answered'):
        if entry.details['outcome'] != 'not_run':
            continue
        if entry.kind == 'job_answered':
            name = entry.details['job_id']
            ran = name in started_jobs
        else:
            name = entry.details['request_id']
            ran = name in runs_by_request
        if ran and name not in not_refused:
            violations.append(Violation('not_run', entry.at_ms, f'{name} ran'))
    return violations


def _find_ids_not_refused(history: History) -> set[str]:
    """Return the ids of requests and jobs with a call that wasn't refused.

    A run under such an id may belong to that call.
    """
    answers = history.iter_kind('caller_answered', 'job_answered')
    return {
        entry.details.get('request_id') or entry.details['job_id']
        for entry in answers
        if entry.details['outcome'] != 'not_run'
    }


def check_at_most_once(history: History) -> list[Violation]:
    """Check that no non-repeatable request ran twice."""
    non_repeatable = {
        entry.details['request_id']
        for entry in history.iter_kind('caller_sent')
        if not entry.details['repeatable']
    }
    counts: collections.Counter[str] = collections.Counter()
    violations = []
    for entry in history.iter_kind('request_ran'):
        request_id = entry.details['request_id']
        counts[request_id] += 1
        if request_id in non_repeatable and counts[request_id] > 1:
            violations.append(
                Violation('at_most_once', entry.at_ms, f'{request_id} again')
            )
    return violations


def check_leaving(history: History) -> list[Violation]:
    """Check that a leaving worker gets no new work after a time limit."""
    leaving_since_ms: dict[str, int] = {}
    violations = []
    for entry in history.iter_kind(
        'endpoint_leaving', 'request_ran', 'task_began'
    ):
        worker_id = entry.details['worker_id']
        if entry.kind == 'endpoint_leaving':
            leaving_since_ms.setdefault(worker_id, entry.at_ms)
            continue
        since_ms = leaving_since_ms.get(worker_id)
        if since_ms is None:
            continue
        if entry.at_ms > since_ms + LEAVING_LIMIT_MS:
            violations.append(
                Violation(
                    'leaving',
                    entry.at_ms,
                    f'{worker_id} leaves since {since_ms}, got {entry.kind}',
                )
            )
    return violations


def check_planned_stop(history: History) -> list[Violation]:
    """Check that a planned stop interrupts no request in progress.

    A call that an instance has when its stop begins, or accepts later,
    ends with an answer or a proven refusal, unless the instance crashes before
    it has stopped.
    """
    crashed = {
        entry.details['instance_id']
        for entry in history.iter_kind('instance_crashed')
    }
    stops = {
        entry.details['instance_id']: entry.at_ms
        for entry in history.iter_kind('stop_began')
        if entry.details['instance_id'] not in crashed
    }
    violations = []
    for entry in history.iter_kind('caller_answered'):
        details = entry.details
        stop_ms = stops.get(details['instance_id'])
        if stop_ms is None or entry.at_ms < stop_ms:
            continue
        if details['outcome'] == 'cut':
            violations.append(
                Violation('planned_stop', entry.at_ms, details['request_id'])
            )
    return violations


def check_bundles(history: History) -> list[Violation]:
    """Check that processes take bundles in time and in order."""
    return [*_check_bundle_order(history), *_check_bundle_delay(history)]


def _check_bundle_order(history: History) -> t.Iterator[Violation]:
    held_numbers: dict[str, int] = {}
    for entry in history.iter_kind('bundle_taken'):
        process, number = entry.details['process'], entry.details['number']
        if number < held_numbers.get(process, 0):
            yield Violation(
                'bundle', entry.at_ms, f'{process} went back to {number}'
            )
        held_numbers[process] = number


def _check_bundle_delay(history: History) -> t.Iterator[Violation]:
    lifetimes = _find_lifetimes(history)
    taken = [
        (entry.details['process'], entry.details['number'], entry.at_ms)
        for entry in history.iter_kind('bundle_taken')
    ]
    for entry in history.iter_kind('bundle_accepted'):
        number = entry.details['number']
        for process, (began_ms, ended_ms) in lifetimes.items():
            due_ms = _get_due_ms(history, entry.at_ms, began_ms)
            taken_times_ms = [
                at_ms
                for taker, taken_number, at_ms in taken
                if taker == process and taken_number >= number
            ]
            late = not taken_times_ms or min(taken_times_ms) > due_ms
            if late and due_ms <= ended_ms:
                message = f'{process} lacks bundle {number}'
                yield Violation('bundle', due_ms, message)


def _find_lifetimes(history: History) -> dict[str, tuple[int, int]]:
    """Return the start and end time of each process."""
    ends_ms = [entry.at_ms for entry in history.iter_kind('end')]
    ended_ms = {
        entry.details['process']: entry.at_ms
        for entry in history.iter_kind('instance_down')
    }
    history_end_ms = max(ends_ms, default=0)
    return {
        entry.details['process']: (
            entry.at_ms,
            ended_ms.get(entry.details['process'], history_end_ms),
        )
        for entry in history.iter_kind('instance_up')
    }


def _get_due_ms(history: History, accepted_ms: int, began_ms: int) -> int:
    """Return when a process must hold a bundle at the latest.

    A disturbance that overlaps with the wait restarts the limit at its
    end.
    """
    due_ms = max(accepted_ms, began_ms) + BUNDLE_LIMIT_MS
    for entry in history.iter_kind('disturbed'):
        until_ms = entry.details['until_ms']
        if entry.at_ms <= due_ms and until_ms >= accepted_ms:
            due_ms = max(due_ms, until_ms + BUNDLE_LIMIT_MS)
    return due_ms


CHECKERS: t.Final[dict[str, Checker]] = {
    'capacity': check_capacity,
    'single_place': check_single_run,
    'resume_once': check_resume_once,
    'whole_answer': check_whole_answers,
    'not_run': check_not_run,
    'at_most_once': check_at_most_once,
    'leaving': check_leaving,
    'planned_stop': check_planned_stop,
    'bundle': check_bundles,
}


def check_history(history: History) -> list[Violation]:
    """Return the violations of all nine promises."""
    return [
        violation
        for checker in CHECKERS.values()
        for violation in checker(history)
    ]
