"""A small HTTP/1.1 server and client on asyncio, for stand-ins."""

import asyncio
import json

HEAD_LIMIT = 1 << 16
BODY_LIMIT = 8 << 20


class Dropped(Exception):
    """Raised by a handler that leaves a request without an answer."""


class Server:
    """Serves one address; `handle(method, target, headers, body)` answers.

    The handler returns a status and a JSON value, or None for no body.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.address = ''

    async def start(self, port=0):
        """Listen on a loopback address."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=HEAD_LIMIT, backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self):
        """Close the listener and break all connections, as a crash does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                try:
                    status, value = await self._handle(*request)
                except Dropped:
                    # No answer, and nothing further on this connection.
                    await asyncio.sleep(3600)
                    return
                body = b'' if value is None else json.dumps(value).encode()
                writer.write(
                    b'HTTP/1.1 %d x\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(body)) + body
                )
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The task of a connection is cancelled only at the end.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_request(reader):
    """Return method, target, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return method, target, headers, body


class Connection:
    """A client connection that is kept open between requests."""

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self._target = host, int(port)
        self._streams = None

    async def send(self, method, path, headers, body=b'', timeout_s=5.0):
        """Return status, headers and body.

        Raises OSError, EOFError or TimeoutError where there is no answer.
        """
        try:
            return await asyncio.wait_for(
                self._send(method, path, headers, body), timeout_s
            )
        except BaseException:
            self.close()
            raise

    async def _send(self, method, path, headers, body):
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                *self._target, limit=HEAD_LIMIT
            )
        reader, writer = self._streams
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        writer.write('\r\n'.join(lines).encode() + body)
        await writer.drain()
        head = await reader.readuntil(b'\r\n\r\n')
        first, *rows = head.decode('latin-1').split('\r\n')[:-2]
        found = {}
        for row in rows:
            name, _, text = row.partition(':')
            found[name.strip().lower()] = text.strip()
        answer = await reader.readexactly(int(found.get('content-length', 0)))
        if found.get('connection', '').lower() == 'close':
            self.close()
        return int(first.split(' ')[1]), found, answer

    def close(self):
        """Close the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
