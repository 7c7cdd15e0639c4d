"""Structured logging with logbook, as text or as JSON lines.

All modules log through ``logger``; fields are passed as keywords.
"""

from __future__ import annotations

import sys
import typing as t

import logbook

from tulippin.codec_json import encode

if t.TYPE_CHECKING:
    from tulippin.settings import LogSettings

_TEXT_FORMAT: t.Final = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name:<7}'
    ' {record.extra[instance]} {record.extra[failure_domain]}'
    ' {record.channel}: {record.message}{record.extra[fields]}'
)

logger = logbook.Logger('tulippin')


def encode_line(fields: t.Mapping[str, t.Any]) -> bytes:
    """Return a log line as JSON, whatever its fields hold.

    A value that JSON can't represent is written as its ``repr``. Such a
    line is most likely about a fault, so it must not be lost.
    """
    try:
        return encode(fields)
    except (TypeError, ValueError, RecursionError):
        return encode(
            {name: _to_json_value(value) for name, value in fields.items()}
        )


def _to_json_value(value: t.Any) -> t.Any:
    """Return a value that JSON can represent, or its ``repr``."""
    try:
        encode(value)
    except (TypeError, ValueError, RecursionError):
        return repr(value).encode(errors='backslashreplace').decode()
    return value


def _format_json(record: logbook.LogRecord, _: object) -> str:
    return encode_line(
        {
            'time': f'{record.time.isoformat()}Z',
            'level': record.level_name.lower(),
            'instance': record.extra['instance'],
            'failure_domain': record.extra['failure_domain'],
            'channel': record.channel,
            'message': record.message,
            **record.kwargs,
        }
    ).decode()


class LogSetup:
    """Sends logs to standard error; a context manager.

    Parameters
    ----------
    settings : LogSettings
        Style and level.
    instance_id, failure_domain : str
        Included in each line.
    """

    def __init__(
        self, settings: LogSettings, instance_id: str, failure_domain: str
    ) -> None:
        handler = logbook.StreamHandler(
            sys.stderr, level=settings.level.upper(), format_string=_TEXT_FORMAT
        )
        if settings.style == 'json':
            handler.formatter = _format_json

        def add_extra_fields(record: logbook.LogRecord) -> None:
            record.extra['instance'] = instance_id
            record.extra['failure_domain'] = failure_domain
            record.extra['fields'] = ''.join(
                f' {name}={value}' for name, value in record.kwargs.items()
            )

        self._setup = logbook.NestedSetup(
            [
                logbook.NullHandler(),
                handler,
                logbook.Processor(add_extra_fields),
            ]
        )

    def __enter__(self) -> t.Self:
        """Install the log handler for the process."""
        self._setup.push_application()
        return self

    def __exit__(self, *details: object) -> None:
        """Remove the log handler."""
        self._setup.pop_application()
