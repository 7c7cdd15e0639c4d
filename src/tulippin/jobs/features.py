"""Parts of the job scheduler that are switched on by the settings."""

from __future__ import annotations

import attrs


@attrs.frozen
class Features:
    """The optional parts that an instance uses; all are off by default.

    Parameters
    ----------
    job_part_count : int
        Number of parts of the store that hold accepted jobs, for a layout that
        this instance creates.
    bounds_writes : bool
        Whether callers' writes are retried sparingly while the store is slow.
    has_admission : bool
        Whether jobs that would be completed too late are rejected at once.
    orders_by_progress : bool
        Whether steps are ordered by what is known of their jobs' progress.
    budgets_harm : bool
        Whether opportunistic runs are slowed by what their neighbours lose.
    harm_limit_ms : int
        The longest time for which opportunistic runs may cause a miss.
    gathers_reports : bool
        Whether workers are asked for reports only as often as decisions need.
    gathers_reads : bool
        Whether an instance that owns no unit reads leases less often.
    """

    job_part_count: int = 8
    bounds_writes: bool = False
    has_admission: bool = False
    orders_by_progress: bool = False
    budgets_harm: bool = False
    harm_limit_ms: int = 4000
    gathers_reports: bool = False
    gathers_reads: bool = False
