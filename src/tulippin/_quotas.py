"""Admission control: team quotas, and refusal of jobs that can't run."""

from __future__ import annotations

import collections

import attrs

from tulippin._context import Context
from tulippin.state import Phase, RangeState
from tulippin.types import JobSpec


def check_job(context: Context, spec: JobSpec) -> str:
    """Return the code with which a job is refused, or an empty string.

    A job is refused if its team is not in the bundle, if its priority
    exceeds the team's limit, or if no known worker has the capacity for
    one of its tasks.
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
class TeamUsage:
    """Processors used by each team against its share, in millicores.

    It is computed for one dispatch round and updated with each task that
    the round assigns. A team without an entry in ``shares`` has no limit.
    """

    shares: dict[str, int]
    used: collections.Counter[str]

    def has_quota(self, spec: JobSpec) -> bool:
        """Return whether the team's share allows one more task of a job."""
        share = self.shares.get(spec.team)
        if share is None:
            return True
        return self.used[spec.team] + spec.size.cpu_millicores <= share

    def add(self, spec: JobSpec) -> None:
        """Add one more task of a job to its team's usage."""
        self.used[spec.team] += spec.size.cpu_millicores


def count_team_usage(context: Context) -> TeamUsage:
    """Return each team's share and usage over the active owned ranges.

    Every range holds an equal share of each team's quota, so the sum of
    the shares never exceeds it. A range that is not active counts for
    neither share nor usage.
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
    usage = TeamUsage(shares, collections.Counter())
    if shares:
        for home in homes:
            _add_home_usage(home, usage)
    return usage


def _add_home_usage(home: RangeState, usage: TeamUsage) -> None:
    """Add a range's assigned tasks and pending assignments."""
    for spec in home.assigning.values():
        usage.add(spec)
    for offer in home.offers.values():
        job = home.ledger.jobs.get(offer.task.job_id)
        if job is not None:
            usage.add(job.spec)
