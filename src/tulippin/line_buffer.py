"""Log lines that never block: a bounded buffer before a file."""

from __future__ import annotations

import collections
import os
import select
import typing as t

import logbook

from tulippin.codec_json import encode

# Lines kept while the reader is slow: some 2 MB, a burst of seconds.
_LINE_LIMIT: t.Final = 8000
# A pipe takes so many bytes whole or not at all, so no line is torn.
_WRITE_BYTES: t.Final = select.PIPE_BUF


def _make_line(fields: t.Mapping[str, t.Any]) -> bytes:
    return b'%s\n' % encode(fields)


class LineBuffer(logbook.Handler):
    """A log handler that writes JSON lines without ever waiting.

    Lines go into a bounded buffer, which ``flush`` writes as far as the
    file takes them. What finds the buffer full is dropped and counted,
    and the count is told with the next line that has room.

    Parameters
    ----------
    descriptor : int
        Where to write; it is switched to non-blocking.
    fields : mapping
        Written on each line.
    level : str
        The least level to write.
    """

    def __init__(
        self,
        descriptor: int,
        fields: t.Mapping[str, t.Any],
        level: str = 'INFO',
    ) -> None:
        super().__init__(level=level, bubble=False)
        self._descriptor = descriptor
        self._fields = dict(fields)
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b''
        self.dropped_count = 0
        self._refused_count = 0
        self._refused_by = ''
        os.set_blocking(descriptor, False)

    def change_level(self, level: str) -> None:
        """Change the least level to write."""
        self.level = logbook.lookup_level(level)

    def emit(self, record: logbook.LogRecord) -> None:
        """Put a line into the buffer, or count it as dropped."""
        if len(self._lines) >= _LINE_LIMIT:
            self.dropped_count += 1
            return
        if self.dropped_count:
            told = {'message': 'lines dropped', 'count': self.dropped_count}
            self.dropped_count = 0
            self._lines.append(_make_line({**self._fields, **told}))
        self._lines.append(self._format(record))

    def _format(self, record: logbook.LogRecord) -> bytes:
        line = {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name.lower(),
            **self._fields,
            'message': record.message,
            **record.kwargs,
        }
        return _make_line(line)

    def flush(self) -> None:
        """Write as much as the file takes now.

        One that takes nothing, as its reader has gone or its disk is full,
        ends nobody: the lines wait, and that is told once it takes some.
        """
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._gather()
            try:
                count = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError as error:
                self._refused_count += 1
                self._refused_by = repr(error)
                return
            self._rest = self._rest[count:]
            self._tell_refused()

    def _tell_refused(self) -> None:
        """Say, once lines are taken, that for a while none were."""
        if not self._refused_count:
            return
        told = {
            'message': 'log not written',
            'count': self._refused_count,
            'cause': self._refused_by,
        }
        self._refused_count = 0
        self._lines.append(_make_line({**self._fields, **told}))

    def _gather(self) -> bytes:
        chosen = []
        total = 0
        while self._lines:
            total += len(self._lines[0])
            if chosen and total > _WRITE_BYTES:
                break
            chosen.append(self._lines.popleft())
        return b''.join(chosen)
