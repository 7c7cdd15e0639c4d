"""The generic function that begins an effect; handlers register with it."""

from __future__ import annotations

import functools
import typing as t

from tulippin.jobs.effects import JobEffect

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell


@functools.singledispatch
def perform(effect: JobEffect, shell: UnitShell) -> None:
    """Begin one effect."""
    raise NotImplementedError(type(effect))
