"""Runs a small fleet in virtual time and checks its history.

Run it with ``python examples/fleet_in_virtual_time.py``.
"""

import trio
import trio.testing

from tulippin import JobKind, JobSpec, Resources
from tulippin.testing import Fleet, FleetSize, check_history


async def main() -> None:
    async with Fleet(FleetSize(instance_count=3), seed=1) as fleet:
        await fleet.wait_ready()
        await fleet.submit_surely(
            JobSpec(
                'alerts',
                'telematics',
                JobKind.SERVICE,
                'alerts',
                task_count=3,
                size=Resources(500, 512),
                priority=1000,
            )
        )
        await fleet.submit_surely(
            JobSpec('reports', 'contractors', task_count=20, run_ms=4000)
        )
        await trio.sleep(5)
        fleet.crash('instance-1')
        await trio.sleep(10)
        outcome = await fleet.request('alerts', repeatable=False)
        print(outcome.kind.value, outcome.body)
        reply = await fleet.iter_live()[0].shell.operate_job('show', 'reports')
        print(reply.job.state, reply.job.done_count, 'tasks done')
    print('promises broken:', check_history(fleet.history))


if __name__ == '__main__':
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
