"""Admission: what a team may hold, and jobs that could never run."""

from __future__ import annotations

from tulippin._context import Context
from tulippin.types import JobSpec, Resources


def check_job(context: Context, spec: JobSpec) -> str:
    """Return why a job is refused, or an empty text.

    A job is refused if no worker known could ever hold one of its
    tasks, or if its team is unknown to the bundle or over its priority.
    """
    state = context.state
    if state.bundle is not None and state.bundle.teams:
        limit = state.bundle.teams.get(spec.team)
        if limit is None:
            return 'unknown_team'
        if spec.priority > limit.max_priority:
            return 'priority_too_high'
    if state.workers and not any(
        worker.capacity.fits(spec.size) for worker in state.workers.values()
    ):
        return 'never_fits'
    return ''


def has_room(context: Context, spec: JobSpec) -> bool:
    """Tell whether a team's share held here has room for one task.

    Every range holds an equal share of each team's quota; the shares'
    sum never exceeds it.
    """
    bundle = context.state.bundle
    limit = bundle.teams.get(spec.team) if bundle else None
    if limit is None or not limit.cpu_millicores:
        return True
    share = limit.cpu_millicores * len(context.state.ranges)
    share //= context.state.config.range_count
    used = _get_used(context, spec.team)
    return used.cpu_millicores + spec.size.cpu_millicores <= share


def _get_used(context: Context, team: str) -> Resources:
    used = Resources()
    for home in context.state.ranges.values():
        for offer in home.offers.values():
            job = home.ledger.jobs.get(offer.task.job_id)
            if job is not None and job.spec.team == team:
                used = used.add(job.spec.size)
    return used
