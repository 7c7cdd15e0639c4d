"""Tests that the reducer depends on its events alone."""

import ast
import copy
import pathlib

import trio

import tulippin
from tulippin import core
from tulippin.codec import encode
from tulippin.dump import dump_state
from tulippin.testing import Fleet, FleetSize
from tulippin.types import SERVICE_PRIORITY, JobKind, JobSpec, Resources

REDUCER_MODULES = (
    '_bundle_updates',
    '_cells',
    '_context',
    '_endpoint_choice',
    '_home_units',
    '_interference_control',
    '_jobs',
    '_journal',
    '_membership',
    '_owner_choice',
    '_pending_calls',
    '_placing',
    '_quotas',
    '_request_outcomes',
    '_request_stats',
    '_requests',
    '_unit_release',
    '_units',
    '_worker_state',
    '_workers',
    'core',
    'ledger',
    'policies',
    'trial',
)
FORBIDDEN = {'time', 'socket', 'os', 'trio', 'httpcore', 'grpc', 'asyncio'}


async def record_fleet(recordings):
    size = FleetSize(3, 2, 2)
    async with Fleet(size, seed=3) as fleet:
        for process in fleet.iter_live():
            recording = recordings.setdefault(
                process.name, (process.shell.config, [])
            )
            install_recorder(process.shell, recording[1])
        assert await fleet.wait_ready()
        await fleet.submit_surely(
            JobSpec(
                'service',
                'team',
                JobKind.SERVICE,
                'alerts',
                3,
                Resources(500, 512),
                0,
                SERVICE_PRIORITY,
            )
        )
        await fleet.submit_surely(
            JobSpec('batch', 'team', task_count=20, run_ms=1500)
        )
        await trio.sleep(3)
        for number in range(40):
            await fleet.request('alerts', repeatable=number % 2 == 0)
        fleet.crash('instance-1')
        await trio.sleep(15)
        return {
            process.name: encode(dump_state(process.shell.state))
            for process in fleet.iter_live()
        }


def install_recorder(shell, log):
    def record(event, effects):
        log.append((copy.deepcopy(event), repr(effects)))

    shell._recorder = record


def test_replay_gives_the_same_state_and_effects(run_virtual):
    recordings = {}
    dumps = run_virtual(record_fleet, recordings)
    assert len(dumps) == 2
    for name, dump in dumps.items():
        config, log = recordings[name]
        state = core.make_state(config)
        for event, effects in log:
            assert repr(core.reduce(state, copy.deepcopy(event))) == effects
        assert encode(dump_state(state)) == dump
        assert len(log) > 300


def test_reducer_imports_no_clock_and_no_socket():
    folder = pathlib.Path(tulippin.__file__).parent
    for module in REDUCER_MODULES:
        tree = ast.parse((folder / f'{module}.py').read_text())
        for node in ast.walk(tree):
            names = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                names = [node.module or '']
            assert not {name.split('.')[0] for name in names} & FORBIDDEN
