"""What a job is worth to its callers, by its work and by when it completes."""

from __future__ import annotations

import typing as t

# A job completed within its objective has its full value, one completed up to
# this multiple of it the late value, and none later.
MAX_OBJECTIVE_MULTIPLE: t.Final = 3
LATE_VALUE: t.Final = 0.15
# The value of a job has a constant part, and one that grows with its work
# relative to the mean of its queue, up to a limit.
_CONSTANT_PART: t.Final = 0.3
_MAX_RELATIVE_WORK: t.Final = 4.0


def compute_value(relative_work: float) -> float:
    """Return the value of a job completed in time.

    Parameters
    ----------
    relative_work : float
        Its work relative to the mean of its queue.

    Returns
    -------
    float
        1 for a job of mean work.
    """
    limited = min(_MAX_RELATIVE_WORK, relative_work)
    return _CONSTANT_PART + (1 - _CONSTANT_PART) * limited
