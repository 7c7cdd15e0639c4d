"""Evacuated failure domains: operators ask that nothing more is started there.

Runs that are there go on and may be stopped, paced and renewed; work that
waits goes to workers of other failure domains.
"""

from __future__ import annotations

from tulippin.jobs._dispatch import Context, handle
from tulippin.jobs.events import EvacuationsChanged
from tulippin.jobs.state import SchedulerState, Worker


@handle.register
def _apply_evacuations(event: EvacuationsChanged, context: Context) -> None:
    state = context.state
    state.evacuated_domains = event.failure_domains
    state.closed_units = event.closed_units
    state.is_placing_due = True
    if state.workers:
        context.log(
            'evacuations in force',
            failure_domains=sorted(event.failure_domains),
            closed_workers=sum(
                is_closed(one, state) for one in state.workers.values()
            ),
            workers=len(state.workers),
        )


def is_closed(worker: Worker, state: SchedulerState) -> bool:
    """Whether nothing may be started on a worker, as it is evacuated."""
    return worker.entry.failure_domain in state.evacuated_domains


def is_unit_closed(state: SchedulerState) -> bool:
    """Whether all workers of the unit are evacuated."""
    return state.config.unit.number in state.closed_units
