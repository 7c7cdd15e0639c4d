"""Helpers for tests: stand-ins for the platform and whole fleets.

They run in memory under ``trio.testing.MockClock``, or behind HTTP
through ``tulippin.standins``.
"""

from __future__ import annotations

from tulippin._fake_platform import (
    FakeDirectory,
    FakeObjects,
    FakeTable,
    RateMeter,
    StoreFaults,
)
from tulippin._fake_worker import FakeWorker, WorkerFaults
from tulippin._fleet import FakeNetwork, Fleet, FleetSize, NetworkFaults
from tulippin.history import History, check_history

__all__ = (
    'FakeDirectory',
    'FakeNetwork',
    'FakeObjects',
    'FakeTable',
    'FakeWorker',
    'Fleet',
    'FleetSize',
    'History',
    'NetworkFaults',
    'RateMeter',
    'StoreFaults',
    'WorkerFaults',
    'check_history',
)
