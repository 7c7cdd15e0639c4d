"""CPU and latency of each hop of a request, relative to a direct call.

Three daemons run as separate processes. Requests go to the instance that
owns the service's only cell (one hop) or to another (two hops), and are
repeatable or made durable first. A call to the endpoint itself is the
baseline.
"""

import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import trio

from tulippin._http_client import HttpClient
from tulippin.codec import decode, encode
from tulippin.standins import Standins, StandinSize, render_settings
from tulippin.workers_http import EPOCH_HEADER, REQUEST_ID_HEADER

COUNT = 400
JSON_LOG = '[log]\nstyle = json\n'
SERVICE = {
    'job_id': 'service',
    'team': 'team',
    'kind': 'service',
    'job_class': 'alerts',
    'task_count': 1,
    'size': {'cpu_millicores': 500, 'memory_mb': 100},
    'priority': 1000,
}


def read_cpu_s(pid):
    """Return the CPU seconds that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    ticks = sum(map(int, fields.split()[11:13]))
    return ticks / 100


async def start_daemon(folder, number, url):
    path = pathlib.Path(folder) / f'{number}.ini'
    path.write_text(render_settings(number, url, more=JSON_LOG))
    handle = await trio.lowlevel.open_process(
        [sys.executable, '-m', 'tulippin.daemon', str(path)],
        stderr=subprocess.PIPE,
    )
    output = b''
    while b'listening' not in output:
        output += await handle.stderr.receive_some()
    return handle, decode(output.splitlines()[-1], dict)


async def measure(client, make_request, handles):
    """Return p50 and p99 in ms, CPU ms per request, and the duration."""
    for number in range(50):
        await make_request(client, f'warm-{time.time_ns()}-{number}')
    before = sum(read_cpu_s(handle.pid) for handle in handles)
    began = time.perf_counter()
    latencies = []
    for number in range(COUNT):
        start_s = time.perf_counter()
        await make_request(client, f'r-{time.time_ns()}-{number}')
        latencies.append((time.perf_counter() - start_s) * 1000)
    duration_s = time.perf_counter() - began
    used_cpu_s = sum(read_cpu_s(handle.pid) for handle in handles) - before
    ordered = sorted(latencies)
    return (
        statistics.median(ordered),
        ordered[int(len(ordered) * 0.99)],
        used_cpu_s * 1000 / COUNT,
        duration_s,
    )


def make_call(port, *, repeatable):
    async def make_request(client, request_id):
        body = {
            'request_id': request_id,
            'team': 'team',
            'body': 'x' * 200,
            'repeatable': repeatable,
        }
        answer = await client.send(
            'POST',
            f'http://127.0.0.1:{port}/v1/services/alerts',
            encode(body),
        )
        assert answer.status == 200, answer

    return make_request


def make_direct_call(address):
    async def make_request(client, request_id):
        headers = {REQUEST_ID_HEADER: request_id, EPOCH_HEADER: '999'}
        answer = await client.send(
            'POST', f'http://{address}/services/alerts', b'x' * 200, headers
        )
        assert answer.status == 200, answer

    return make_request


async def measure_idle_cpu_ms(handles):
    """Return the CPU ms that the daemons use per second without load."""
    before = sum(read_cpu_s(handle.pid) for handle in handles)
    interval_s = 5
    await trio.sleep(interval_s)
    used_cpu_s = sum(read_cpu_s(handle.pid) for handle in handles) - before
    return used_cpu_s * 1000 / interval_s


async def main():
    size = StandinSize(1, 1, service_ms=0.0)
    with tempfile.TemporaryDirectory() as folder:
        async with Standins(size) as standins, HttpClient(30) as client:
            started = []
            for number in range(3):
                standins.directory.instances.add(f'instance-{number}')
                started.append(await start_daemon(folder, number, standins.url))
            standins.directory.publish()
            handles = [handle for handle, _ in started]
            try:
                await run(standins, client, started, handles)
            finally:
                for handle in handles:
                    handle.kill()


async def run(standins, client, started, handles):
    await trio.sleep(4)
    first = started[0][1]['callers']
    await client.send(
        'POST', f'http://127.0.0.1:{first}/v1/jobs', encode(SERVICE)
    )
    await trio.sleep(4)
    owner = other = None
    for _, ports in started:
        url = f'http://127.0.0.1:{ports["operators"]}/v1/dump'
        dump = decode((await client.send('GET', url)).body, dict)
        if dump['cells']:
            owner = ports['callers']
        else:
            other = ports['callers']
    worker = next(iter(standins.workers.values()))
    idle = await measure_idle_cpu_ms(handles)
    cases = {
        'endpoint directly': make_direct_call(worker.info.address),
        'one hop, repeatable': make_call(owner, repeatable=True),
        'two hops, repeatable': make_call(other, repeatable=True),
        'durable first': make_call(other, repeatable=False),
    }
    print(f'three idle daemons use {idle:.0f} ms of CPU a second')
    base_p50_ms = None
    print(f'{"way":24} p50 ms  p99 ms  ratio  CPU ms a request')
    for name, make_request in cases.items():
        p50, p99, cpu_ms, duration_s = await measure(
            client, make_request, handles
        )
        cpu_ms -= idle * duration_s / COUNT
        base_p50_ms = base_p50_ms or p50
        print(
            f'{name:24} {p50:6.2f} {p99:7.2f} {p50 / base_p50_ms:6.2f}'
            f'  {max(cpu_ms, 0):6.2f}'
        )


if __name__ == '__main__':
    trio.run(main)
