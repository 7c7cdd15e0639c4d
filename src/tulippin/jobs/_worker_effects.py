"""Performs effects on workers: holds, orders and requests for advice."""

from __future__ import annotations

import typing as t

from tulippin.exceptions import UnavailableError
from tulippin.jobs import effects as fx
from tulippin.jobs import events as ev
from tulippin.jobs._perform import perform
from tulippin.jobs.ports import (
    Advice,
    FencedOrderError,
    WorkerChangedError,
)
from tulippin.jobs.types import OrderAnswer, OrderOutcome
from tulippin.logs import logger

if t.TYPE_CHECKING:
    from tulippin.jobs.unit_shell import UnitShell


@perform.register(fx.ForgetWorker)
def _forget_worker(effect: fx.ForgetWorker, shell: UnitShell) -> None:
    shell.start(shell.ports.forget_worker, effect.worker_id)


@perform.register(fx.HoldWorker)
def _hold_worker(effect: fx.HoldWorker, shell: UnitShell) -> None:
    shell.start(_run_hold, effect, shell)


async def _run_hold(effect: fx.HoldWorker, shell: UnitShell) -> None:
    sent_ms = shell.clock()
    worker_id = effect.worker_id
    try:
        report = await shell.ports.workers.hold(
            worker_id,
            effect.address,
            effect.fencing_token,
            effect.last_seen,
            effect.deadline_ms,
            effect.wait_ms,
            effect.incarnation,
        )
    except FencedOrderError as error:
        shell.post(
            ev.WorkerSilent(
                shell.clock(), worker_id, error.message, is_fenced=True
            )
        )
    except WorkerChangedError as error:
        shell.post(
            ev.WorkerSilent(
                shell.clock(), worker_id, error.message, is_replaced=True
            )
        )
    except UnavailableError as error:
        shell.post(ev.WorkerSilent(shell.clock(), worker_id, error.message))
    else:
        shell.post(ev.WorkerAnswered(shell.clock(), worker_id, sent_ms, report))


@perform.register(fx.StartRun)
def _start_run(effect: fx.StartRun, shell: UnitShell) -> None:
    shell.start(_run_start, effect, shell)


async def _run_start(effect: fx.StartRun, shell: UnitShell) -> None:
    """Send a start order, unless it has expired.

    It expires if the process was suspended since the decision. Another
    instance may own the unit by then, so the reducer has to decide again.
    """
    order = effect.order
    if shell.clock() > effect.expires_ms:
        answer = OrderAnswer(OrderOutcome.NOT_SENT)
        logger.info('order expired', task=order.key.format(), run=order.run)
    else:
        answer = await shell.ports.workers.start(order)
    shell.post(
        ev.StartAnswered(
            shell.clock(), order.worker_id, order.key, order.run, answer
        )
    )


@perform.register(fx.AskAdvice)
def _ask_advice(effect: fx.AskAdvice, shell: UnitShell) -> None:
    shell.start(_run_advice, effect, shell)


async def _run_advice(effect: fx.AskAdvice, shell: UnitShell) -> None:
    advice = Advice({}, 0)
    try:
        advice = await shell.ports.advisor.ask(effect.step, effect.worker_ids)
    except UnavailableError as error:
        logger.warning('no advice', job=effect.step[0], reason=error.message)
    shell.post(
        ev.AdviceAnswered(
            shell.clock(), effect.step, advice.tickets, advice.valid_ms
        )
    )


@perform.register(fx.StopRun)
def _stop_run(effect: fx.StopRun, shell: UnitShell) -> None:
    shell.start(_run_stop, effect, shell)


async def _run_stop(effect: fx.StopRun, shell: UnitShell) -> None:
    answer = await shell.ports.workers.stop(
        effect.worker_id,
        effect.address,
        effect.key,
        effect.run,
        effect.fencing_token,
    )
    shell.post(
        ev.StopAnswered(
            shell.clock(), effect.worker_id, effect.key, effect.run, answer
        )
    )


@perform.register(fx.PaceRun)
def _pace_run(effect: fx.PaceRun, shell: UnitShell) -> None:
    shell.start(_run_pace, effect, shell)


async def _run_pace(effect: fx.PaceRun, shell: UnitShell) -> None:
    answer = await shell.ports.workers.pace(
        effect.worker_id,
        effect.address,
        effect.key,
        effect.run,
        effect.percent,
        effect.fencing_token,
    )
    shell.post(
        ev.PaceAnswered(
            shell.clock(),
            effect.worker_id,
            effect.key,
            effect.run,
            effect.percent,
            answer,
        )
    )
