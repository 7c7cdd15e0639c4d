"""Connection pooling of the HTTP client.

A request that times out retires all connections of the pool.
"""

import contextlib

import attrs
import pytest
import trio

from tulippin._http_client import HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
SETUP_TIMEOUT_S = 4


@attrs.define
class Outages:
    """Outages of a server so far, and the number of its open connections."""

    count: int = 0
    open_count: int = 0


async def serve(stream, outages):
    """Serve a connection until the next outage of the server."""
    outages.open_count += 1
    try:
        with trio.move_on_after(5):
            await respond_until_outage(stream, outages)
    finally:
        outages.open_count -= 1


async def respond_until_outage(stream, outages):
    initial_count = outages.count
    while True:
        request = await stream.receive_some(65536)
        if not request:
            return
        if b'/slow' in request:
            await trio.sleep(0.5)
        elif b'/silent' in request or outages.count != initial_count:
            outages.count += 1
            await trio.sleep_forever()
        await stream.send_all(RESPONSE)


async def open_idle(client, url, outages, count):
    """Open ``count`` idle connections; requests that fail are retried.

    On a loaded machine a request may time out while connections are opened,
    which the tests don't look at.
    """
    responses = []

    async def call():
        with contextlib.suppress(UnavailableError):
            responses.append(await client.send('GET', f'{url}/'))

    with trio.fail_after(SETUP_TIMEOUT_S):
        while len(responses) < count or outages.open_count != count:
            responses.clear()
            async with trio.open_nursery() as calls:
                for _ in range(count):
                    calls.start_soon(call)


async def open_server(nursery, outages):
    listeners = await nursery.start(
        trio.serve_tcp,
        lambda stream: serve(stream, outages),
        0,
    )
    port = listeners[0].socket.getsockname()[1]
    return f'http://127.0.0.1:{port}'


async def test_timeout_retires_idle_connections():
    outages = Outages()
    async with trio.open_nursery() as nursery, HttpClient(0.2) as client:
        url = await open_server(nursery, outages)
        await open_idle(client, url, outages, 4)
        with pytest.raises(AnswerLostError):
            await client.send('GET', f'{url}/silent')
        # Each of the three idle connections is silent too and would cost a
        # timeout.
        start_s = trio.current_time()
        response = await client.send('GET', f'{url}/')
        assert response.body == b'ok'
        assert trio.current_time() - start_s < 0.1
        nursery.cancel_scope.cancel()


async def test_open_requests_of_a_retired_pool_complete():
    outages = Outages()
    async with trio.open_nursery() as nursery, HttpClient(0.2) as client:
        url = await open_server(nursery, outages)
        statuses = []

        async def wait_long():
            response = await client.send(
                'GET', f'{url}/slow', extra_wait_ms=1000
            )
            statuses.append(response.status)

        async with trio.open_nursery() as calls:
            calls.start_soon(wait_long)
            with pytest.raises(AnswerLostError):
                await client.send('GET', f'{url}/silent')
        assert statuses == [200]
        nursery.cancel_scope.cancel()


async def test_refused_connection_is_reported_as_not_sent():
    async with HttpClient(0.2) as client:
        with pytest.raises(UnavailableError) as caught:
            await client.send('GET', 'http://127.0.0.1:1/')
        assert not isinstance(caught.value, AnswerLostError)


async def record_reads(stream, reads):
    """Respond to each request and record the bytes of each read."""
    while True:
        request = await stream.receive_some(65536)
        if not request:
            return
        reads.append(request)
        await stream.send_all(RESPONSE)


async def open_recording_server(nursery, reads, opened):
    async def handle(stream):
        opened.append(stream)
        with contextlib.suppress(trio.ClosedResourceError):
            await record_reads(stream, reads)

    listeners = await nursery.start(trio.serve_tcp, handle, 0)
    port = listeners[0].socket.getsockname()[1]
    return f'http://127.0.0.1:{port}'


async def test_requests_use_one_connection_and_one_write_each():
    reads = []
    opened = []
    async with trio.open_nursery() as nursery, HttpClient(1) as client:
        url = await open_recording_server(nursery, reads, opened)
        for number in range(5):
            await client.send('POST', f'{url}/', b'%d' % number)
        # A head and a body that are sent separately arrive as two reads.
        assert [read[-1:] for read in reads] == [b'0', b'1', b'2', b'3', b'4']
        assert len(opened) == 1
        nursery.cancel_scope.cancel()


async def test_connection_closed_by_the_server_is_not_reused():
    reads = []
    opened = []
    async with trio.open_nursery() as nursery, HttpClient(1) as client:
        url = await open_recording_server(nursery, reads, opened)
        await client.send('GET', f'{url}/')
        await opened[0].aclose()
        await trio.sleep(0.05)
        response = await client.send('GET', f'{url}/')
        assert response.body == b'ok'
        assert len(opened) == 2
        nursery.cancel_scope.cancel()


async def test_connection_limit_is_respected():
    outages = Outages()
    async with (
        trio.open_nursery() as nursery,
        HttpClient(0.2, connections=1) as client,
    ):
        url = await open_server(nursery, outages)
        async with trio.open_nursery() as calls:

            async def wait_long():
                await client.send('GET', f'{url}/slow', extra_wait_ms=1000)

            calls.start_soon(wait_long)
            await trio.sleep(0.05)
            with pytest.raises(UnavailableError) as caught:
                await client.send('GET', f'{url}/')
        assert not isinstance(caught.value, AnswerLostError)
        assert (await client.send('GET', f'{url}/')).body == b'ok'
        nursery.cancel_scope.cancel()


async def test_connection_of_a_cancelled_request_is_not_reused():
    outages = Outages()
    async with (
        trio.open_nursery() as nursery,
        HttpClient(1, connections=1) as client,
    ):
        url = await open_server(nursery, outages)
        with trio.move_on_after(0.1):
            await client.send('GET', f'{url}/slow')
        assert (await client.send('GET', f'{url}/')).body == b'ok'
        nursery.cancel_scope.cancel()


@attrs.frozen
class AnyPeer:
    """Accepts any process, once it has answered a question."""

    may_ask: bool
    path: str = '/'
    question: bytes = b''

    def confirm(self, status, body):
        return body

    def accepts(self, peer):
        return True


async def test_request_to_known_processes_only_uses_an_open_connection():
    outages = Outages()
    async with trio.open_nursery() as nursery, HttpClient(0.2) as client:
        url = await open_server(nursery, outages)
        with pytest.raises(UnavailableError) as caught:
            await client.send('GET', f'{url}/', check=AnyPeer(may_ask=False))
        assert not isinstance(caught.value, AnswerLostError)
        assert outages.open_count == 0
        await client.send('GET', f'{url}/', check=AnyPeer(may_ask=True))
        response = await client.send(
            'GET', f'{url}/', check=AnyPeer(may_ask=False)
        )
        assert response.body == b'ok'
        assert outages.open_count == 1
        nursery.cancel_scope.cancel()
