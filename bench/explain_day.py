"""Split the time of a simulated day's jobs by cause, from the logs.

Give it the instances' JSON lines, each with or without a prefix:

    python bench/explain_day.py day.log
"""

from __future__ import annotations

import argparse
import collections
import json
import pathlib
import statistics

import attrs

_START = '{"time"'
_LONG_RUNNING = 'long_running'
_P99 = 0.99


@attrs.define
class JobTimes:
    """What the log tells of one job."""

    queue: str
    steps: list
    taken_up_ms: float
    is_lasting: bool = False
    state: str = 'unfinished'
    finished_ms: float = 0.0
    first_start_ms: dict = attrs.field(factory=dict)
    done_ms: dict = attrs.field(factory=dict)
    reasons: collections.Counter = attrs.field(factory=collections.Counter)


def iter_lines(text):
    """Yield the JSON lines of a log as maps; skip other text."""
    for line in text.splitlines():
        start_index = line.find(_START)
        if start_index < 0:
            continue
        try:
            yield json.loads(line[start_index:])
        except json.JSONDecodeError:
            # The output of two processes may be mixed in one line.
            continue


def parse_time_ms(text):
    """Return the time of day of a line in milliseconds."""
    hours, minutes, seconds = text[11:23].split(':')
    return (int(hours) * 60 + int(minutes)) * 60_000 + float(seconds) * 1000


def read_jobs(text):
    """Return the jobs of a log by id."""
    jobs = {}
    for line in iter_lines(text):
        now_ms = parse_time_ms(line['time'])
        message = line.get('message')
        if message == 'job taken up':
            steps = line['steps']
            lasting = any(step.get(_LONG_RUNNING) for step in steps)
            jobs[line['job']] = JobTimes(line['queue'], steps, now_ms, lasting)
            continue
        if message == 'job finished' and line['job'] in jobs:
            jobs[line['job']].state = line['state']
            jobs[line['job']].finished_ms = now_ms
            continue
        task = line.get('task', '')
        job = jobs.get(task.partition('.')[0])
        if job is not None:
            note_run(job, task, line, now_ms)
    return jobs


def note_run(job, task, line, now_ms):
    """Count what a line says of one of a job's runs."""
    message = line['message']
    if message == 'start run':
        job.first_start_ms.setdefault(task, now_ms)
    elif message == 'run ended':
        job.reasons[f'ended {line["outcome"]}'] += 1
        if line['outcome'] == 'done':
            job.done_ms.setdefault(task, now_ms)
    elif message in {'run over', 'stop run'}:
        job.reasons[line['why'].partition(' for ')[0]] += 1


def split(job, job_id):
    """Return wait before the first start, gaps between steps, last lag."""
    gaps_ms = []
    first_wait_ms = None
    for number, step in enumerate(job.steps):
        started = get_times(job.first_start_ms, job_id, number, step)
        if not started:
            continue
        ready_ms = job.taken_up_ms
        for before in step.get('after', ()):
            ends = get_times(job.done_ms, job_id, before, job.steps[before])
            ready_ms = max([ready_ms, *ends])
        wait_ms = max(started) - ready_ms
        if step.get('after'):
            gaps_ms.append(wait_ms)
        else:
            first_wait_ms = max(first_wait_ms or 0, wait_ms)
    lag_ms = None
    if job.state == 'completed' and job.done_ms:
        lag_ms = job.finished_ms - max(job.done_ms.values())
    return first_wait_ms, gaps_ms, lag_ms


def get_times(times, job_id, number, step):
    """Return the known times of a step's tasks."""
    names = (
        f'{job_id}.0.{number}.{index}' for index in range(step['task_count'])
    )
    return [times[name] for name in names if name in times]


def describe(values):
    """Return middle and 99th percentile, in ms."""
    if not values:
        return '-'
    ordered = sorted(values)
    high = ordered[min(len(ordered) - 1, int(len(ordered) * _P99))]
    return f'{statistics.median(ordered):.0f} / {high:.0f}'


def show(jobs):
    """Print a row a queue, then why runs ended or were moved."""
    queues = collections.defaultdict(dict)
    for job_id, job in jobs.items():
        queues[job.queue][job_id] = job
    print('queue | jobs | states | first wait | gap | age | ms p50 / p99')
    for name, members in sorted(queues.items()):
        waits, gaps = [], []
        ages = []
        states = collections.Counter(job.state for job in members.values())
        reasons = collections.Counter()
        for job_id, job in members.items():
            wait_ms, gaps_ms, _ = split(job, job_id)
            waits += [] if wait_ms is None else [wait_ms]
            gaps += gaps_ms
            reasons += job.reasons
            if job.state == 'completed':
                ages.append(job.finished_ms - job.taken_up_ms)
        print(
            f'{name} | {len(members)} | {dict(states)} | {describe(waits)}'
            f' | {describe(gaps)} | {describe(ages)}'
        )
        print('   ', ', '.join(f'{k}: {n}' for k, n in reasons.most_common(8)))


def main():
    """Run the script."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('log', type=pathlib.Path)
    show(read_jobs(parser.parse_args().log.read_text(errors='replace')))


if __name__ == '__main__':
    main()
