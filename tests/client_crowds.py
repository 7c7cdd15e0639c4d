"""Clients that break off, send ahead or never read, and an instance's memory.

An instance runs as a process of its own with a lowered limit of descriptors;
its clients connect over loopback.
"""

import contextlib
import json
import os
import pathlib
import resource
import signal
import socket

import attrs
import trio

from instance_processes import BESIDE, LIMIT_S, open_instance
from process_soak import PRINT_PORTS, make_settings
from scheduler_fleet import make_config_body
from tulippin._http_client import HttpClient
from tulippin.platform.standin_http import StandinServers

# Memory of the smallest machine, and the default limits of a request.
MACHINE_MEMORY_BYTES = 200 * 2**20
MAX_BODY_BYTES = 262_144
MAX_HEADER_BYTES = 65_536
# Descriptors of the process, and how many of them its clients may not use up:
# its own connections to the store and to workers need some.
DESCRIPTOR_LIMIT = 1200
RESERVED_DESCRIPTORS = 200
# Interval at which memory is read while a crowd sends.
SAMPLE_INTERVAL_S = 0.05
LIMIT_DESCRIPTORS = f"""
import resource
resource.setrlimit(
    resource.RLIMIT_NOFILE, ({DESCRIPTOR_LIMIT}, {DESCRIPTOR_LIMIT})
)
"""
JOB = '00112233445566aa'
SMALL_JOB = {
    'Spec': '{"run_ms":100}',
    'Steps': [{'Count': 1, 'Cpu': 1000, 'MemMb': 100}],
}


def make_head(method, path, *headers):
    """Return the head of a request to the queue's host."""
    lines = (f'{method} {path} HTTP/1.1', 'Host: host', *headers, '', '')
    return '\r\n'.join(lines).encode()


def make_post(body, *headers, job_id=JOB):
    """Return a whole request that submits a job."""
    length = f'Content-Length: {len(body)}'
    return make_head('POST', f'/q/{job_id}', length, *headers) + body


def make_padded_job(size_bytes):
    """Return a valid job of a given size, mostly in a field that is ignored."""
    empty = json.dumps({**SMALL_JOB, 'Padding': ''})
    padding = 'x' * (size_bytes - len(empty))
    return json.dumps({**SMALL_JOB, 'Padding': padding}).encode()


@attrs.define
class CrowdedInstance:
    """Instance in a process, and the most memory that it was seen to use."""

    process: trio.Process
    ports: dict = attrs.field(factory=dict)
    peak_bytes: int = 0
    output: bytes = b''

    @property
    def is_alive(self):
        """Whether the process has not ended."""
        return self.process.poll() is None

    def count_descriptors(self):
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def sample_memory(self):
        """Update the peak: memory, and bytes that wait in its sockets."""
        with contextlib.suppress(ProcessLookupError, FileNotFoundError):
            used_bytes = read_peak_rss_bytes(self.process.pid)
            queued_bytes = count_queued_bytes(self.ports['callers'])
            self.peak_bytes = max(self.peak_bytes, used_bytes + queued_bytes)

    async def call(self, method, path, body=None, port='callers'):
        """Send an ordinary request, and return its response.

        Its connection is new: one that is kept may be closed as it is sent.
        """
        async with HttpClient(15) as client:
            return await client.send(
                method,
                f'http://127.0.0.1:{self.ports[port]}{path}',
                b'' if body is None else json.dumps(body).encode(),
                {'Host': 'host', 'Deadline-Ms': '10000'},
            )

    async def wait_ready(self):
        """Wait until the instance says that it is ready."""
        with trio.fail_after(LIMIT_S):
            while (
                await self.call('GET', '/v1/ready', port='readiness')
            ).status != 200:
                await trio.sleep(0.05)

    async def stop(self):
        """Stop the instance as planned; return its exit code."""
        self.process.send_signal(signal.SIGTERM)
        with trio.fail_after(LIMIT_S):
            return await self.process.wait()

    async def open(self, sent=b'', port='callers'):
        """Open a connection and send bytes; the instance may refuse them."""
        client = trio.socket.socket()
        # A client that doesn't read holds the instance up soon.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await client.connect(('127.0.0.1', self.ports[port]))
        stream = trio.SocketStream(client)
        await send_while_read(stream, sent)
        return stream


async def send_while_read(stream, sent, limit_s=0.5):
    """Send bytes until the server closes, or reads nothing for a time.

    Returns
    -------
    int
        Number of bytes that the server or its socket has taken.
    """
    taken_bytes = 0
    part_bytes = 65_536
    try:
        while taken_bytes < len(sent):
            with trio.fail_after(limit_s):
                taken_bytes += await stream.socket.send(
                    sent[taken_bytes : taken_bytes + part_bytes]
                )
    except (trio.TooSlowError, OSError):
        return taken_bytes
    return taken_bytes


def read_peak_rss_bytes(pid):
    """Return the peak of the resident memory of a process."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    sizes = [line for line in status.splitlines() if 'VmHWM' in line]
    # A process that has ended has no memory left.
    return int(sizes[0].split()[1]) * 1024 if sizes else 0


def count_queued_bytes(port):
    """Return the bytes that wait in the sockets of a server's port."""
    text = pathlib.Path('/proc/net/tcp').read_text()
    rows = [line.split() for line in text.splitlines()[1:]]
    suffix = f':{port:04X}'
    return sum(
        sum(int(queue, 16) for queue in row[4].split(':'))
        for row in rows
        if row[1].endswith(suffix)
        # The queue of a listener counts connections.
        and row[3] != '0A'
    )


@contextlib.asynccontextmanager
async def run_crowded(tmp_path):
    """Run an instance beside a stand-in of the platform, and watch it."""
    async with StandinServers() as servers:
        servers.platform.configure(make_config_body())
        path = tmp_path / 'instance.ini'
        path.write_text(make_settings('edge-1', servers.store_address))
        process = await open_instance(
            'scheduler_daemon', LIMIT_DESCRIPTORS + PRINT_PORTS + BESIDE, path
        )
        instance = CrowdedInstance(process)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_read_output, instance)
                await _wait_for_ports(instance)
                await instance.wait_ready()
                nursery.start_soon(_watch_memory, instance)
                yield instance
                nursery.cancel_scope.cancel()
        finally:
            process.kill()


async def _read_output(instance):
    async for part in instance.process.stdout:
        instance.output += part


async def _wait_for_ports(instance):
    with trio.fail_after(LIMIT_S):
        while not instance.ports:
            await trio.sleep(0.02)
            assert instance.is_alive, instance.output
            lines = instance.output.splitlines(keepends=True)
            for line in lines:
                if b'"ports"' in line and line.endswith(b'\n'):
                    instance.ports = json.loads(line)


async def _watch_memory(instance):
    while True:
        instance.sample_memory()
        await trio.sleep(SAMPLE_INTERVAL_S)


def raise_own_descriptor_limit():
    """Let this process open as many connections as the hard limit allows."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
