"""What callers and logs are told when an application's own code fails.

The story: a handler raised at an input that nobody had thought of. Callers
saw 500 with an empty body, again and again, and no line told why: the server
below the applications logs nowhere, so that the error was gone.
"""

import contextlib
import json

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


async def fail_half_way(scope, receive, send):
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


async def answer_with_a_faulty_header(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError(scope['type'])
    await send({**START, 'headers': [(b'x', b'a\r\nb')]})


@contextlib.asynccontextmanager
async def serve(app):
    handler = logbook.TestHandler()
    with handler.applicationbound(), HttpServer(app, '127.0.0.1:0') as server:
        async with trio.open_nursery() as nursery, HttpClient(2) as client:
            await nursery.start(server.serve)
            yield client, f'http://127.0.0.1:{server.port}', handler
            nursery.cancel_scope.cancel()


def list_failures(handler):
    return [one for one in handler.records if one.message == 'call failed']


@pytest.mark.plants_errors
@pytest.mark.parametrize('app', [fail_at_once, fail_beside_a_cancelled_task])
async def test_error_is_told_once_and_answered_as_unknown(app):
    async with serve(app) as (client, url, handler):
        answer = await client.send('POST', f'{url}/q/00112233445566aa', b'{}')
    assert answer.status == 500
    assert answer.headers['content-type'] == 'application/json'
    body = json.loads(answer.body)
    # What raised may have done its work before.
    assert (body['code'], body['outcome']) == ('internal', 'unknown')
    (told,) = list_failures(handler)
    assert told.kwargs['method'] == 'POST'
    assert told.kwargs['path'] == '/q/00112233445566aa'
    assert told.kwargs['id'] == '00112233445566aa'
    assert told.kwargs['cause'] == "ZeroDivisionError('planted')"
    assert told.kwargs['place'].endswith(app.__name__)


@pytest.mark.plants_errors
async def test_answer_that_has_begun_is_not_completed():
    async with serve(fail_half_way) as (client, url, handler):
        with pytest.raises(AnswerLostError):
            await client.send('GET', f'{url}/x')
    assert len(list_failures(handler)) == 1


@pytest.mark.plants_errors
async def test_answer_that_the_server_refuses_is_a_complete_error():
    async with serve(answer_with_a_faulty_header) as (client, url, handler):
        answer = await client.send('GET', f'{url}/x')
    assert answer.status == 500
    assert json.loads(answer.body)['code'] == 'internal'
    assert len(list_failures(handler)) == 1


@pytest.mark.plants_errors
async def test_error_behind_routes_is_told_once():
    async def fail(request):
        raise ZeroDivisionError('planted')

    app = make_app([Route('/x', fail)])
    async with serve(app) as (client, url, handler):
        answer = await client.send('GET', f'{url}/x')
        # The routes answer first and raise the error on.
        with trio.fail_after(2):
            while not list_failures(handler):
                await trio.sleep(0.01)
    assert answer.status == 500
    assert json.loads(answer.body)['outcome'] == 'unknown'
    (told,) = list_failures(handler)
    assert told.kwargs['place'].endswith('fail')


@pytest.mark.plants_errors
async def test_error_of_the_family_without_a_status_is_a_fault_of_ours():
    async def fail(request):
        raise FencedError('planted')

    app = make_app([Route('/x', fail)])
    async with serve(app) as (client, url, handler):
        answer = await client.send('GET', f'{url}/x')
        with trio.fail_after(2):
            while not list_failures(handler):
                await trio.sleep(0.01)
    assert answer.status == 500
    # Nothing says that it was raised before any work was done.
    assert json.loads(answer.body)['outcome'] == 'unknown'
    (told,) = list_failures(handler)
    assert told.kwargs['cause'] == "FencedError('planted')"


@pytest.mark.plants_errors
async def test_connection_is_served_on_after_an_error():
    async def fail_first(scope, receive, send):
        if scope['path'] == '/bad':
            raise ZeroDivisionError('planted')
        await app(scope, receive, send)

    async def answer(request):
        return make_json({'fine': True})

    app = make_app([Route('/good', answer)])
    async with serve(fail_first) as (client, url, _):
        for path, status in (('bad', 500), ('good', 200), ('bad', 500)):
            found = await client.send('GET', f'{url}/{path}')
            assert found.status == status


@pytest.mark.plants_errors
async def test_long_path_is_told_in_part():
    async with serve(fail_at_once) as (client, url, handler):
        await client.send('GET', f'{url}/{"x" * 5000}')
    (told,) = list_failures(handler)
    assert len(told.kwargs['path']) <= 200
    assert len(told.kwargs['id']) <= 64


async def test_caller_that_leaves_is_no_fault_of_ours():
    async def take(request):
        return make_json(await read_json(request, dict, 1000))

    app = make_app([Route('/x', take, methods=['POST'])])
    async with serve(app) as (_, url, handler):
        port = int(url.rpartition(':')[2])
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        head = b'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{'
        await stream.send_all(head)
        await trio.sleep(0.1)
        await stream.aclose()
        await trio.sleep(0.2)
    assert not list_failures(handler)
