"""Runs the work that each tick brings, after ready tasks have been placed."""

from __future__ import annotations

from tulippin.jobs import (
    _copies,
    _draining,
    _giving_up,
    _headroom,
    _job_moves,
    _pacing,
    _standby_workers,
    _transfers,
    _wait_diagnostics,
)
from tulippin.jobs._dispatch import Context


def tick(context: Context) -> None:
    """Run periodic work, after all ready tasks have been placed."""
    _pacing.tick(context)
    _giving_up.tick(context)
    _copies.tick(context)
    _standby_workers.tick(context)
    _draining.tick(context)
    _transfers.tick(context)
    _job_moves.tick(context)
    _headroom.tick(context)
    _wait_diagnostics.log_waits(context)
