"""A scheduler for colocated latency-critical and batch work.

The library's parts: ``make_state`` and ``reduce`` decide, a ``Shell``
carries out effects, ``Daemon`` is one instance with its listeners, and
``tulippin.testing`` brings stand-ins and whole fleets in virtual time.
"""

from __future__ import annotations

import importlib
import typing as t

__version__ = '0.3.0'

# A name's module is imported at its first use: a daemon that needs few
# of them starts sooner and stays smaller.
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
