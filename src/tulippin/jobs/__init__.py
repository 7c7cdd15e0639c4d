"""Jobs of steps and tasks on workers with leases: the batch scheduler.

``make_state`` and ``reduce`` decide; a ``SchedulerShell`` carries out
effects; a ``JobIntake`` takes callers' calls.
"""

from __future__ import annotations

from tulippin.jobs.core import make_state, reduce
from tulippin.jobs.intake import JobIntake
from tulippin.jobs.ports import SchedulerPorts
from tulippin.jobs.shell import SchedulerShell
from tulippin.jobs.state import SchedulerConfig, SchedulerState

__all__ = (
    'JobIntake',
    'SchedulerConfig',
    'SchedulerPorts',
    'SchedulerShell',
    'SchedulerState',
    'make_state',
    'reduce',
)
