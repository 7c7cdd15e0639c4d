"""A call that times out takes the connections beside it with it."""

import contextlib

import attrs
import pytest
import trio

from tulippin._http_client import HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


# How long connections may take to stand before what a test is about.
STANDING_S = 4


@attrs.define
class Cuts:
    """How often the server has cut its connections, and how many stand."""

    count: int = 0
    standing: int = 0


async def serve(stream, cuts):
    """Answer, until the cut that this connection lives to see."""
    cuts.standing += 1
    try:
        with trio.move_on_after(5):
            await answer_until_cut(stream, cuts)
    finally:
        cuts.standing -= 1


async def answer_until_cut(stream, cuts):
    born = cuts.count
    while True:
        request = await stream.receive_some(65536)
        if not request:
            return
        if b'/slow' in request:
            await trio.sleep(0.5)
        elif b'/silent' in request or cuts.count != born:
            cuts.count += 1
            await trio.sleep_forever()
        await stream.send_all(ANSWER)


async def open_idle(client, url, cuts, count):
    """Have so many connections stand idle, whatever the first tries take.

    A process that stands still for the client's time-out loses a try at
    connecting, and that is not what is tested after this.
    """
    answered = []

    async def call():
        with contextlib.suppress(UnavailableError):
            answered.append(await client.send('GET', f'{url}/'))

    with trio.fail_after(STANDING_S):
        while len(answered) < count or cuts.standing != count:
            answered.clear()
            async with trio.open_nursery() as calls:
                for _ in range(count):
                    calls.start_soon(call)


async def open_server(nursery, cuts):
    listeners = await nursery.start(
        trio.serve_tcp,
        lambda stream: serve(stream, cuts),
        0,
    )
    port = listeners[0].socket.getsockname()[1]
    return f'http://127.0.0.1:{port}'


async def test_timeout_retires_idle_connections():
    cuts = Cuts()
    async with trio.open_nursery() as nursery, HttpClient(0.2) as client:
        url = await open_server(nursery, cuts)
        await open_idle(client, url, cuts, 4)
        with pytest.raises(AnswerLostError):
            await client.send('GET', f'{url}/silent')
        # The three idle ones, cut too, would each cost a timeout.
        began = trio.current_time()
        answer = await client.send('GET', f'{url}/')
        assert answer.body == b'ok'
        assert trio.current_time() - began < 0.1
        nursery.cancel_scope.cancel()


async def test_other_calls_of_a_retired_pool_still_end():
    cuts = Cuts()
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


async def count_reads(stream, reads):
    """Answer, and keep what each reading brought."""
    while True:
        request = await stream.receive_some(65536)
        if not request:
            return
        reads.append(request)
        await stream.send_all(ANSWER)


async def open_counting_server(nursery, reads, opened):
    async def handle(stream):
        opened.append(stream)
        with contextlib.suppress(trio.ClosedResourceError):
            await count_reads(stream, reads)

    listeners = await nursery.start(trio.serve_tcp, handle, 0)
    port = listeners[0].socket.getsockname()[1]
    return f'http://127.0.0.1:{port}'


async def test_request_goes_out_in_one_piece_on_the_same_connection():
    reads = []
    opened = []
    async with trio.open_nursery() as nursery, HttpClient(1) as client:
        url = await open_counting_server(nursery, reads, opened)
        for number in range(5):
            await client.send('POST', f'{url}/', b'%d' % number)
        # Head and body in two pieces came as two readings.
        assert [read[-1:] for read in reads] == [b'0', b'1', b'2', b'3', b'4']
        assert len(opened) == 1
        nursery.cancel_scope.cancel()


async def test_connection_that_the_server_closed_is_not_used_again():
    reads = []
    opened = []
    async with trio.open_nursery() as nursery, HttpClient(1) as client:
        url = await open_counting_server(nursery, reads, opened)
        await client.send('GET', f'{url}/')
        await opened[0].aclose()
        await trio.sleep(0.05)
        answer = await client.send('GET', f'{url}/')
        assert answer.body == b'ok'
        assert len(opened) == 2
        nursery.cancel_scope.cancel()


async def test_no_more_connections_than_allowed_are_in_use():
    cuts = Cuts()
    async with (
        trio.open_nursery() as nursery,
        HttpClient(0.2, connections=1) as client,
    ):
        url = await open_server(nursery, cuts)
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


async def test_cancelled_request_leaves_no_half_used_connection():
    cuts = Cuts()
    async with (
        trio.open_nursery() as nursery,
        HttpClient(1, connections=1) as client,
    ):
        url = await open_server(nursery, cuts)
        with trio.move_on_after(0.1):
            await client.send('GET', f'{url}/slow')
        assert (await client.send('GET', f'{url}/')).body == b'ok'
        nursery.cancel_scope.cancel()
