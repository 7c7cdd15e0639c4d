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
# Of an error's own text; the frames stand before it.
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
    parts = traceback.format_exception(cause)
    text = ''.join(part[:_CAUSE_SIGNS] for part in parts)
    return {
        'cause': _show(cause),
        'place': place,
        'traceback': _make_writable(text[-_TRACEBACK_SIGNS:]),
    }


def _show(cause: BaseException) -> str:
    """Return an error's text; its own code may fail at that."""
    try:
        text = repr(cause)
    except Exception as second:
        text = f'{type(cause).__name__}, whose text raises {type(second)}'
    return _make_writable(text[:_CAUSE_SIGNS])


def _make_writable(text: str) -> str:
    """Replace what no line can hold: a lone half of a sign."""
    return text.encode('utf-8', 'backslashreplace').decode()


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
