"""Log lines that never block: a bounded buffer before a file."""

from __future__ import annotations

import collections
import os
import select
import time
import typing as t

import logbook

from tulippin.logs import encode_line

# Lines kept while the reader is slow: some 2 MB, a burst of seconds.
_LINE_LIMIT: t.Final = 8000
# Lines that hold a traceback are longer.
_LIMIT_BYTES: t.Final = 4_000_000
# A pipe takes so many bytes whole or not at all, so no line is torn.
_WRITE_BYTES: t.Final = select.PIPE_BUF
_MS: t.Final = 1000


def _make_line(fields: t.Mapping[str, t.Any]) -> bytes:
    return b'%s\n' % encode_line(fields)


class LineBuffer(logbook.Handler):
    """A log handler that writes JSON lines without ever waiting.

    Lines go into a bounded buffer, which ``flush`` writes as far as the
    file takes them. What finds the buffer full is dropped and counted,
    and the count is told with the next line that has room. A file that
    refuses to be written keeps the lines here, and is told of once it
    takes them again: an instance works on without a reader of its log.

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
        self._refusal = ''
        self._refusal_count = 0
        self.dropped_count = 0
        self.waiting_bytes = 0
        os.set_blocking(descriptor, False)

    def change_level(self, level: str) -> None:
        """Change the least level to write."""
        self.level = logbook.lookup_level(level)

    def emit(self, record: logbook.LogRecord) -> None:
        """Put a line into the buffer, or count it as dropped."""
        line = self._format(record)
        if self._is_full(len(line)):
            self.dropped_count += 1
            return
        if self.dropped_count:
            count = self.dropped_count
            self.dropped_count = 0
            self._tell('lines dropped', count=count)
        self._append(line)

    def _is_full(self, more_bytes: int) -> bool:
        is_long = self.waiting_bytes + more_bytes > _LIMIT_BYTES
        return is_long or len(self._lines) >= _LINE_LIMIT

    def _append(self, line: bytes) -> None:
        self._lines.append(line)
        self.waiting_bytes += len(line)

    def _tell(self, message: str, **fields: t.Any) -> None:
        """Put a line of the buffer's own beside those of others."""
        self._append(_make_line({**self._fields, 'message': message, **fields}))

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
        """Write as much as the file takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._gather()
            if not self._write():
                return

    def drain(self, limit_s: float) -> None:
        """Write what waits, and wait for a slow reader for so long at most.

        For the end of a process: the last lines tell why it ended.
        """
        until_s = time.monotonic() + limit_s
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        self.flush()
        while self.waiting_bytes and not self._refusal:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return
            poll.poll(left_s * _MS)
            self.flush()

    def _write(self) -> bool:
        """Write a part of what waits; return whether the file took any."""
        try:
            count = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        except OSError as error:
            self._refusal = str(error)
            self._refusal_count += 1
            return False
        self._rest = self._rest[count:]
        self.waiting_bytes -= count
        if self._refusal:
            self._tell_refusal()
        return True

    def _tell_refusal(self) -> None:
        reason = self._refusal
        count = self._refusal_count
        self._refusal = ''
        self._refusal_count = 0
        self._tell('log was not written', reason=reason, count=count)

    def _gather(self) -> bytes:
        chosen = []
        total = 0
        while self._lines:
            total += len(self._lines[0])
            if chosen and total > _WRITE_BYTES:
                break
            chosen.append(self._lines.popleft())
        return b''.join(chosen)
