"""Dispatch of effects to the functions that perform them."""

from __future__ import annotations

import functools
import typing as t

from tulippin.jobs.effects import JobEffect

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell


@functools.singledispatch
def perform(effect: JobEffect, shell: UnitShell) -> None:
    """Start to perform one effect; modules register one function per type."""
    raise NotImplementedError(type(effect))
