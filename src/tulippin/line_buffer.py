"""A log handler that never blocks: a bounded buffer in front of a file."""

from __future__ import annotations

import collections
import os
import select
import time
import typing as t

import logbook

from tulippin.logs import encode_line

# Buffer while the reader is slow: about 2 MB, a burst of some seconds.
_MAX_LINES: t.Final = 8000
# Lines with tracebacks are longer, so bytes are limited as well.
_MAX_BUFFER_BYTES: t.Final = 4_000_000
# A pipe accepts writes up to this size atomically, so no line is split.
_MAX_WRITE_BYTES: t.Final = select.PIPE_BUF
_MS_PER_S: t.Final = 1000


def _encode_with_newline(fields: t.Mapping[str, t.Any]) -> bytes:
    return b'%s\n' % encode_line(fields)


class LineBuffer(logbook.Handler):
    """A log handler that writes JSON lines without blocking.

    Lines go into a bounded buffer; ``flush`` writes as many as the file
    accepts. Lines that don't fit are dropped and counted, and the count is
    logged before the next line that fits. If writing fails, the lines stay
    in the buffer and the failure is logged once writing succeeds again: an
    instance goes on without a reader of its log.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    fields : mapping
        Included in each line.
    level : str
        The lowest level that is logged.
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
        self._chunk = b''
        self._write_error = ''
        self._write_error_count = 0
        self.dropped_count = 0
        self.waiting_bytes = 0
        os.set_blocking(descriptor, False)

    def change_level(self, level: str) -> None:
        """Change the lowest level that is logged."""
        self.level = logbook.lookup_level(level)

    def emit(self, record: logbook.LogRecord) -> None:
        """Add a record to the buffer, or count it as dropped."""
        line = self._format(record)
        if self._is_full(len(line)):
            self.dropped_count += 1
            return
        if self.dropped_count:
            count = self.dropped_count
            self.dropped_count = 0
            self._log('lines dropped', count=count)
        self._append(line)

    def _is_full(self, line_bytes: int) -> bool:
        exceeds_bytes = self.waiting_bytes + line_bytes > _MAX_BUFFER_BYTES
        return exceeds_bytes or len(self._lines) >= _MAX_LINES

    def _append(self, line: bytes) -> None:
        self._lines.append(line)
        self.waiting_bytes += len(line)

    def _log(self, message: str, **fields: t.Any) -> None:
        """Add a line about the buffer itself, past its limits."""
        self._append(
            _encode_with_newline({**self._fields, 'message': message, **fields})
        )

    def _format(self, record: logbook.LogRecord) -> bytes:
        line = {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name.lower(),
            **self._fields,
            'message': record.message,
            **record.kwargs,
        }
        return _encode_with_newline(line)

    def flush(self) -> None:
        """Write as much as the file accepts without blocking.

        If nothing can be written, because the reader is gone or the disk is
        full, the lines stay in the buffer and no error is raised.
        """
        while self._chunk or self._lines:
            if not self._chunk:
                self._chunk = self._take_chunk()
            if not self._write():
                return

    def drain(self, limit_s: float) -> None:
        """Write the whole buffer, waiting for a slow reader up to a limit.

        Called at the end of a process, whose last lines show why it ended.
        """
        deadline_s = time.monotonic() + limit_s
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        self.flush()
        while self.waiting_bytes and not self._write_error:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                return
            poll.poll(remaining_s * _MS_PER_S)
            self.flush()

    def _write(self) -> bool:
        """Write part of the current chunk; return whether any was accepted."""
        try:
            count = os.write(self._descriptor, self._chunk)
        except BlockingIOError:
            return False
        except OSError as error:
            self._write_error = str(error)
            self._write_error_count += 1
            return False
        self._chunk = self._chunk[count:]
        self.waiting_bytes -= count
        if self._write_error:
            self._log_write_error()
        return True

    def _log_write_error(self) -> None:
        reason = self._write_error
        count = self._write_error_count
        self._write_error = ''
        self._write_error_count = 0
        self._log('log was not written', reason=reason, count=count)

    def _take_chunk(self) -> bytes:
        """Take lines from the buffer that fit into one atomic write."""
        taken = []
        total = 0
        while self._lines:
            total += len(self._lines[0])
            if taken and total > _MAX_WRITE_BYTES:
                break
            taken.append(self._lines.popleft())
        return b''.join(taken)
