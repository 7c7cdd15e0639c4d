"""Admission: what a team may hold, and jobs that could never run."""

from __future__ import annotations

import collections

import attrs

from tulippin._context import Context
from tulippin.state import Phase, RangeState
from tulippin.types import JobSpec


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


@attrs.define
class TeamUse:
    """What each team holds of the shares kept here, for one round."""

    shares: dict[str, int]
    used: collections.Counter[str]

    def has_room(self, spec: JobSpec) -> bool:
        """Tell whether a team's share has room for one more task."""
        share = self.shares.get(spec.team)
        if share is None:
            return True
        return self.used[spec.team] + spec.size.cpu_millicores <= share

    def add(self, spec: JobSpec) -> None:
        """Count one more task."""
        self.used[spec.team] += spec.size.cpu_millicores


def count_use(context: Context) -> TeamUse:
    """Return each team's share and use over the ranges owned here.

    Every range holds an equal share of each team's quota, so the
    shares' sum never exceeds it. A range that is still being loaded
    counts on neither side.
    """
    state = context.state
    bundle = state.bundle
    limits = bundle.teams.values() if bundle is not None else ()
    homes = [
        home for home in state.ranges.values() if home.phase is Phase.ACTIVE
    ]
    shares = {
        limit.team: limit.cpu_millicores
        * len(homes)
        // state.config.range_count
        for limit in limits
        if limit.cpu_millicores
    }
    use = TeamUse(shares, collections.Counter())
    if shares:
        for home in homes:
            _count_home(home, use)
    return use


def _count_home(home: RangeState, use: TeamUse) -> None:
    """Count what is assigned, and what is about to be."""
    for spec in home.assigning.values():
        use.add(spec)
    for offer in home.offers.values():
        job = home.ledger.jobs.get(offer.task.job_id)
        if job is not None:
            use.add(job.spec)
