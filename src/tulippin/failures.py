"""Errors that nothing was meant to raise, each told as one log line.

Whoever contains such an error says so here, whatever it does next. The line
holds the whole traceback: the last line of one tells neither which input
was at work nor where.
"""

from __future__ import annotations

import collections
import traceback
import typing as t

from tulippin.exceptions import TulippinError
from tulippin.logs import logger

# Of a traceback, its end; a group of exceptions repeats the frames above.
_TRACEBACK_SIGNS: t.Final = 6000
_CAUSE_SIGNS: t.Final = 500
# Errors of one group beside the first that are told.
_OTHER_CAUSES: t.Final = 3
# Of a process that ends by an error of no code.
_EXIT_CODE: t.Final = 1
# How often each has been told in this process, by what failed.
counts: t.Final[collections.Counter[str]] = collections.Counter()
# A fault at each event or call would fill the log with one traceback: it is
# told so often, then at each so many.
_WHOLE_COUNT: t.Final = 20
_WHOLE_EVERY: t.Final = 100

_times_told: t.Final[collections.Counter[tuple[str, str, str]]] = (
    collections.Counter()
)


def find_causes(error: BaseException) -> list[BaseException]:
    """Return the errors that a group holds, at any depth, or the error."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [cause for part in error.exceptions for cause in find_causes(part)]


def describe(error: BaseException) -> dict[str, t.Any]:
    """Return what a log line tells of an error.

    Parameters
    ----------
    error : BaseException
        As it was caught; the first cause of a group stands for it.

    Returns
    -------
    dict
        ``cause``, ``place`` and ``traceback``; ``other_causes`` if the
        group holds more than one.
    """
    cause, *others = find_causes(error)
    text = ''.join(traceback.format_exception(cause))
    told: dict[str, t.Any] = {
        'cause': _tell_cause(cause),
        'place': _find_place(cause),
        'traceback': _make_text(text[-_TRACEBACK_SIGNS:]),
    }
    if others:
        told['other_causes'] = list(map(_tell_cause, others[:_OTHER_CAUSES]))
    return told


def _tell_cause(cause: BaseException) -> str:
    return _make_text(repr(cause)[:_CAUSE_SIGNS])


def _find_place(cause: BaseException) -> str:
    frames = traceback.extract_tb(cause.__traceback__)
    if not frames:
        return ''
    last = frames[-1]
    return f'{last.filename}:{last.lineno} {last.name}'


def _make_text(text: str) -> str:
    """Return a text that UTF-8 can hold; an error's own may not be one."""
    return text.encode(errors='backslashreplace').decode()


def get_exit_code(error: BaseException) -> int:
    """Return the exit code of a process that an error ends."""
    codes = {
        cause.exit_code if isinstance(cause, TulippinError) else _EXIT_CODE
        for cause in find_causes(error)
    }
    return codes.pop() if len(codes) == 1 else _EXIT_CODE


def tell(what: str, error: BaseException, **fields: t.Any) -> None:
    """Log and count an unexpected error with all that is known of it.

    One that comes again and again is told each time with its cause and its
    place, but seldom with its traceback.

    Parameters
    ----------
    what : str
        What failed, as the line's message.
    error : BaseException
        What it raised.
    **fields
        What it was about: unit, event, rows.
    """
    counts[what] += 1
    told = describe(error)
    kind = type(find_causes(error)[0]).__name__
    key = (what, kind, told['place'])
    _times_told[key] += 1
    number = _times_told[key]
    if number > _WHOLE_COUNT and number % _WHOLE_EVERY:
        told.pop('traceback')
        told['time_told'] = number
    logger.error(what, **fields, **told)
