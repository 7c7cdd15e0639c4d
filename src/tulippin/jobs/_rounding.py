"""Rounds the figures of stored rows to few significant digits.

Rounding to decimal places would turn a small variance into 0, which means that
a value is certain. Significant digits preserve a variance of 1e-5 as well as a
time of an hour.
"""

from __future__ import annotations

import typing as t

# A row of ten images has about 600 figures; the results computed from them are
# compared with limits that are accurate to a few hundredths.
_SIGNIFICANT_DIGITS: t.Final = 6
# Relative increase that exceeds the rounding error of a figure.
_RELATIVE_MARGIN: t.Final = 1e-5


def round_figure(value: float) -> float:
    """Return a figure rounded to the stored digits."""
    return float(f'{value:.{_SIGNIFICANT_DIGITS}g}')


def round_all(values: t.Mapping[str, float]) -> dict[str, float]:
    """Return figures by name, rounded to the stored digits."""
    return {name: round_figure(value) for name, value in values.items()}


def round_covariances(rows: t.Sequence[t.Sequence[float]]) -> list[list[float]]:
    """Return a covariance matrix rounded to the stored digits.

    If two images are always seen together, the variance of their sum is a
    small difference of large figures, and rounding could make it negative. So
    each variance is increased by the rounding errors of its covariances, which
    never lowers the variance in any direction.

    Parameters
    ----------
    rows : sequence of sequences of float
        For each image the variance, and the covariances with those after it.
    """
    rounding_errors = [0.0 for _ in rows]
    rounded = []
    for row_index, row in enumerate(rows):
        rounded_row = [round_figure(value) for value in row]
        for offset, (new, old) in enumerate(zip(rounded_row, row, strict=True)):
            if offset:
                rounding_errors[row_index] += abs(new - old)
                rounding_errors[row_index + offset] += abs(new - old)
        rounded.append(rounded_row)
    for rounded_row, row, rounding_error in zip(
        rounded, rows, rounding_errors, strict=True
    ):
        rounded_row[0] = round_figure(
            (row[0] + rounding_error) * (1 + _RELATIVE_MARGIN)
        )
    return rounded
