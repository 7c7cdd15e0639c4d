"""Figures as rows keep them: few digits, and no less true for that.

A count of decimal places writes 0 for whatever is small enough, and a
variance of 0 says that something is known for sure. A count of significant
digits is as good for a variance of 1e-5 as for a time of an hour.
"""

from __future__ import annotations

import typing as t

# A row of ten images has some 600 figures; what is learned from them is
# compared with limits known to some hundredths.
_DIGITS: t.Final = 6
# More than rounding takes from a figure.
_RAISED: t.Final = 1e-5


def round_figure(value: float) -> float:
    """Return a figure with the digits that are kept."""
    return float(f'{value:.{_DIGITS}g}')


def round_all(values: t.Mapping[str, float]) -> dict[str, float]:
    """Return figures by name with the digits that are kept."""
    return {name: round_figure(value) for name, value in values.items()}


def round_covariances(rows: t.Sequence[t.Sequence[float]]) -> list[list[float]]:
    """Return a covariance matrix with the digits that are kept.

    Where two images are always seen together, little is known of each and
    much of their sum: the variance of the sum is what large figures differ
    by, and rounding those could leave it negative. So each variance is
    raised by what rounding changed beside it, which makes the whole no
    surer in any direction.

    Parameters
    ----------
    rows : sequence of sequences of float
        For each image the variance, and the covariances with those after it.
    """
    doubts = [0.0 for _ in rows]
    rounded = []
    for place, row in enumerate(rows):
        kept = [round_figure(value) for value in row]
        for after, (new, old) in enumerate(zip(kept, row, strict=True)):
            if after:
                doubts[place] += abs(new - old)
                doubts[place + after] += abs(new - old)
        rounded.append(kept)
    for kept, row, doubt in zip(rounded, rows, doubts, strict=True):
        kept[0] = round_figure((row[0] + doubt) * (1 + _RAISED))
    return rounded
