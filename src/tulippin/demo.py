"""The ``tulippin demo`` command: daemons under load on loopback.

Three daemons run over a stand-in platform and workers, serve requests and
run batch jobs while a trial compares two policies. The history is checked
at the end.
"""

from __future__ import annotations

import collections
import random
import typing as t

import attrs
import trio

from tulippin import codec
from tulippin._http_client import HttpClient
from tulippin.api_types import ServiceCall
from tulippin.bundles import compute_digest, make_key, sign
from tulippin.daemon import Daemon
from tulippin.exceptions import TulippinError
from tulippin.history import Violation, check_history
from tulippin.plots import render_report
from tulippin.settings import parse_settings
from tulippin.standins import Standins, render_settings
from tulippin.stats import Comparison
from tulippin.types import SERVICE_PRIORITY, JobKind, JobSpec, Resources

_INSTANCE_COUNT: t.Final = 3
_CALLER_COUNT: t.Final = 4
_WAIT_LIMIT_S: t.Final = 20.0
_POLL_INTERVAL_S: t.Final = 0.05
_SERVICE: t.Final = 'alerts'
_OK: t.Final = 200
_MIN_ERROR_STATUS: t.Final = 400

_BUNDLE: t.Final = """\
[bundle]
name = demo

[trial]
policies = interference, least_loaded
window_s = 2
wash_out_s = 0
seed = 7
guard_rail_ratio = 20

[policy interference]
kind = interference

[policy least_loaded]
kind = least_loaded

[service alerts]
target_ms = 60
"""

_LIMITS: t.Final = '[limits]\nbalancer_grace_ms = 200\n'


@attrs.frozen
class DemoResult:
    """The comparison of the trial, its report and the violations."""

    comparison: Comparison
    html: str
    lines: tuple[str, ...]
    violations: tuple[Violation, ...]


@attrs.define
class _Demo:
    """A run of the demo: its daemons, its operators' keys and its counts."""

    standins: Standins
    client: HttpClient
    report_line: t.Callable[[str], None]
    daemons: list[Daemon] = attrs.field(factory=list)
    keys: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    statuses: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    request_count: int = 0
    stopped: bool = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the instances and wait until they are ready."""
        self.keys = {name: make_key() for name in ('alice', 'bob')}
        for number in range(_INSTANCE_COUNT):
            text = render_settings(
                number,
                self.standins.url,
                {name: pair[1] for name, pair in self.keys.items()},
                _LIMITS,
            )
            daemon = Daemon(parse_settings(text))
            self.daemons.append(daemon)
            instance_id = daemon.settings.config.instance_id
            self.standins.directory.instances.add(instance_id)
            self.standins.history.note('instance_up', process=instance_id)
            await nursery.start(daemon.run)
        self.standins.directory.publish()
        with trio.fail_after(_WAIT_LIMIT_S):
            while any(daemon.get_unready() for daemon in self.daemons):
                await trio.sleep(_POLL_INTERVAL_S)
        self.report_line(f'{_INSTANCE_COUNT} instances are ready')

    async def send(
        self, port: int, method: str, path: str, body: t.Any = None
    ) -> tuple[int, bytes]:
        """Send one HTTP request to an instance."""
        answer = await self.client.send(
            method,
            f'http://127.0.0.1:{port}{path}',
            b'' if body is None else codec.encode(body),
        )
        return answer.status, answer.body

    async def send_checked(
        self, port: int, method: str, path: str, body: t.Any = None
    ) -> bytes:
        """Send a request; raise ``TulippinError`` if it fails."""
        status, content = await self.send(port, method, path, body)
        if status >= _MIN_ERROR_STATUS:
            raise TulippinError(f'{method} {path}: {status} {content!r}')
        return content

    async def roll(self, text: str) -> None:
        """Propose, approve and roll a bundle; wait until all have taken it."""
        digest = compute_digest(text)
        steps = (
            ('', 'alice', 'propose', 0),
            ('/1/approve', 'bob', 'approve', 1),
            ('/1/roll', 'alice', 'roll', 1),
        )
        for position, (path, operator, action, number) in enumerate(steps):
            private = self.keys[operator][0]
            signed = sign(private, operator, action, number, digest)
            body = {'operator': operator, 'signature': signed.signature}
            if not path:
                body['text'] = text
            port = self.daemons[position % len(self.daemons)].operators_port
            await self.send_checked(port, 'POST', f'/v1/bundles{path}', body)
        self.standins.history.note('bundle_accepted', number=1)
        with trio.fail_after(_WAIT_LIMIT_S):
            for daemon in self.daemons:
                while daemon.shell.state.bundle_number < 1:
                    await trio.sleep(_POLL_INTERVAL_S)
                self.standins.history.note(
                    'bundle_taken',
                    process=daemon.settings.config.instance_id,
                    number=1,
                )
        self.report_line('bundle 1 is approved, rolled and held by all')

    async def submit(self, body: JobSpec) -> None:
        """Submit a job to a random instance."""
        port = random.choice(self.daemons).callers_port
        await self.send_checked(port, 'POST', '/v1/jobs', body)

    async def send_requests(self, number: int) -> None:
        """Send requests one after the other until stopped."""
        history = self.standins.history
        while not self.stopped:
            self.request_count += 1
            request_id = f'request-{number}-{self.request_count}'
            repeatable = bool(self.request_count % 10)
            daemon = self.daemons[self.request_count % len(self.daemons)]
            history.note(
                'caller_sent', request_id=request_id, repeatable=repeatable
            )
            status, content = await self.send(
                daemon.callers_port,
                'POST',
                f'/v1/services/{_SERVICE}',
                ServiceCall(request_id, 'demo', 'hello', repeatable),
            )
            answer = codec.decode(content, dict)
            self.statuses[status] += 1
            history.note(
                'caller_answered',
                request_id=request_id,
                instance_id=daemon.settings.config.instance_id,
                outcome=answer['outcome'],
                body=answer.get('body', ''),
                expected=f'{_SERVICE}:{request_id}:hello',
            )

    async def submit_jobs(self) -> None:
        """Submit batch jobs of two classes in turn, until stopped.

        Jobs of class ``noisy`` slow the service, those of ``calm`` hardly.
        """
        number = 0
        while not self.stopped:
            number += 1
            noisy = number % 2
            await self.submit(
                JobSpec(
                    f'batch-{number}',
                    'demo',
                    job_class='noisy' if noisy else 'calm',
                    task_count=12,
                    size=Resources(2000, 4096),
                    run_ms=1500,
                )
            )
            await trio.sleep(0.8)


async def run_demo(
    seconds: int, report_line: t.Callable[[str], None]
) -> DemoResult:
    """Run the demo with ``seconds`` of load.

    Parameters
    ----------
    seconds : int
        Duration of the load.
    report_line : callable
        Called with each line of progress.
    """
    async with Standins() as standins, HttpClient() as client:
        for worker in standins.workers.values():
            worker.slowdowns['alerts', 'noisy'] = 0.8
            worker.slowdowns['alerts', 'calm'] = 0.02
            worker.faults.report_lag_ms = 2000
        demo = _Demo(standins, client, report_line)
        async with trio.open_nursery() as nursery:
            await demo.start(nursery)
            result = await _run_load(demo, seconds)
            for daemon in demo.daemons:
                daemon.stop()
        return result


async def _run_load(demo: _Demo, seconds: int) -> DemoResult:
    await demo.roll(_BUNDLE)
    await demo.submit(
        JobSpec(
            'alerts',
            'demo',
            JobKind.SERVICE,
            _SERVICE,
            6,
            Resources(1000, 1024),
            priority=SERVICE_PRIORITY,
        )
    )
    demo.report_line(f'service {_SERVICE} submitted; load for {seconds} s')
    await trio.sleep(1)
    async with trio.open_nursery() as nursery:
        for number in range(_CALLER_COUNT):
            nursery.start_soon(demo.send_requests, number)
        nursery.start_soon(demo.submit_jobs)
        for second in range(seconds):
            await trio.sleep(1)
            if second % 5 == 4:
                demo.report_line(
                    f'  {second + 1} s: {sum(demo.statuses.values())}'
                    f' requests, statuses {dict(demo.statuses)}'
                )
        demo.stopped = True
    port = demo.daemons[0].operators_port
    body = await demo.send_checked(port, 'GET', '/v1/compare')
    comparison = codec.decode(body, Comparison)
    for worker in demo.standins.workers.values():
        worker.advance()
    violations = tuple(check_history(demo.standins.history))
    lines = [
        f'requests by status: {dict(demo.statuses)}',
        f'promises checked over {len(demo.standins.history.entries)} entries:'
        f' {len(violations)} broken',
    ]
    lines.extend(violation.render() for violation in violations)
    return DemoResult(
        comparison, render_report(comparison), tuple(lines), violations
    )
