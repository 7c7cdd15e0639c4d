"""A scheduler for colocated latency-critical and batch work.

The library's parts: ``make_state`` and ``reduce`` decide, a ``Shell``
carries out effects, ``Daemon`` is one instance with its listeners, and
``tulippin.testing`` brings stand-ins and whole fleets in virtual time.
"""

from __future__ import annotations

from tulippin.bundles import Bundle, compute_digest, parse_bundle, sign, verify
from tulippin.core import make_state, reduce
from tulippin.exceptions import (
    ConflictError,
    DeniedError,
    Finding,
    InputError,
    NotFoundError,
    TulippinError,
    UnavailableError,
)
from tulippin.policies import (
    BestFitPolicy,
    InterferencePolicy,
    LeastLoadedPolicy,
    Policy,
    RandomPolicy,
)
from tulippin.ports import Ports
from tulippin.settings import Settings, load_settings, parse_settings
from tulippin.shell import Shell
from tulippin.state import Config, State
from tulippin.stats import Comparison, merge_reports
from tulippin.types import JobKind, JobSpec, Resources, WorkerInfo

__version__ = '0.1.0'

__all__ = (
    'BestFitPolicy',
    'Bundle',
    'Comparison',
    'Config',
    'ConflictError',
    'DeniedError',
    'Finding',
    'InputError',
    'InterferencePolicy',
    'JobKind',
    'JobSpec',
    'LeastLoadedPolicy',
    'NotFoundError',
    'Policy',
    'Ports',
    'RandomPolicy',
    'Resources',
    'Settings',
    'Shell',
    'State',
    'TulippinError',
    'UnavailableError',
    'WorkerInfo',
    'compute_digest',
    'load_settings',
    'make_state',
    'merge_reports',
    'parse_bundle',
    'parse_settings',
    'reduce',
    'sign',
    'verify',
)
