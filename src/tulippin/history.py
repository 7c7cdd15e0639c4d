"""Recorded histories, and the nine promises as predicates over them.

A history is a list of what was seen from outside: callers, workers and
instances. Each checker returns the violations that it finds.
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
    """One thing that happened, at a time of the outside's clock."""

    at_ms: int
    kind: str
    details: dict[str, t.Any]


@attrs.frozen
class Violation:
    """A promise that a history breaks."""

    promise: str
    at_ms: int
    message: str

    def render(self) -> str:
        """Return the violation as one line."""
        return f'{self.at_ms} ms: {self.promise}: {self.message}'


@attrs.define
class History:
    """A growing record; ``clock`` returns milliseconds."""

    clock: t.Callable[[], int]
    entries: list[Entry] = attrs.field(factory=list)

    def note(self, kind: str, *, at_ms: int | None = None, **details) -> None:
        """Record what happened, now or at a given time."""
        moment = self.clock() if at_ms is None else at_ms
        self.entries.append(Entry(moment, kind, details))

    def iter_kind(self, *kinds: str) -> t.Iterator[Entry]:
        """Iterate over entries of some kinds in order of time."""
        order = {kind: place for place, kind in enumerate(kinds)}
        found = [entry for entry in self.entries if entry.kind in order]
        return iter(
            sorted(found, key=lambda entry: (entry.at_ms, order[entry.kind]))
        )


Checker = t.Callable[[History], list[Violation]]


def check_capacity(history: History) -> list[Violation]:
    """Check that no worker holds more than its capacity or slots."""
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
        busy = entry.details['busy_slots']
        if worker is not None and busy > worker['slot_count']:
            message = f'{worker["worker_id"]} runs {busy} requests'
            yield Violation('capacity', entry.at_ms, message)


def _check_sizes(
    history: History, workers: t.Mapping[str, Details]
) -> t.Iterator[Violation]:
    held: dict[str, dict[tuple[str, int], Resources]] = {}
    brief = _find_brief_runs(history)
    for entry in history.iter_kind('task_ended', 'task_began'):
        run = _get_run_key(entry)
        worker = workers.get(run[0])
        if worker is None or run in brief:
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


def _find_brief_runs(history: History) -> set[tuple[str, str, int]]:
    """Return runs that ended in the millisecond in which they began."""
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


def check_single_place(history: History) -> list[Violation]:
    """Check that no task runs in two places at once."""
    running: dict[str, dict[tuple[str, int], int]] = {}
    brief = _find_brief_runs(history)
    found = []
    for entry in history.iter_kind('task_ended', 'task_began'):
        details = entry.details
        task_id = details['task_id']
        place = (details['worker_id'], details['attempt'])
        if (place[0], task_id, place[1]) in brief:
            continue
        places = running.setdefault(task_id, {})
        if entry.kind == 'task_ended':
            places.pop(place, None)
            continue
        if places:
            found.append(
                Violation(
                    'single_place',
                    entry.at_ms,
                    f'{task_id} begins on {place} and runs on {list(places)}',
                )
            )
        places[place] = entry.at_ms
    return found


def check_resume_once(history: History) -> list[Violation]:
    """Check that evicted work goes on once, from its checkpoint.

    No attempt begins twice, none begins after one that was done, and
    the attempt after an eviction resumes where that one stopped. Work
    that was done out of everybody's sight may be done again: no one can
    tell it from work that was lost with its worker.
    """
    found = []
    done: dict[str, Entry] = {}
    begun: set[tuple[str, int]] = set()
    stopped: dict[str, int] = {}
    hidden = list(history.iter_kind('worker_hidden'))
    for entry in history.iter_kind('task_ended', 'task_began'):
        worker_id, task_id, attempt = _get_run_key(entry)
        if entry.kind == 'task_ended':
            _note_end(entry, done, stopped)
            continue
        name = f'{task_id} attempt {attempt} on {worker_id}'
        faults = []
        if (task_id, attempt) in begun:
            faults.append('begins again')
        if task_id in done and not _was_hidden(hidden, done[task_id], entry):
            faults.append('begins after it is done')
        resumed_ms = entry.details['resumed_ms']
        expected_ms = stopped.pop(task_id, resumed_ms)
        if resumed_ms != expected_ms:
            faults.append(f'resumes at {resumed_ms} ms, not {expected_ms}')
        begun.add((task_id, attempt))
        found.extend(
            Violation('resume_once', entry.at_ms, f'{name} {fault}')
            for fault in faults
        )
    return found


def _note_end(
    entry: Entry, done: dict[str, Entry], stopped: dict[str, int]
) -> None:
    details = entry.details
    if details['state'] == 'done':
        done.setdefault(details['task_id'], entry)
    if details['state'] == 'stopped':
        stopped[details['task_id']] = details['checkpoint_ms']


def _was_hidden(hidden: t.Sequence[Entry], done: Entry, begun: Entry) -> bool:
    """Tell whether a worker was out of sight when its work was done."""
    return any(
        entry.details['worker_id'] == done.details['worker_id']
        and entry.at_ms <= begun.at_ms
        and entry.details['until_ms'] >= done.at_ms
        for entry in hidden
    )


def check_whole_answers(history: History) -> list[Violation]:
    """Check that each caller got the whole answer to its own request."""
    found = []
    for entry in history.iter_kind('caller_answered'):
        details = entry.details
        if details['outcome'] != 'answered':
            continue
        if details['body'] != details['expected']:
            found.append(
                Violation(
                    'whole_answer',
                    entry.at_ms,
                    f'{details["request_id"]} got {details["body"]!r}',
                )
            )
    return found


def check_not_run(history: History) -> list[Violation]:
    """Check that what was refused as "not run" did not run."""
    runs: dict[str, list[int]] = {}
    for entry in history.iter_kind('request_ran'):
        runs.setdefault(entry.details['request_id'], []).append(entry.at_ms)
    jobs = {
        entry.details['task_id'].partition('/')[0]
        for entry in history.iter_kind('task_began')
    }
    others = _find_other_calls(history)
    found = []
    for entry in history.iter_kind('caller_answered', 'job_answered'):
        if entry.details['outcome'] != 'not_run':
            continue
        if entry.kind == 'job_answered':
            name = entry.details['job_id']
            ran = name in jobs
        else:
            name = entry.details['request_id']
            ran = name in runs
        if ran and name not in others:
            found.append(Violation('not_run', entry.at_ms, f'{name} ran'))
    return found


def _find_other_calls(history: History) -> set[str]:
    """Return ids with a call that was not refused: its run may be that."""
    answers = history.iter_kind('caller_answered', 'job_answered')
    return {
        entry.details.get('request_id') or entry.details['job_id']
        for entry in answers
        if entry.details['outcome'] != 'not_run'
    }


def check_at_most_once(history: History) -> list[Violation]:
    """Check that no non-repeatable request ran twice."""
    once = {
        entry.details['request_id']
        for entry in history.iter_kind('caller_sent')
        if not entry.details['repeatable']
    }
    counts: collections.Counter[str] = collections.Counter()
    found = []
    for entry in history.iter_kind('request_ran'):
        request_id = entry.details['request_id']
        counts[request_id] += 1
        if request_id in once and counts[request_id] > 1:
            found.append(
                Violation('at_most_once', entry.at_ms, f'{request_id} again')
            )
    return found


def check_leaving(history: History) -> list[Violation]:
    """Check that a leaving endpoint gets nothing new after a while."""
    left: dict[str, int] = {}
    found = []
    for entry in history.iter_kind(
        'endpoint_leaving', 'request_ran', 'task_began'
    ):
        worker_id = entry.details['worker_id']
        if entry.kind == 'endpoint_leaving':
            left.setdefault(worker_id, entry.at_ms)
            continue
        since_ms = left.get(worker_id)
        if since_ms is None:
            continue
        if entry.at_ms > since_ms + LEAVING_LIMIT_MS:
            found.append(
                Violation(
                    'leaving',
                    entry.at_ms,
                    f'{worker_id} leaves since {since_ms}, got {entry.kind}',
                )
            )
    return found


def check_planned_stop(history: History) -> list[Violation]:
    """Check that a planned stop cut no request in progress.

    A call that an instance had when its stop began, or took in after,
    ends with an answer or a proved refusal, unless the instance crashes
    on the way.
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
    found = []
    for entry in history.iter_kind('caller_answered'):
        details = entry.details
        stop_ms = stops.get(details['instance_id'])
        if stop_ms is None or entry.at_ms < stop_ms:
            continue
        if details['outcome'] == 'cut':
            found.append(
                Violation('planned_stop', entry.at_ms, details['request_id'])
            )
    return found


def check_bundles(history: History) -> list[Violation]:
    """Check that bundles come into force in time and never go back."""
    return [*_check_order(history), *_check_in_time(history)]


def _check_order(history: History) -> t.Iterator[Violation]:
    held: dict[str, int] = {}
    for entry in history.iter_kind('bundle_taken'):
        process, number = entry.details['process'], entry.details['number']
        if number < held.get(process, 0):
            yield Violation(
                'bundle', entry.at_ms, f'{process} went back to {number}'
            )
        held[process] = number


def _check_in_time(history: History) -> t.Iterator[Violation]:
    spans = _find_spans(history)
    taken = [
        (entry.details['process'], entry.details['number'], entry.at_ms)
        for entry in history.iter_kind('bundle_taken')
    ]
    for entry in history.iter_kind('bundle_accepted'):
        number = entry.details['number']
        for process, (began_ms, ended_ms) in spans.items():
            due_ms = _get_due_ms(history, entry.at_ms, began_ms)
            got = [
                at_ms
                for name, higher, at_ms in taken
                if name == process and higher >= number
            ]
            late = not got or min(got) > due_ms
            if late and due_ms <= ended_ms:
                message = f'{process} lacks bundle {number}'
                yield Violation('bundle', due_ms, message)


def _find_spans(history: History) -> dict[str, tuple[int, int]]:
    """Return when each process began and ended."""
    ends = [entry.at_ms for entry in history.iter_kind('end')]
    downs = {
        entry.details['process']: entry.at_ms
        for entry in history.iter_kind('instance_down')
    }
    last_ms = max(ends, default=0)
    return {
        entry.details['process']: (
            entry.at_ms,
            downs.get(entry.details['process'], last_ms),
        )
        for entry in history.iter_kind('instance_up')
    }


def _get_due_ms(history: History, accepted_ms: int, began_ms: int) -> int:
    """Return when a process must hold a bundle; disturbances put it off."""
    due_ms = max(accepted_ms, began_ms) + BUNDLE_LIMIT_MS
    for entry in history.iter_kind('disturbed'):
        until_ms = entry.details['until_ms']
        if entry.at_ms <= due_ms and until_ms >= accepted_ms:
            due_ms = max(due_ms, until_ms + BUNDLE_LIMIT_MS)
    return due_ms


CHECKERS: t.Final[dict[str, Checker]] = {
    'capacity': check_capacity,
    'single_place': check_single_place,
    'resume_once': check_resume_once,
    'whole_answer': check_whole_answers,
    'not_run': check_not_run,
    'at_most_once': check_at_most_once,
    'leaving': check_leaving,
    'planned_stop': check_planned_stop,
    'bundle': check_bundles,
}


def check_history(history: History) -> list[Violation]:
    """Check all nine promises and return every violation."""
    return [
        violation
        for checker in CHECKERS.values()
        for violation in checker(history)
    ]
