"""The generic function that begins an effect; handlers register with it."""

from __future__ import annotations

import functools
import typing as t

from tulippin.jobs.effects import JobEffect

if t.TYPE_CHECKING:
    from tulippin.jobs.shell import SchedulerShell


@functools.singledispatch
def perform(effect: JobEffect, shell: SchedulerShell) -> None:
    """Begin one effect."""
    raise NotImplementedError(type(effect))
