"""Structured logs by logbook: text or JSON lines, one shape for all."""

from __future__ import annotations

import sys
import typing as t

import logbook

from tulippin.codec_json import encode

if t.TYPE_CHECKING:
    from tulippin.settings import LogSettings

_TEXT: t.Final = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name:<7}'
    ' {record.extra[instance]} {record.extra[failure_domain]}'
    ' {record.channel}: {record.message}{record.extra[fields]}'
)

logger = logbook.Logger('tulippin')


def encode_line(fields: t.Mapping[str, t.Any]) -> bytes:
    """Return a log line as JSON, whatever its fields hold.

    A value that JSON does not take is told as text: the line that holds one
    is most likely about a fault, and would be lost with it.
    """
    try:
        return encode(fields)
    except (TypeError, ValueError, RecursionError):
        return encode(
            {name: _make_plain(value) for name, value in fields.items()}
        )


def _make_plain(value: t.Any) -> t.Any:
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
        Written on each line.
    """

    def __init__(
        self, settings: LogSettings, instance_id: str, failure_domain: str
    ) -> None:
        handler = logbook.StreamHandler(
            sys.stderr, level=settings.level.upper(), format_string=_TEXT
        )
        if settings.style == 'json':
            handler.formatter = _format_json

        def inject(record: logbook.LogRecord) -> None:
            record.extra['instance'] = instance_id
            record.extra['failure_domain'] = failure_domain
            record.extra['fields'] = ''.join(
                f' {name}={value}' for name, value in record.kwargs.items()
            )

        self._setup = logbook.NestedSetup(
            [
                logbook.NullHandler(),
                handler,
                logbook.Processor(inject),
            ]
        )

    def __enter__(self) -> t.Self:
        """Begin to log."""
        self._setup.push_application()
        return self

    def __exit__(self, *details: object) -> None:
        """Stop logging."""
        self._setup.pop_application()
