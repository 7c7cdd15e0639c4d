"""A call that times out takes the connections beside it with it."""

import pytest
import trio

from tulippin._http_client import HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def serve(stream, cuts):
    """Answer, until the cut that this connection lives to see."""
    born = cuts['count']
    with trio.move_on_after(5):
        while True:
            request = await stream.receive_some(65536)
            if not request:
                return
            if b'/slow' in request:
                await trio.sleep(0.5)
            elif b'/silent' in request or cuts['count'] != born:
                cuts['count'] += 1
                await trio.sleep_forever()
            await stream.send_all(ANSWER)


async def open_server(nursery, cuts):
    listeners = await nursery.start(
        trio.serve_tcp,
        lambda stream: serve(stream, cuts),
        0,
    )
    port = listeners[0].socket.getsockname()[1]
    return f'http://127.0.0.1:{port}'


async def test_timeout_retires_idle_connections():
    cuts = {'count': 0}
    async with trio.open_nursery() as nursery, HttpClient(0.2) as client:
        url = await open_server(nursery, cuts)
        async with trio.open_nursery() as calls:
            for _ in range(4):
                calls.start_soon(client.send, 'GET', f'{url}/')
        with pytest.raises(AnswerLostError):
            await client.send('GET', f'{url}/silent')
        # The three idle ones, cut too, would each cost a timeout.
        began = trio.current_time()
        answer = await client.send('GET', f'{url}/')
        assert answer.body == b'ok'
        assert trio.current_time() - began < 0.1
        nursery.cancel_scope.cancel()


async def test_other_calls_of_a_retired_pool_still_end():
    cuts = {'count': 0}
    async with trio.open_nursery() as nursery, HttpClient(0.2) as client:
        url = await open_server(nursery, cuts)
        answers = []

        async def wait_long():
            answer = await client.send('GET', f'{url}/slow', extra_wait_ms=1000)
            answers.append(answer.status)

        async with trio.open_nursery() as calls:
            calls.start_soon(wait_long)
            with pytest.raises(AnswerLostError):
                await client.send('GET', f'{url}/silent')
        assert answers == [200]
        nursery.cancel_scope.cancel()


async def test_refused_connection_is_surely_not_sent():
    async with HttpClient(0.2) as client:
        with pytest.raises(UnavailableError) as caught:
            await client.send('GET', 'http://127.0.0.1:1/')
        assert not isinstance(caught.value, AnswerLostError)
