"""Connections of clients that break the protocol, on a server of its own."""

import contextlib
import random

import logbook
import pytest
import trio
from hypercorn.events import RawData
from hypercorn.protocol.h11 import H11Protocol

from refusing_app import refuse_at_once
from tulippin._client_connections import ConnectionTable
from tulippin._http_client import HttpClient
from tulippin._http_server import HttpServer
from tulippin.client_limits import ClientLimits, RequestLimits

REQUEST = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody'
CHUNKED = (
    b'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\r\nbody\r\n0\r\nX-Trailer: x\r\n\r\n'
)
UPGRADE = (
    b'GET /x HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n\x81\x05hello'
)
H2C = (
    b'GET /x HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\n'
    b'Connection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: AAMAAABk\r\n\r\n'
)
HTTP2 = (
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0'
    b'\0\0\5\2\0\0\0\0\1\0\0\0\0\x10\0\0\4\0\0\0\0\0\1body'
)
SEEDS = (REQUEST, CHUNKED, UPGRADE, H2C, HTTP2)
MUTATIONS_PER_SEED = 150
DEFAULT_LIMITS = ClientLimits()
SMALL_REQUESTS = RequestLimits(1000, 10_000)


async def echo(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError(scope['type'])
    body = b''
    is_whole = False
    while not is_whole:
        message = await receive()
        body += message.get('body', b'')
        is_whole = not message.get('more_body', False)
    headers = [(b'content-length', str(len(body)).encode())]
    start = {'type': 'http.response.start', 'status': 200, 'headers': headers}
    await send(start)
    await send({'type': 'http.response.body', 'body': body})


@contextlib.asynccontextmanager
async def serve(app=echo, limits=DEFAULT_LIMITS, request_limits=None):
    handler = logbook.TestHandler()
    table = ConnectionTable(limits)
    request_limits = request_limits or RequestLimits()
    server = HttpServer(
        app, '127.0.0.1:0', table=table, get_limits=lambda: request_limits
    )
    with handler.applicationbound(), server:
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve)
            nursery.start_soon(table.watch)
            yield server, handler
            nursery.cancel_scope.cancel()


async def check_serving(server):
    """Check that an ordinary request is answered."""
    async with HttpClient(5) as client:
        response = await client.send(
            'POST', f'http://127.0.0.1:{server.port}/x', b'ordinary'
        )
    assert (response.status, response.body) == (200, b'ordinary')


@pytest.mark.plants_errors
async def test_error_of_a_connection_ends_that_connection_alone(monkeypatch):
    """Guards against an error that ends the process for all clients."""
    handle = H11Protocol.handle

    async def fail(self, event):
        if isinstance(event, RawData) and event.data.startswith(b'FAIL'):
            raise ZeroDivisionError('planted')
        await handle(self, event)

    monkeypatch.setattr(H11Protocol, 'handle', fail)
    async with serve() as (server, handler):
        other = await trio.open_tcp_stream('127.0.0.1', server.port)
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        await stream.send_all(b'FAIL')
        with trio.fail_after(5):
            assert await stream.receive_some() == b''
        await other.send_all(REQUEST)
        with trio.fail_after(5):
            assert (await other.receive_some()).startswith(b'HTTP/1.1 200')
        await check_serving(server)
    (record,) = [
        one for one in handler.records if one.message == 'connection failed'
    ]
    assert record.kwargs['cause'] == "ZeroDivisionError('planted')"


def mutate(source, choices):
    """Return a request with bytes that are changed, doubled or left out."""
    changed = bytearray(source)
    for _ in range(choices.randint(1, 4)):
        place = choices.randrange(len(changed))
        length = choices.randint(1, 12)
        match choices.randrange(4):
            case 0:
                changed[place] = choices.randrange(256)
            case 1:
                del changed[place : place + length]
            case 2:
                changed[place:place] = changed[place : place + length] * 3
            case _:
                changed[place:place] = choices.randbytes(length)
        if not changed:
            break
    return bytes(changed)


async def send_and_leave(port, sent, choices):
    """Send bytes whole or in two pieces; then leave in one of three ways."""
    with contextlib.suppress(OSError, trio.BrokenResourceError):
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        async with stream:
            cut = choices.randint(0, len(sent))
            await stream.send_all(sent[:cut])
            await trio.sleep(choices.choice((0, 0.001)))
            await stream.send_all(sent[cut:])
            leaving = choices.randrange(3)
            if leaving == 0:
                await stream.send_eof()
            if leaving != 2:
                with trio.move_on_after(0.02):
                    await stream.receive_some()


@pytest.mark.parametrize('seed', range(5))
async def test_mutated_requests_leave_the_server_running(seed):
    """Guards against inputs of one client that end the listener."""
    choices = random.Random(seed)
    async with serve() as (server, _):
        for source in SEEDS:
            for _ in range(MUTATIONS_PER_SEED // len(SEEDS)):
                sent = mutate(source, choices)
                await send_and_leave(server.port, sent, choices)
        await check_serving(server)


async def respond_at_length(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError(scope['type'])
    content = b'x' * 10_000_000
    headers = [(b'content-length', str(len(content)).encode())]
    start = {'type': 'http.response.start', 'status': 200, 'headers': headers}
    await send(start)
    await send({'type': 'http.response.body', 'body': content})


async def test_stalled_request_is_refused_as_not_run():
    """Guards against connections that stay open with half a request."""
    async with serve(limits=ClientLimits(stall_s=1)) as (server, _):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        await stream.send_all(REQUEST[:-1])
        with trio.fail_after(10):
            answer = await stream.receive_some()
            assert await stream.receive_some() == b''
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'retry-after: 1' in answer


async def test_slow_request_is_served():
    """A client that makes progress is not closed."""
    async with serve(limits=ClientLimits(stall_s=1)) as (server, _):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        for start in range(0, len(REQUEST), 8):
            await stream.send_all(REQUEST[start : start + 8])
            await trio.sleep(0.4)
        with trio.fail_after(5):
            assert (await stream.receive_some()).startswith(b'HTTP/1.1 200')


async def test_response_that_is_not_taken_is_given_up():
    limits = ClientLimits(stall_s=1)
    async with serve(respond_at_length, limits) as (server, _):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        await stream.send_all(REQUEST)
        with trio.fail_after(10):
            while len(server._table):
                await trio.sleep(0.05)


async def test_response_that_is_not_taken_does_not_hold_up_the_end():
    """Guards against a process that has to be killed at its stop."""
    async with serve(respond_at_length) as (server, _):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        await stream.send_all(REQUEST)
        await trio.sleep(0.1)
        server.shut_down(0.1)
        with trio.fail_after(5):
            await server.stopped.wait()


async def refuse_early(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError(scope['type'])
    await receive()
    # The queue of messages fills up meanwhile.
    await trio.sleep(0.1)
    headers = [(b'content-length', b'0')]
    start = {'type': 'http.response.start', 'status': 413, 'headers': headers}
    await send(start)
    await send({'type': 'http.response.body', 'body': b''})


async def test_application_that_ends_early_leaves_no_connection():
    """Guards against connections that stay open with the rest of a body."""
    head = CHUNKED.partition(b'4\r\n')[0]
    async with serve(refuse_early) as (server, _):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        await stream.send_all(head)
        with contextlib.suppress(trio.BrokenResourceError):
            for _ in range(400):
                with trio.move_on_after(0.2):
                    await stream.send_all(b'3e8\r\n%b\r\n' % (b'x' * 1000))
                await trio.sleep(0.001)
        with trio.fail_after(3):
            while len(server._table):
                await trio.sleep(0.05)


def make_head(body_bytes):
    return b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n' % (
        body_bytes
    )


async def send_in_pieces(stream, content):
    for start in range(0, len(content), 1000):
        await stream.send_all(content[start : start + 1000])
        await trio.sleep(0.001)


@pytest.mark.parametrize(
    ('app', 'body_bytes', 'sent_first', 'status'),
    [
        (refuse_at_once, 100_000, b'', 413),
        (echo, SMALL_REQUESTS.request_bytes + 20_000, b'', 413),
        (echo, 80_000, CHUNKED.partition(b'4\r\n')[0] + b'no length', 400),
        (echo, 80_000, b'GET /x HTTP/2.0\r\nHost: a\r\n\r\n', 505),
    ],
    ids=['by the application', 'for its size', 'as invalid', 'for its version'],
)
async def test_refusal_reaches_a_client_that_sends_its_body_first(
    app, body_bytes, sent_first, status
):
    """Guards against refusals that are lost as the connection is reset."""
    body = b'\r\n' + b'x' * (body_bytes - 2)
    async with serve(app, request_limits=SMALL_REQUESTS) as (server, _):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        with trio.fail_after(5):
            await stream.send_all(sent_first or make_head(body_bytes))
            await send_in_pieces(stream, body)
            answer = await stream.receive_some()
            assert await stream.receive_some() == b''
    assert answer.startswith(b'HTTP/1.1 %d' % status)


async def test_refused_client_that_sends_without_end_is_closed():
    """Guards against refused connections that stay open."""
    async with (
        serve(refuse_at_once) as (server, _),
        trio.open_nursery() as nursery,
    ):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        await stream.send_all(make_head(10**9))
        nursery.start_soon(send_until_closed, stream, 0.05)
        with trio.fail_after(5):
            assert (await stream.receive_some()).startswith(b'HTTP/1.1 413')
            while len(server._table):
                await trio.sleep(0.05)


async def send_until_closed(stream, pause_s):
    """Return how many bytes were taken until the connection was reset."""
    sent_bytes = 0
    with contextlib.suppress(trio.BrokenResourceError):
        while True:
            await stream.send_all(b'x' * 10_000)
            sent_bytes += 10_000
            await trio.sleep(pause_s)
    return sent_bytes


async def test_refused_client_sends_no_more_than_another_request():
    """Guards against a process that is busy with bodies that it refused."""
    # What the buffers of both ends may hold.
    kernel_bytes = 8 * 2**20
    async with serve(refuse_at_once) as (server, _):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        await stream.send_all(make_head(10**9))
        with trio.fail_after(5):
            sent_bytes = await send_until_closed(stream, 0)
        assert sent_bytes < RequestLimits().request_bytes + kernel_bytes


async def test_refused_client_that_waits_is_closed():
    async with serve(refuse_at_once) as (server, _):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        await stream.send_all(make_head(1000))
        with trio.fail_after(5):
            assert (await stream.receive_some()).startswith(b'HTTP/1.1 413')
            assert await stream.receive_some() == b''
            while len(server._table):
                await trio.sleep(0.05)


@pytest.mark.parametrize('piece_bytes', [1000, 100_000])
async def test_headers_of_the_largest_size_are_accepted(piece_bytes):
    """Guards against legal headers that are refused if they come in pieces."""
    padding = b'X-Padding: ' + b'x' * 65_000
    sent = REQUEST.replace(b'Host: a', b'Host: a\r\n' + padding)
    async with serve() as (server, _):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        for start in range(0, len(sent), piece_bytes):
            await stream.send_all(sent[start : start + piece_bytes])
            await trio.sleep(0.001)
        with trio.fail_after(5):
            assert (await stream.receive_some()).startswith(b'HTTP/1.1 200')


async def test_other_tasks_run_while_many_chunks_are_parsed():
    """Guards against a process that does nothing but parse for one client."""
    head = CHUNKED.partition(b'4\r\n')[0]
    # They are received at once, as a crowd's requests would be.
    chunks = b'1\r\nx\r\n' * 2700
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            await trio.lowlevel.checkpoint()
            turns += 1

    async with serve() as (server, _), trio.open_nursery() as nursery:
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        await stream.send_all(head)
        await trio.sleep(0.05)
        async with server._table.turn:
            nursery.start_soon(count_turns)
            await stream.send_all(chunks + b'0\r\n\r\n')
            await trio.sleep(0.1)
            assert turns > 0
        with trio.fail_after(5):
            assert (await stream.receive_some()).startswith(b'HTTP/1.1 200')
        nursery.cancel_scope.cancel()


async def test_request_sent_ahead_waits_for_its_turn():
    """Guards against clients that keep others from getting an answer."""
    async with serve() as (server, _):
        stream = await trio.open_tcp_stream('127.0.0.1', server.port)
        async with server._table.turn:
            await stream.send_all(REQUEST * 2)
            await check_serving(server)
            with trio.fail_after(5):
                answers = await stream.receive_some()
            assert answers.count(b'HTTP/1.1 200') == 1
        with trio.fail_after(5):
            while answers.count(b'HTTP/1.1 200') < 2:
                answers += await stream.receive_some()
