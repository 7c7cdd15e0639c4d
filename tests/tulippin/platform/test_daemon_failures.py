"""Errors in background tasks and requests of the daemon are contained.

The tasks for settings, bundles and the log run directly under the daemon:
without containment an unexpected error ends the process with all its units,
and again after each restart with the same input. The HTTP server logs no
errors of its own, so that a request would get a 500 without a log line.
"""

import os

import pytest
import trio
from test_platform_daemon import JOB, serve

from tulippin import scheduler_daemon
from tulippin.jobs.intake import JobIntake


class PlantedError(Exception):
    """Error that the product neither raises nor handles by name."""


async def fail_soon(*_):
    await trio.sleep(0.05)
    raise PlantedError


def fail(*_):
    raise PlantedError


async def test_bundle_error_does_not_end_the_instance(
    tmp_path, monkeypatch, contained_failures
):
    monkeypatch.setattr(scheduler_daemon, 'follow_bundles', fail_soon)
    async with serve(tmp_path) as site:
        await trio.sleep(0.3)
        assert (await site.call('GET', f'/q/{JOB}')).status == 410
    check_contained(contained_failures, 'task failed')


async def test_settings_error_does_not_end_the_instance(
    tmp_path, monkeypatch, contained_failures
):
    async with serve(tmp_path) as site:
        monkeypatch.setattr(scheduler_daemon, 'load_scheduler_settings', fail)
        later = os.stat(site.path).st_mtime + 5
        os.utime(site.path, (later, later))
        await trio.sleep(1.3)
        # A signal causes the same call.
        site.daemon.reload()
        assert (await site.call('GET', f'/q/{JOB}')).status == 410
    check_contained(contained_failures, 'settings failed')


async def test_log_error_does_not_end_the_instance(
    tmp_path, monkeypatch, contained_failures
):
    async with serve(tmp_path) as site:
        flush = site.lines.flush
        monkeypatch.setattr(site.lines, 'flush', fail)
        await trio.sleep(0.5)
        monkeypatch.setattr(site.lines, 'flush', flush)
        assert (await site.call('GET', f'/q/{JOB}')).status == 410
    check_contained(contained_failures, 'task failed')


@pytest.mark.parametrize(
    ('port', 'status'), [('callers', 504), ('internal', 500)]
)
async def test_error_in_a_request_is_reported(
    tmp_path, monkeypatch, contained_failures, port, status
):
    monkeypatch.setattr(JobIntake, 'get_state', fail)
    monkeypatch.setattr(
        scheduler_daemon.SchedulerDaemon, '_make_operators', fail
    )
    async with serve(tmp_path) as site:
        answer = await site.call(
            'GET', f'/q/{JOB}', port=site.daemon.ports[port]
        )
        assert answer.status == status
    check_contained(contained_failures, 'call failed')


def check_contained(contained_failures, what):
    assert {one.what for one in contained_failures} == {what}
    assert all('PlantedError' in repr(one.error) for one in contained_failures)
    contained_failures.clear()
