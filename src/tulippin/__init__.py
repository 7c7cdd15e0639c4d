"""A scheduler for colocated latency-critical and batch work.

``make_state`` and ``reduce`` make the decisions, a ``Shell`` carries out
their effects and ``Daemon`` runs one instance with its listeners.
``tulippin.testing`` has test doubles and simulates fleets in virtual time.
"""

from __future__ import annotations

import importlib
import typing as t

__version__ = '0.3.0'

# Modules are imported at the first use of a name, which saves start time and
# memory in daemons that need few of them.
_MODULES: t.Final = {
    'BestFitPolicy': 'tulippin.policies',
    'Bundle': 'tulippin.bundles',
    'Comparison': 'tulippin.stats',
    'Config': 'tulippin.state',
    'ConflictError': 'tulippin.exceptions',
    'DeniedError': 'tulippin.exceptions',
    'Finding': 'tulippin.exceptions',
    'InputError': 'tulippin.exceptions',
    'InterferencePolicy': 'tulippin.policies',
    'JobKind': 'tulippin.types',
    'JobSpec': 'tulippin.types',
    'LeastLoadedPolicy': 'tulippin.policies',
    'NotFoundError': 'tulippin.exceptions',
    'Policy': 'tulippin.policies',
    'Ports': 'tulippin.ports',
    'RandomPolicy': 'tulippin.policies',
    'Resources': 'tulippin.types',
    'Settings': 'tulippin.settings',
    'Shell': 'tulippin.shell',
    'State': 'tulippin.state',
    'TulippinError': 'tulippin.exceptions',
    'UnavailableError': 'tulippin.exceptions',
    'WorkerInfo': 'tulippin.types',
    'compute_digest': 'tulippin.bundles',
    'load_settings': 'tulippin.settings',
    'make_state': 'tulippin.core',
    'merge_reports': 'tulippin.stats',
    'parse_bundle': 'tulippin.bundles',
    'parse_settings': 'tulippin.settings',
    'reduce': 'tulippin.core',
    'sign': 'tulippin.bundles',
    'verify': 'tulippin.bundles',
}

__all__ = tuple(_MODULES)


def __getattr__(name: str) -> t.Any:
    """Import a public name at its first use."""
    if name not in _MODULES:
        raise AttributeError(f'module {__name__!r} has no {name!r}')
    value = getattr(importlib.import_module(_MODULES[name]), name)
    globals()[name] = value
    return value


def __dir__() -> list[str]:
    """Return all public names."""
    return sorted((*__all__, '__version__'))
