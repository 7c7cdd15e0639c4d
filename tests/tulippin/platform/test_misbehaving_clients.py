"""Crowds of clients that send too much, break off or never read.

Whatever they do, the process lives, stays within the memory of the smallest
machine and keeps descriptors for its own connections, and an ordinary request
is answered while they stay connected.
"""

import contextlib
import itertools
import json

import pytest
import trio

from client_crowds import (
    DESCRIPTOR_LIMIT,
    JOB,
    MACHINE_MEMORY_BYTES,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    RESERVED_DESCRIPTORS,
    SMALL_JOB,
    make_head,
    make_padded_job,
    make_post,
    raise_own_descriptor_limit,
    run_crowded,
    send_while_read,
)

# More bytes than one client may occupy in an instance.
FLOOD_BYTES = 48 * 2**20
CHUNKED = 'Transfer-Encoding: chunked'
# A deadline of the largest value that is accepted.
PATIENT = 'Deadline-Ms: 3600000'
WHOLE_BODY = make_padded_job(MAX_BODY_BYTES)


def make_job_of_steps():
    """Return a valid job with as many steps as its body may hold."""
    step = '{"Count":1}'
    count = (MAX_BODY_BYTES - 40) // (len(step) + 1)
    return f'{{"Spec":"","Steps":[{",".join([step] * count)}]}}'.encode()


def make_job_of_faults():
    """Return an invalid job with as many faults as its body may hold."""
    step = '{"Count":0,"Cpu":-1,"MemMb":-1,"Gpus":-1,"may_miss":-1}'
    count = (MAX_BODY_BYTES - 40) // (len(step) + 1)
    return f'{{"Spec":"","Steps":[{",".join([step] * count)}]}}'.encode()


def make_chunks(body, chunk_bytes):
    """Return a body in chunks, without the last chunk."""
    parts = [
        body[start : start + chunk_bytes]
        for start in range(0, len(body), chunk_bytes)
    ]
    return b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in parts)


async def check_instance(instance):
    """Check the bounds while the crowd is still connected."""
    assert instance.is_alive, instance.output[-2000:]
    ready = await instance.call('GET', '/v1/ready', port='readiness')
    assert ready.status == 200
    accepted = await instance.call('POST', '/q/00112233445566ff', SMALL_JOB)
    assert accepted.status == 200
    answer = await instance.call('GET', '/q/00112233445566ff')
    assert json.loads(answer.body)['State']
    instance.sample_memory()
    assert instance.peak_bytes < MACHINE_MEMORY_BYTES
    free_descriptors = DESCRIPTOR_LIMIT - instance.count_descriptors()
    assert free_descriptors >= RESERVED_DESCRIPTORS


async def hold_crowd(instance, requests, port='callers'):
    """Open a connection for each request, send it, and check the instance.

    A connection that is refused or closed is not replaced.
    """
    raise_own_descriptor_limit()
    limiter = trio.CapacityLimiter(50)
    streams = []

    async def open_one(sent):
        async with limiter:
            with trio.move_on_after(10):
                streams.append(await instance.open(sent, port))

    async with trio.open_nursery() as nursery:
        for sent in requests:
            nursery.start_soon(open_one, sent)
    await check_instance(instance)
    return streams


@pytest.mark.parametrize(
    'body',
    [
        pytest.param(WHOLE_BODY, id='padded'),
        pytest.param(make_job_of_steps(), id='steps'),
        pytest.param(make_job_of_faults(), id='faults'),
    ],
)
async def test_whole_bodies_at_once(tmp_path, body):
    async with run_crowded(tmp_path) as instance:
        await hold_crowd(
            instance,
            [make_post(body, job_id=f'{number:016x}') for number in range(200)],
        )


@pytest.mark.parametrize(
    'chunk_bytes',
    [
        pytest.param(0, id='in one piece'),
        pytest.param(1000, id='in chunks'),
        pytest.param(1, id='byte by byte'),
    ],
)
async def test_bodies_that_stop_before_their_end(tmp_path, chunk_bytes):
    body = WHOLE_BODY[:-1]
    request = make_post(WHOLE_BODY, PATIENT)[:-1]
    if chunk_bytes:
        head = make_head('POST', f'/q/{JOB}', CHUNKED, PATIENT)
        request = head + make_chunks(body, chunk_bytes)
    async with run_crowded(tmp_path) as instance:
        await hold_crowd(instance, [request] * 700)


async def test_heads_that_stop_before_their_end(tmp_path):
    padding = 'x' * (MAX_HEADER_BYTES - 200)
    request = make_head('GET', f'/q/{JOB}', f'X-Padding: {padding}')[:-2]
    async with run_crowded(tmp_path) as instance:
        await hold_crowd(instance, [request] * 700)


async def test_more_connections_than_descriptors(tmp_path):
    async with run_crowded(tmp_path) as instance:
        await hold_crowd(instance, [b''] * (DESCRIPTOR_LIMIT + 100))


async def test_more_connections_to_the_readiness_check(tmp_path):
    async with run_crowded(tmp_path) as instance:
        crowd = [b''] * (DESCRIPTOR_LIMIT + 100)
        await hold_crowd(instance, crowd, port='readiness')


async def test_connections_after_an_answer(tmp_path):
    request = make_head('GET', '/q/')
    async with run_crowded(tmp_path) as instance:
        crowd = [request] * (DESCRIPTOR_LIMIT + 100)
        await hold_crowd(instance, crowd)


@pytest.mark.parametrize(
    'request_part',
    [
        pytest.param(make_head('GET', '/q/'), id='counts'),
        pytest.param(make_head('GET', f'/q/{JOB}'), id='states'),
        pytest.param(make_head('GET', '/v1/ready'), id='ready'),
        pytest.param(make_head('GET', '/none/'), id='unknown'),
        pytest.param(make_post(b'{}'), id='invalid'),
        pytest.param(make_post(make_job_of_faults()), id='faults'),
    ],
)
async def test_requests_sent_ahead_without_reading(tmp_path, request_part):
    flood = request_part * (FLOOD_BYTES // len(request_part))
    async with run_crowded(tmp_path) as instance:
        await hold_crowd(instance, [flood] * 12)


async def test_requests_sent_ahead_of_whole_bodies(tmp_path):
    request = make_post(WHOLE_BODY)
    flood = request * (FLOOD_BYTES // len(request))
    async with run_crowded(tmp_path) as instance:
        await hold_crowd(instance, [flood] * 40)


@pytest.mark.parametrize('path', [f'/q/{JOB}', '/none/', '/v1/ready'])
@pytest.mark.parametrize(
    'ending',
    [
        pytest.param(b'0\r\n' + b'X-Trailer: x\r\n', id='lines'),
        pytest.param(b'0\r\n' + b'x', id='one line'),
        pytest.param(b'1;' + b'x', id='chunk extension'),
        pytest.param(b'1\r\nx\r\n', id='chunks'),
    ],
)
async def test_chunked_bodies_without_an_end(tmp_path, path, ending):
    start, _, rest = ending.partition(b'\n')
    line = rest or ending
    head = make_head('POST', path, CHUNKED, PATIENT) + (
        start + b'\n' if rest else b''
    )
    flood = head + line * (FLOOD_BYTES // len(line))
    async with run_crowded(tmp_path) as instance:
        await hold_crowd(instance, [flood] * 12)


@pytest.mark.parametrize(
    ('path', 'chunk_bytes', 'count'),
    [
        pytest.param('/none/', 1, 5000, id='unknown'),
        pytest.param('/v1/ready', 1, 5000, id='ready'),
        pytest.param('/q/xx', 1, 5000, id='invalid'),
        pytest.param(f'/q/{JOB}', 1000, 400, id='too large'),
        pytest.param(f'/q/{JOB}', 60_000, 40, id='too large, in large chunks'),
    ],
)
async def test_descriptors_of_refused_bodies_are_released(
    tmp_path, path, chunk_bytes, count
):
    """Guards against connections that stay once their client has left."""
    head = make_head('POST', path, CHUNKED)
    request = head + make_chunks(b'x' * (chunk_bytes * count), chunk_bytes)
    async with run_crowded(tmp_path) as instance:
        before = instance.count_descriptors()
        for _ in range(3):
            for stream in await hold_crowd(instance, [request] * 100):
                await stream.aclose()
        with trio.move_on_after(15):
            while instance.count_descriptors() > before + 20:
                await trio.sleep(0.1)
        assert instance.count_descriptors() <= before + 20


def make_frame(kind, flags, stream, content=b''):
    """Return a frame of HTTP/2."""
    return (
        len(content).to_bytes(3)
        + bytes([kind, flags])
        + stream.to_bytes(4)
        + content
    )


HTTP2_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + make_frame(4, 0, 0)


def make_http2_header(name, value):
    """Return a header field that is not indexed, with a short name."""
    return b'\0%c%b%c%b' % (len(name), name, len(value), value)


WEBSOCKET_REQUEST = make_head(
    'GET',
    '/q/',
    'Upgrade: websocket',
    'Connection: Upgrade',
    'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==',
    'Sec-WebSocket-Version: 13',
)
PORTS = {
    'callers': b'/q/',
    'readiness': b'/v1/ready',
    'internal': b'/healthz',
}


@pytest.mark.parametrize(
    ('request_sent', 'status'),
    [
        pytest.param(HTTP2_PREFACE, b'505', id='http/2'),
        pytest.param(
            make_head(
                'GET',
                '/q/',
                'Upgrade: h2c',
                'Connection: Upgrade, HTTP2-Settings',
                'HTTP2-Settings: AAMAAABkAAQAAP__',
            ),
            b'200',
            id='h2c',
        ),
        pytest.param(WEBSOCKET_REQUEST, b'200', id='websocket'),
    ],
)
@pytest.mark.parametrize('port', PORTS)
async def test_only_http1_is_spoken(tmp_path, request_sent, status, port):
    """Guards against clients that reach protocols with limits of their own."""
    sent = request_sent.replace(b'/q/', PORTS[port])
    async with run_crowded(tmp_path) as instance:
        stream = await instance.open(sent, port)
        with trio.fail_after(5):
            answer = await stream.receive_some()
        assert answer.startswith(b'HTTP/1.1 ' + status), answer


ODD_REQUESTS = {
    'h2c without settings': make_head(
        'GET', '/q/', 'Upgrade: h2c', 'Connection: upgrade'
    ),
    'h2c with invalid settings': make_head(
        'GET', '/q/', 'Upgrade: h2c', 'HTTP2-Settings: a'
    ),
    'h2c with long settings': make_head(
        'GET', '/q/', 'Upgrade: h2c', 'HTTP2-Settings: AAMAAABkAAQAAP__AAUA'
    ),
    'http/2 path that is not ASCII': HTTP2_PREFACE
    + make_frame(
        1,
        5,
        1,
        make_http2_header(b':method', b'GET')
        + make_http2_header(b':scheme', b'http')
        + make_http2_header(b':authority', b'host')
        + make_http2_header(b':path', b'/\xff'),
    ),
    'http/2 priorities': HTTP2_PREFACE
    + b''.join(
        make_frame(2, 0, stream, max(0, stream - 2).to_bytes(4) + b'\x10')
        for stream in range(1, 4001, 2)
    )
    + make_frame(1, 5, 4001, make_http2_header(b':method', b'GET')),
    'http/2 preface': b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    'http/2 garbage': b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + b'\xff' * 200,
    'websocket': WEBSOCKET_REQUEST + b'\x81\xff' * 100,
    'websocket without a key': make_head(
        'GET', '/q/', 'Upgrade: websocket', 'Connection: Upgrade'
    ),
    'other upgrade': make_head('GET', '/q/', 'Upgrade: x') + b'x' * 100,
    'connect': make_head('CONNECT', 'host:80') + b'x' * 100,
    'expect': make_head(
        'POST', f'/q/{JOB}', 'Expect: 100-continue', 'Content-Length: 10'
    ),
    'expect, unknown queue': make_head(
        'POST', '/none/', 'Expect: 100-continue', 'Content-Length: 10'
    ),
    'no host': b'GET / HTTP/1.1\r\n\r\n',
    'two hosts': b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n',
    'HTTP/1.0': b'GET /q/ HTTP/1.0\r\nHost: host\r\n\r\n',
    'HTTP/3.0': b'GET /q/ HTTP/3.0\r\nHost: host\r\n\r\n',
    'long length': make_head('POST', '/q/', f'Content-Length: {"9" * 5000}'),
    'large length': make_head(
        'POST', f'/q/{JOB}', f'Content-Length: {"9" * 20}'
    ),
    'two lengths': make_head(
        'POST', f'/q/{JOB}', 'Content-Length: 1', 'Content-Length: 2'
    ),
    'large chunk': make_head('POST', f'/q/{JOB}', CHUNKED)
    + b'f' * 20
    + b'\r\n',
    'invalid chunk': make_head('POST', f'/q/{JOB}', CHUNKED) + b'xyz\r\n',
    'unknown coding': make_head('POST', '/q/', 'Transfer-Encoding: gzip'),
    'encoded path': make_head('GET', '/q/%ff%00%0d%0a'),
    'absolute target': make_head('GET', 'http://host/q/'),
    'asterisk': make_head('OPTIONS', '*'),
    'empty lines': b'\r\n' * 100,
    'control bytes': b'\x00' * 100,
    'tls hello': b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' + b'\0' * 200,
    'deep body': make_post(b'[' * 100_000),
    'large number': make_post(
        b'{"Spec":"","Steps":[{"Count":%b}]}' % (b'9' * 100_000)
    ),
    'lone surrogate': make_post(
        rb'{"Spec":"\ud800","Steps":[{"Count":1}]}', job_id='0' * 15 + '5'
    ),
    'deadline': make_head('GET', '/q/', f'Deadline-Ms: {"9" * 10_000}'),
    'long path': make_head('GET', f'/q/{"a" * 60_000}'),
    'head': make_head('HEAD', f'/q/{JOB}'),
}


@pytest.mark.parametrize('port', PORTS)
async def test_odd_requests_leave_the_instance_running(tmp_path, port):
    """Guards against a request of one client that ends the process."""
    async with run_crowded(tmp_path) as instance:
        ended_by = []
        for name, request in ODD_REQUESTS.items():
            for half_closes in (False, True):
                stream = await instance.open(request, port)
                if half_closes:
                    with contextlib.suppress(trio.BrokenResourceError):
                        await stream.send_eof()
                await trio.sleep(0.05)
                await stream.aclose()
                await trio.sleep(0.05)
            if not instance.is_alive:
                ended_by.append(name)
                break
        assert ended_by == [], instance.output[-2000:]
        await check_instance(instance)


@pytest.mark.parametrize(
    'request_part',
    [
        pytest.param(make_head('GET', '/none/'), id='unknown'),
        pytest.param(make_post(make_job_of_faults()), id='faults'),
        pytest.param(make_head('GET', f'/q/{"a" * 60_000}'), id='long path'),
    ],
)
async def test_unread_answers_do_not_hold_up_a_planned_stop(
    tmp_path, request_part
):
    """Guards against a process that has to be killed at its stop."""
    flood = request_part * (FLOOD_BYTES // len(request_part))
    async with run_crowded(tmp_path) as instance:
        streams = await hold_crowd(instance, [flood] * 12)
        assert await instance.stop() == 0
        assert len(streams) == 12


async def test_unfinished_bodies_do_not_hold_up_a_planned_stop(tmp_path):
    request = make_post(WHOLE_BODY, PATIENT)[:-1]
    async with run_crowded(tmp_path) as instance:
        await hold_crowd(instance, [request] * 50)
        assert await instance.stop() == 0


async def test_largest_legal_request_is_served_in_calm(tmp_path):
    """A single request inside the limits is served, in pieces too."""
    padding = 'x' * (MAX_HEADER_BYTES - 1000)
    request = make_post(WHOLE_BODY, f'X-Padding: {padding}')
    chunks = make_chunks(WHOLE_BODY, 1000) + b'0\r\nX-Trailer: x\r\n\r\n'
    chunked = make_head('POST', f'/q/{JOB}', CHUNKED) + chunks
    async with run_crowded(tmp_path) as instance:
        for sent, piece_bytes in itertools.product(
            (request, chunked), (10_000, 1_000_000)
        ):
            stream = await instance.open()
            for start in range(0, len(sent), piece_bytes):
                part = sent[start : start + piece_bytes]
                assert await send_while_read(stream, part) == len(part)
                await trio.sleep(0.005)
            with trio.fail_after(10):
                answer = await stream.receive_some()
            assert answer.startswith(b'HTTP/1.1 200'), answer
            await stream.aclose()
        await check_instance(instance)
