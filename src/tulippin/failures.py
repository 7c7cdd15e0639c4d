"""Errors that nothing was meant to raise, each told as one log line.

Whoever contains such an error says so here, whatever it does next. The line
holds the whole traceback: the last line of one tells neither which input
was at work nor where.
"""

from __future__ import annotations

import traceback
import typing as t

from tulippin.logs import logger

# Of a traceback, its end; a group of exceptions repeats the frames above.
_TRACEBACK_SIGNS: t.Final = 6000
_CAUSE_SIGNS: t.Final = 500


def find_causes(error: BaseException) -> list[BaseException]:
    """Return the errors that a group holds, at any depth, or the error."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [cause for part in error.exceptions for cause in find_causes(part)]


def describe(error: BaseException) -> dict[str, str]:
    """Return what a log line tells of an error.

    Parameters
    ----------
    error : BaseException
        As it was caught; the first cause of a group stands for it.

    Returns
    -------
    dict of str to str
        ``cause``, ``place`` and ``traceback``.
    """
    cause = find_causes(error)[0]
    frames = traceback.extract_tb(cause.__traceback__)
    place = ''
    if frames:
        last = frames[-1]
        place = f'{last.filename}:{last.lineno} {last.name}'
    text = ''.join(traceback.format_exception(cause))
    return {
        'cause': repr(cause)[:_CAUSE_SIGNS],
        'place': place,
        'traceback': text[-_TRACEBACK_SIGNS:],
    }


def tell(what: str, error: BaseException, **fields: t.Any) -> None:
    """Log an unexpected error with all that is known of it.

    Parameters
    ----------
    what : str
        What failed, as the line's message.
    error : BaseException
        What it raised.
    **fields
        What it was about: unit, event, rows.
    """
    logger.error(what, **fields, **describe(error))
