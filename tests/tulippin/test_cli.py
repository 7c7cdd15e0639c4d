"""The command line: output, exit codes and the lifecycle of a bundle."""

import json
import pathlib

import pytest
import trio
from cleo.testers.application_tester import ApplicationTester

from tulippin.cli import make_application
from tulippin.daemon import main as daemon_main

BUNDLE = '[bundle]\nname = one\n[policy p]\nkind = least_loaded\n'


def run(command):
    tester = ApplicationTester(make_application())
    code = tester.execute(command)
    return code, tester.io.fetch_output()


def test_list_names_every_command():
    code, output = run('list')
    assert code == 0
    for name in ('bundle roll', 'job submit', 'compare', 'dump', 'demo'):
        assert name in output


def test_completion_script():
    code, output = run('completions bash')
    assert code == 0
    assert 'compare' in output


def test_bundle_check_shows_all_findings(tmp_path, capsys):
    path = tmp_path / 'bundle.ini'
    path.write_text('[bundle]\n[policy p]\nkind = x\n')
    code, _ = run(f'bundle check {path}')
    assert code == 2
    error = capsys.readouterr().err
    assert error.startswith('bad_bundle')
    assert '[bundle] name' in error
    assert '[policy p] kind' in error


def test_settings_check(tmp_path, capsys):
    path = tmp_path / 'settings.ini'
    path.write_text('[instance]\n')
    assert run(f'settings check {path}')[0] == 2
    assert 'callers' in capsys.readouterr().err


def test_settings_check_reports_all_findings_for_a_scheduler(tmp_path, capsys):
    path = tmp_path / 'settings.ini'
    path.write_text('[store]\nadress = x\n[listen]\ninternal_ports = 1\n')
    assert run(f'settings check {path}')[0] == 2
    error = capsys.readouterr().err
    for key in ('callers', 'readiness', 'adress', 'internal_ports', 'id'):
        assert key in error


def test_scheduler_show_rejects_an_unknown_view(capsys):
    assert run('scheduler show nothing')[0] == 2
    assert 'workers' in capsys.readouterr().err


def test_unreachable_instance_sets_the_exit_code(capsys):
    code, _ = run('instances --url http://127.0.0.1:9')
    assert code == 5
    assert 'TULIPPIN_URL' in capsys.readouterr().err


@pytest.mark.parametrize('arguments', [[], ['--help'], ['/nowhere.ini']])
def test_daemon_rejects_invalid_arguments(arguments, capsys):
    assert daemon_main(arguments) == 2
    assert capsys.readouterr().err


def test_key_is_not_overwritten(tmp_path, capsys):
    path = tmp_path / 'alice.key'
    assert run(f'key make {path}')[0] == 0
    before = path.read_text()
    assert path.stat().st_mode & 0o77 == 0
    assert run(f'key make {path}')[0] == 2
    assert path.read_text() == before


async def test_bundle_and_job_against_a_daemon(open_daemons, tmp_path, capsys):
    async with open_daemons() as site:
        url = f'http://127.0.0.1:{site.daemons[0].operators_port}'
        bundle = tmp_path / 'bundle.ini'
        bundle.write_text(BUNDLE)
        for name, (private, _) in site.keys.items():
            pathlib.Path(tmp_path / name).write_text(private)

        async def tulippin(command, options=''):
            line = f'{command} --url {url} {options}'
            return await trio.to_thread.run_sync(run, line)

        def sign_as(name):
            return f'--operator {name} --private-key {tmp_path / name}'

        code, output = await tulippin(
            f'bundle propose {bundle}', sign_as('alice')
        )
        assert (code, 'bundle 1 is proposed' in output) == (0, True)
        assert (await tulippin('bundle approve 1', sign_as('alice')))[0] == 6
        assert 'same_operator' in capsys.readouterr().err
        assert (await tulippin('bundle roll 1', sign_as('alice')))[0] == 3
        assert (await tulippin('bundle approve 1', sign_as('bob')))[0] == 0
        assert (await tulippin('bundle roll 1', sign_as('alice')))[0] == 0
        code, output = await tulippin('bundle list', '--output json')
        listed = json.loads(output)['bundles']
        assert listed[0]['state'] in {'rolling', 'in_force'}
        assert (await tulippin('bundle show 9'))[0] == 4
        code, output = await tulippin(
            'job submit work', '--team t --tasks 2 --run-s 1'
        )
        assert (code, 'queued' in output) == (0, True)
        code, output = await tulippin('job list')
        assert 'work' in output
        code, _ = await tulippin('job submit work', '--team t --tasks 3')
        assert code == 3
        assert (await tulippin('job submit bad', '--team t --tasks x'))[0] == 2
        code, output = await tulippin('dump')
        assert json.loads(output)['session']['standing'] == 'active'
        report = tmp_path / 'report.html'
        code, output = await tulippin('compare', f'--html {report}')
        assert (code, 'verdict' in output) == (0, True)
        assert report.read_text().startswith('<!doctype html>')
        assert (await tulippin('workers'))[0] == 0
