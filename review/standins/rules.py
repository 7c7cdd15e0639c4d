"""Checks of rules on what workers saw."""


def find_twice(fleet):
    """Return the violations of TWICE, as texts.

    Two runs of one task at once on workers that are up; or a start after a
    run ended `done` where that end is taken note of, at any time, and the
    worker's lease did not lapse in between.
    """
    found = []
    by_task = {}
    for (worker_id, task, run), one in fleet.runs.items():
        by_task.setdefault(task, []).append((one['began'], worker_id, run, one))
    for task, runs in sorted(by_task.items()):
        runs.sort(key=lambda row: row[0])
        for number, (_, worker_id, run, one) in enumerate(runs):
            for began, other_id, other_run, _ in runs[number + 1 :]:
                ended = one.get('ended')
                place = (
                    f'run {run} on {worker_id}, run {other_run} on {other_id}'
                )
                if ended is None or began < ended:
                    found.append((began, f'{task}: two runs at once: {place}'))
                elif one['how'] == 'done' and _is_noted(fleet, worker_id, one):
                    found.append(
                        (began, f'{task}: started after its end: {place}')
                    )
    return sorted(found)


def _is_noted(fleet, worker_id, one):
    """Whether an end is taken note of, with no lapse before that."""
    seen = one.get('seen')
    return seen is not None and not any(
        one['ended'] < at < seen for at in fleet.lapses.get(worker_id, ())
    )


WAIT_S = 3.0
# Share of the service's processors below which there is capacity.
MAX_USE = 0.5


class LostCheck:
    """Finds jobs with nothing running though they could run.

    LOST: for 3 s, a job has nothing running while a task's turn has come,
    there is capacity for it twice over, and under half of the service's
    capacity is in use. All steps of the jobs here may start at once.
    """

    def __init__(self, play):
        self._fleet = play.fleet
        self._accepted = play.accepted
        self._accepted_at = play.get_accepted_at
        self._final = set()

    def note_state(self, job_id, state):
        """Record a state that the job was shown with."""
        if state in ('completed', 'failed', 'cancelled'):
            self._final.add(job_id)

    def find_lost(self, now):
        """Return the violations, as texts, up to a time."""
        by_job = {}
        ended = {}
        for (_, task, _), one in self._fleet.runs.items():
            job_id = task.partition('.')[0]
            by_job.setdefault(job_id, []).append(one)
            if one.get('how') == 'done':
                ended.setdefault(job_id, set()).add(task)
        found = []
        for job_id in self._accepted:
            count = sum(
                step['Count'] for step in self._fleet.jobs[job_id]['Steps']
            )
            left = count - len(ended.get(job_id, ()))
            if job_id in self._final or not left:
                continue
            runs = by_job.get(job_id, ())
            last = max(
                (one.get('ended', now) for one in runs),
                default=self._accepted_at(job_id),
            )
            if now - last > WAIT_S and self._has_room(
                job_id, left, now - WAIT_S
            ):
                since = 'its last run' if runs else 'it was accepted'
                found.append(
                    f'{job_id}: {left} of {count} tasks have not ended done,'
                    f' and nothing of it has run since {since},'
                    f' {now - last:.1f} s ago'
                )
        return found

    def _has_room(self, job_id, left, since):
        """Whether there was capacity since a time, by the rule.

        Under half of the service's processors and memory are in use, and all
        tasks that are left would fit twice beside what runs.
        """
        steps = self._fleet.jobs[job_id]['Steps']
        used = {}
        for (worker_id, task, _), one in self._fleet.runs.items():
            if one.get('ended', since) >= since:
                step = self._fleet.find_step(task)
                for name in ('Cpu', 'MemMb'):
                    key = worker_id, name
                    used[key] = used.get(key, 0) + step[name]
        up = [worker for worker in self._fleet.workers if worker.is_up]
        for name in ('Cpu', 'MemMb'):
            room = sum(worker.room[name] for worker in up)
            in_use = sum(used.get((one.worker_id, name), 0) for one in up)
            if in_use >= MAX_USE * room:
                return False
        size = {
            name: max(step[name] for step in steps) for name in ('Cpu', 'MemMb')
        }
        places = sum(
            min(
                (one.room[name] - used.get((one.worker_id, name), 0))
                // size[name]
                for name in ('Cpu', 'MemMb')
            )
            for one in up
        )
        return places >= 2 * left


CANCEL_S = 3.0
CONTACT_S = 3.0


def find_unasked(play, cancelled):
    """Return the starts after an acknowledged cancel, as texts.

    UNASKED: a machine in touch starts a task more than `cancel_ms` after the
    cancelling of its job was acknowledged. The store is stable `ContactMs`
    after its last disruption, the last late write included, and a machine is
    in touch `ContactMs` after that.
    """
    in_touch = play.store.disturbed + 2 * CONTACT_S
    found = []
    for at, kind, worker, task, run, _ in play.fleet.events:
        if kind != 'started':
            continue
        job_id = task.partition('.')[0]
        after = play.get_time(at) - cancelled.get(job_id, play.now)
        if after > CANCEL_S and at > in_touch:
            found.append(
                f'{task}: run {run} on {worker} began {after:.1f} s after the'
                ' cancel was acknowledged'
            )
    return found
