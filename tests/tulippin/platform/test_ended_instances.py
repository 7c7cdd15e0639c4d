"""Log output of an instance that ends by an error.

The last lines must reach the reader, and the error must be one JSON line with
its place: a plain traceback breaks readers of JSON lines, and buffered lines
from before the error are lost unless the buffer is drained at exit.
"""

import pytest
from test_platform_daemon import SETTINGS

from instance_processes import BESIDE, run_instance
from tulippin.platform.standin_http import StandinServers

FAIL_IN_TASK = """
async def fail(self):
    await trio.sleep(0.5)
    {0}
"""
FAIL_WITH_LINES = """
async def fail(self):
    await trio.sleep(0.5)
    for number in range(3000):
        module.logger.info('planted', number=number, text='x' * 100)
    1 / 0
"""


async def run_injected(tmp_path, injected, pause_s=0):
    async with StandinServers() as servers:
        path = tmp_path / 'instance.ini'
        path.write_text(SETTINGS.format(store=servers.store_address))
        return await run_instance('scheduler_daemon', injected, path, pause_s)


async def test_error_of_top_level_task_is_one_line_with_its_place(tmp_path):
    ended = await run_injected(tmp_path, FAIL_IN_TASK.format('1 / 0') + BESIDE)
    assert ended.code == 1
    logged = ended.find('instance failed')
    assert logged['cause'] == "ZeroDivisionError('division by zero')"
    assert logged['place'].endswith(' fail')
    assert 'ZeroDivisionError' in logged['traceback']
    assert ended.find('started')['instance'] == 'edge-1'


async def test_lines_before_the_end_reach_a_slow_reader(tmp_path):
    ended = await run_injected(tmp_path, FAIL_WITH_LINES + BESIDE, pause_s=0.02)
    injected = [one for one in ended.lines if one['message'] == 'planted']
    assert [one['number'] for one in injected] == list(range(3000))
    assert ended.find('instance failed')['place'].endswith(' fail')


async def test_error_with_invalid_unicode_is_logged(tmp_path):
    error = "raise ValueError(chr(0xd800) + 'planted')"
    ended = await run_injected(tmp_path, FAIL_IN_TASK.format(error) + BESIDE)
    assert ended.code == 1
    assert 'planted' in ended.find('instance failed')['traceback']


async def test_every_error_of_a_group_is_logged(tmp_path):
    error = "raise ExceptionGroup('', [ValueError('one'), KeyError('two')])"
    ended = await run_injected(tmp_path, FAIL_IN_TASK.format(error) + BESIDE)
    logged = ended.find('instance failed')
    assert logged['cause'] == "ValueError('one')"
    assert logged['other_causes'] == ["KeyError('two')"]


async def test_used_listen_address_has_its_own_exit_code(tmp_path):
    async with StandinServers() as servers:
        text = SETTINGS.format(store=servers.store_address)
        path = tmp_path / 'instance.ini'
        path.write_text(
            text.replace(
                'callers = 127.0.0.1:0', f'callers = {servers.store_address}'
            )
        )
        ended = await run_instance('scheduler_daemon', '', path)
    assert ended.code == 5
    assert 'cannot listen' in ended.find('instance failed')['cause']


@pytest.mark.parametrize(
    ('error', 'code'), [('raise SystemExit(9)', 9), ('1 / 0', 1)]
)
async def test_system_exit_keeps_its_code(tmp_path, error, code):
    injected = f'def run(*_): {error}\nmodule.trio.run = run'
    ended = await run_injected(tmp_path, injected)
    assert ended.code == code
