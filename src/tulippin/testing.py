"""Public helpers for tests: in-memory platforms, workers and fleets.

All of them run under ``trio.testing.MockClock``. ``tulippin.standins``
serves the same platform and workers over HTTP.
"""

from __future__ import annotations

from tulippin._fake_network import FakeNetwork, NetworkFaults
from tulippin._fake_platform import (
    FakeDirectory,
    FakeObjects,
    FakeTable,
    RateMeter,
    StoreFaults,
)
from tulippin._fake_worker import FakeWorker, WorkerFaults
from tulippin._fleet import Fleet, FleetSize
from tulippin._single import PEER, SESSION, SingleInstance, make_worker
from tulippin._soak import (
    FaultKind,
    FaultStep,
    Scenario,
    SoakResult,
    make_scenario,
    run_scenario,
)
from tulippin.history import History, check_history

__all__ = (
    'PEER',
    'SESSION',
    'FakeDirectory',
    'FakeNetwork',
    'FakeObjects',
    'FakeTable',
    'FakeWorker',
    'FaultKind',
    'FaultStep',
    'Fleet',
    'FleetSize',
    'History',
    'NetworkFaults',
    'RateMeter',
    'Scenario',
    'SingleInstance',
    'SoakResult',
    'StoreFaults',
    'WorkerFaults',
    'check_history',
    'make_scenario',
    'make_worker',
    'run_scenario',
)
