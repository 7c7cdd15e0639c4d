"""What an instance loads at its start."""

import subprocess
import sys

import pytest

# Modules that most instances never use: each costs every start some time.
# Without the product's own messages the start took 0.78 s of processor time
# in place of 0.87 (means of three).
UNUSED = (
    'cryptography',
    'matplotlib',
    'starlette',
    'grpc',
    'tulippin.messages',
)


@pytest.mark.parametrize('name', UNUSED)
def test_start_loads_nothing_that_it_may_never_use(name):
    lines = (
        'import sys',
        'import tulippin.scheduler_daemon',
        f'sys.exit({name!r} in sys.modules)',
    )
    code = '; '.join(lines)
    done = subprocess.run([sys.executable, '-c', code], check=False)
    assert done.returncode == 0
