"""Logging of unexpected errors, one log line each.

Code that contains an unexpected error calls ``tell``, however it goes on.
The line includes the traceback, as the error's message alone shows neither
where it was raised nor for which input.
"""

from __future__ import annotations

import collections
import traceback
import typing as t

from tulippin.exceptions import TulippinError
from tulippin.logs import logger

# Only the end of a traceback is logged; a group repeats the frames above it.
_MAX_TRACEBACK_CHARS: t.Final = 6000
# The error's own text is cut, so that it doesn't displace the frames.
_MAX_CAUSE_CHARS: t.Final = 500
# Errors of one group that are logged beside the first.
_MAX_OTHER_CAUSES: t.Final = 3
# Exit code for an error that has none of its own.
_DEFAULT_EXIT_CODE: t.Final = 1
# Number of errors logged by this process, by log message.
counts: t.Final[collections.Counter[str]] = collections.Counter()
# A fault that recurs at each event or call would fill the log with copies of
# its traceback: only the first few are logged, then one in each interval.
_FIRST_TRACEBACKS: t.Final = 20
_TRACEBACK_INTERVAL: t.Final = 100

_log_counts: t.Final[collections.Counter[tuple[str, str, str]]] = (
    collections.Counter()
)


def find_causes(error: BaseException) -> list[BaseException]:
    """Return the errors that a group holds, at any depth, or the error."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [cause for part in error.exceptions for cause in find_causes(part)]


def describe(error: BaseException) -> dict[str, t.Any]:
    """Return the fields of a log line about an error.

    Parameters
    ----------
    error : BaseException
        The caught error; of a group, the first error within is described.

    Returns
    -------
    dict
        ``cause``, ``place`` and ``traceback``; ``other_causes`` if the
        group holds more than one.
    """
    cause, *others = find_causes(error)
    parts = traceback.format_exception(cause)
    text = ''.join(part[:_MAX_CAUSE_CHARS] for part in parts)
    details: dict[str, t.Any] = {
        'cause': _format_cause(cause),
        'place': _find_place(cause),
        'traceback': _escape_unencodable(text[-_MAX_TRACEBACK_CHARS:]),
    }
    if others:
        details['other_causes'] = list(
            map(_format_cause, others[:_MAX_OTHER_CAUSES])
        )
    return details


def _format_cause(cause: BaseException) -> str:
    """Return an error's ``repr``, or a substitute if that raises."""
    try:
        text = repr(cause)
    except Exception as repr_error:
        text = f'{type(cause).__name__}, whose repr raises {type(repr_error)}'
    return _escape_unencodable(text[:_MAX_CAUSE_CHARS])


def _find_place(cause: BaseException) -> str:
    """Return file, line and function of the innermost frame."""
    frames = traceback.extract_tb(cause.__traceback__)
    if not frames:
        return ''
    last = frames[-1]
    return f'{last.filename}:{last.lineno} {last.name}'


def _escape_unencodable(text: str) -> str:
    """Escape what UTF-8 can't encode, such as lone surrogates."""
    return text.encode(errors='backslashreplace').decode()


def get_exit_code(error: BaseException) -> int:
    """Return the exit code of a process that ends by an error.

    Errors of a group that differ in their codes give the general code.
    """
    codes = {
        cause.exit_code
        if isinstance(cause, TulippinError)
        else _DEFAULT_EXIT_CODE
        for cause in find_causes(error)
    }
    return codes.pop() if len(codes) == 1 else _DEFAULT_EXIT_CODE


def tell(message: str, error: BaseException, **fields: t.Any) -> None:
    """Log and count an unexpected error.

    An error that recurs is logged each time with its cause and place, but
    after the first few times mostly without its traceback.

    Parameters
    ----------
    message : str
        What failed: the log message, and the key in ``counts``.
    error : BaseException
        The error as it was caught.
    **fields
        More log fields, such as the unit, event or rows concerned.
    """
    counts[message] += 1
    details = describe(error)
    class_name = type(find_causes(error)[0]).__name__
    key = (message, class_name, details['place'])
    _log_counts[key] += 1
    log_count = _log_counts[key]
    if log_count > _FIRST_TRACEBACKS and log_count % _TRACEBACK_INTERVAL:
        details.pop('traceback')
        details['time_told'] = log_count
    logger.error(message, **fields, **details)
