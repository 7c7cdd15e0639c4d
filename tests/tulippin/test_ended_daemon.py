"""What the older daemon leaves in its log when it ends by itself."""

from instance_processes import run_instance
from tulippin.standins import Standins, StandinSize, render_settings

FAIL_IN_TASK = """
async def fail(self, task_status):
    task_status.started()
    await trio.sleep(0.5)
    1 / 0
module.HttpServer.serve = fail
"""
JSON_LOG = '[log]\nstyle = json\n'


async def run_planted(tmp_path, planted, more=JSON_LOG):
    size = StandinSize(cell_count=1, workers_per_cell=1)
    async with Standins(size) as standins:
        path = tmp_path / 'daemon.ini'
        path.write_text(render_settings(0, standins.url, {}, more))
        return await run_instance('daemon', planted, path)


async def test_error_of_a_top_task_is_one_line_with_its_place(tmp_path):
    ended = await run_planted(tmp_path, FAIL_IN_TASK)
    assert ended.code == 1
    told = ended.find('instance failed')
    assert told['level'] == 'error'
    assert told['cause'] == "ZeroDivisionError('division by zero')"
    assert told['place'].endswith(' fail')
    assert ended.find('listening')['callers']


async def test_listener_that_is_taken_is_one_line_and_its_own_code(tmp_path):
    planted = """
from tulippin.exceptions import UnavailableError
def fail(self):
    raise UnavailableError('cannot listen', code='address_in_use')
module.HttpServer.__enter__ = fail
"""
    ended = await run_planted(tmp_path, planted)
    assert ended.code == 5
    assert 'cannot listen' in ended.find('instance failed')['cause']
