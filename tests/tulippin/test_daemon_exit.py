"""Log line and exit code of ``tulippind`` when an error ends it."""

from instance_processes import run_instance
from tulippin.standins import Standins, StandinSize, render_settings

FAILING_SERVER = """
async def fail(self, task_status):
    task_status.started()
    await trio.sleep(0.5)
    1 / 0
module.HttpServer.serve = fail
"""
JSON_LOG = '[log]\nstyle = json\n'


async def run_modified_daemon(tmp_path, source, log_section=JSON_LOG):
    size = StandinSize(cell_count=1, workers_per_cell=1)
    async with Standins(size) as standins:
        path = tmp_path / 'daemon.ini'
        path.write_text(render_settings(0, standins.url, {}, log_section))
        return await run_instance('daemon', source, path)


async def test_error_of_main_task_is_logged_with_place(tmp_path):
    ended = await run_modified_daemon(tmp_path, FAILING_SERVER)
    assert ended.code == 1
    line = ended.find('instance failed')
    assert line['level'] == 'error'
    assert line['cause'] == "ZeroDivisionError('division by zero')"
    assert line['place'].endswith(' fail')
    assert ended.find('listening')['callers']


async def test_address_in_use_has_exit_code(tmp_path):
    source = """
from tulippin.exceptions import UnavailableError
def fail(self):
    raise UnavailableError('cannot listen', code='address_in_use')
module.HttpServer.__enter__ = fail
"""
    ended = await run_modified_daemon(tmp_path, source)
    assert ended.code == 5
    assert 'cannot listen' in ended.find('instance failed')['cause']
