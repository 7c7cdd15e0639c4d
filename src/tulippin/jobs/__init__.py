"""The job scheduler: runs jobs of steps and tasks on leased workers.

``make_state`` and ``reduce`` make the decisions, a ``SchedulerShell`` performs
their effects, and a ``JobIntake`` serves API calls.
"""

from __future__ import annotations

from tulippin.jobs.core import make_state, reduce
from tulippin.jobs.intake import JobIntake
from tulippin.jobs.ports import STORE_TIMEOUT_S, SchedulerPorts
from tulippin.jobs.shell import SchedulerShell
from tulippin.jobs.state import SchedulerConfig, SchedulerState

__all__ = (
    'STORE_TIMEOUT_S',
    'JobIntake',
    'SchedulerConfig',
    'SchedulerPorts',
    'SchedulerShell',
    'SchedulerState',
    'make_state',
    'reduce',
)
