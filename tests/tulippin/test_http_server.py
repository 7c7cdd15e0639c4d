"""Responses and log lines for unexpected errors of an application.

Guards against lost errors: the logs of hypercorn are switched off, so that an
exception in a handler gave callers a 500 with an empty body and no log line.
"""

import contextlib
import json
import socket

import logbook
import pytest
import trio
from starlette.routing import Route

from tulippin._http_app import make_app, make_json, read_json
from tulippin._http_client import HttpClient
from tulippin._http_server import HttpServer
from tulippin.exceptions import AnswerLostError, FencedError

START = {
    'type': 'http.response.start',
    'status': 200,
    'headers': [(b'content-length', b'100')],
}


async def fail_at_once(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError(scope['type'])
    raise ZeroDivisionError('planted')


async def fail_after_first_chunk(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError(scope['type'])
    await send(START)
    await send(
        {'type': 'http.response.body', 'body': b'half', 'more_body': True}
    )
    raise ZeroDivisionError('planted')


async def fail_beside_a_cancelled_task(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError(scope['type'])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.sleep_forever)
        raise ZeroDivisionError('planted')


async def send_invalid_header(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError(scope['type'])
    await send({**START, 'headers': [(b'x', b'a\r\nb')]})


async def respond(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError(scope['type'])
    await send({**START, 'headers': [(b'content-length', b'4')]})
    await send({'type': 'http.response.body', 'body': b'done'})


@contextlib.asynccontextmanager
async def serve(app):
    handler = logbook.TestHandler()
    with handler.applicationbound(), HttpServer(app, '127.0.0.1:0') as server:
        async with trio.open_nursery() as nursery, HttpClient(2) as client:
            await nursery.start(server.serve)
            yield client, f'http://127.0.0.1:{server.port}', handler
            nursery.cancel_scope.cancel()


def list_failures(handler):
    return [
        record for record in handler.records if record.message == 'call failed'
    ]


@pytest.mark.plants_errors
@pytest.mark.parametrize('app', [fail_at_once, fail_beside_a_cancelled_task])
async def test_error_is_logged_once_and_outcome_is_unknown(app):
    async with serve(app) as (client, url, handler):
        response = await client.send('POST', f'{url}/q/00112233445566aa', b'{}')
    assert response.status == 500
    assert response.headers['content-type'] == 'application/json'
    body = json.loads(response.body)
    # The handler may have done its work before it raised.
    assert (body['code'], body['outcome']) == ('internal', 'unknown')
    (record,) = list_failures(handler)
    assert record.kwargs['method'] == 'POST'
    assert record.kwargs['path'] == '/q/00112233445566aa'
    assert record.kwargs['id'] == '00112233445566aa'
    assert record.kwargs['cause'] == "ZeroDivisionError('planted')"
    assert record.kwargs['place'].endswith(app.__name__)


@pytest.mark.plants_errors
async def test_started_response_is_not_completed():
    async with serve(fail_after_first_chunk) as (client, url, handler):
        with pytest.raises(AnswerLostError):
            await client.send('GET', f'{url}/x')
    assert len(list_failures(handler)) == 1


@pytest.mark.plants_errors
async def test_response_with_an_invalid_header_becomes_an_error_response():
    async with serve(send_invalid_header) as (client, url, handler):
        response = await client.send('GET', f'{url}/x')
    assert response.status == 500
    assert json.loads(response.body)['code'] == 'internal'
    assert len(list_failures(handler)) == 1


@pytest.mark.plants_errors
async def test_error_in_a_route_is_logged_once():
    async def fail(request):
        raise ZeroDivisionError('planted')

    app = make_app([Route('/x', fail)])
    async with serve(app) as (client, url, handler):
        response = await client.send('GET', f'{url}/x')
        # Starlette responds before it raises the error again.
        with trio.fail_after(2):
            while not list_failures(handler):
                await trio.sleep(0.01)
    assert response.status == 500
    assert json.loads(response.body)['outcome'] == 'unknown'
    (record,) = list_failures(handler)
    assert record.kwargs['place'].endswith('fail')


@pytest.mark.plants_errors
async def test_tulippin_error_without_a_status_is_an_internal_error():
    async def fail(request):
        raise FencedError('planted')

    app = make_app([Route('/x', fail)])
    async with serve(app) as (client, url, handler):
        response = await client.send('GET', f'{url}/x')
        with trio.fail_after(2):
            while not list_failures(handler):
                await trio.sleep(0.01)
    assert response.status == 500
    # The error may have been raised after some work was done.
    assert json.loads(response.body)['outcome'] == 'unknown'
    (record,) = list_failures(handler)
    assert record.kwargs['cause'] == "FencedError('planted')"


@pytest.mark.plants_errors
async def test_server_responds_after_an_error():
    async def fail_first(scope, receive, send):
        if scope['path'] == '/bad':
            raise ZeroDivisionError('planted')
        await app(scope, receive, send)

    async def respond(request):
        return make_json({'fine': True})

    app = make_app([Route('/good', respond)])
    async with serve(fail_first) as (client, url, _):
        for path, status in (('bad', 500), ('good', 200), ('bad', 500)):
            response = await client.send('GET', f'{url}/{path}')
            assert response.status == status


@pytest.mark.plants_errors
async def test_long_path_is_truncated_in_the_log():
    async with serve(fail_at_once) as (client, url, handler):
        await client.send('GET', f'{url}/{"x" * 5000}')
    (record,) = list_failures(handler)
    assert len(record.kwargs['path']) <= 200
    assert len(record.kwargs['id']) <= 64


async def test_client_disconnect_is_not_logged_as_a_failure():
    async def read(request):
        return make_json(await read_json(request, dict, 1000))

    app = make_app([Route('/x', read, methods=['POST'])])
    async with serve(app) as (_, url, handler):
        port = int(url.rpartition(':')[2])
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        head = b'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{'
        await stream.send_all(head)
        await trio.sleep(0.1)
        await stream.aclose()
        await trio.sleep(0.2)
    assert not list_failures(handler)


async def test_shutdown_answers_connections_that_wait_to_be_accepted():
    """Guards against requests reset because the event loop was delayed."""
    answers = []

    async def read(connection):
        with contextlib.closing(connection):
            connection.settimeout(5)
            answers.append(await trio.to_thread.run_sync(receive, connection))

    async with trio.open_nursery() as nursery:
        with HttpServer(respond, '127.0.0.1:0') as server:
            await nursery.start(server.serve)
            connections = [
                socket.create_connection(('127.0.0.1', server.port))
                for _ in range(20)
            ]
            for connection in connections:
                connection.sendall(b'GET / HTTP/1.1\r\nHost: host\r\n\r\n')
            server.shut_down()
            for connection in connections:
                nursery.start_soon(read, connection)
    assert len(answers) == 20
    assert all(one.endswith(b'done') for one in answers)


def receive(connection):
    """Return what a connection receives until it is closed or reset."""
    parts = []
    with contextlib.suppress(ConnectionResetError):
        while part := connection.recv(4096):
            parts.append(part)
    return b''.join(parts)
