"""Cells: placing attempts on workers and keeping them there."""

from __future__ import annotations

from tulippin import _pressure, _worker_state, _workers
from tulippin._context import Context
from tulippin._dispatch import receive, settle
from tulippin._placing import choose_victims, choose_worker
from tulippin.messages import (
    CellSummary,
    TaskAsked,
    TaskHeld,
    TaskOffered,
    TaskRecorded,
    TaskReported,
    TasksCancelled,
)
from tulippin.records import (
    AttemptEnded,
    AttemptForgotten,
    AttemptPlaced,
    TaskRef,
)
from tulippin.state import CellState, Phase, WorkerState
from tulippin.types import (
    URGENT_PRIORITY,
    JobKind,
    Resources,
    TaskOutcome,
    WorkerInfo,
)

_WAIT_FOR_ROOM_MS = 6000


def activate(context: Context, cell: CellState) -> None:
    """Build what is not durable after a cell's state is loaded."""
    update_workers(context, cell)
    for task_id, entry in cell.ledger.attempts.items():
        if entry.outcome is None:
            worker = _get_or_add_worker(context, cell, entry.worker_id)
            _worker_state.hold(worker, task_id, entry.spec, entry.reserved)
        else:
            cell.report_due[task_id] = context.now_ms


def update_workers(context: Context, cell: CellState) -> None:
    """Bring a cell's workers in line with the platform's list."""
    name = cell.unit.partition('/')[2]
    listed = context.state.workers
    for info in listed.values():
        if info.cell == name:
            worker = _get_or_add_worker(context, cell, info.worker_id)
            if worker.info.standing is not info.standing:
                worker.dirty = True
            worker.info = info
            worker.absent = False
    for worker_id, worker in list(cell.workers.items()):
        if worker_id in listed and listed[worker_id].cell == name:
            continue
        worker.absent = True
        if not worker.attempts and not worker.dispatched:
            del cell.workers[worker_id]


def _get_or_add_worker(
    context: Context, cell: CellState, worker_id: str
) -> WorkerState:
    worker = cell.workers.get(worker_id)
    if worker is None:
        info = context.state.workers.get(worker_id) or WorkerInfo(
            worker_id, '', '', '', Resources()
        )
        lapse_ms = _worker_state.get_first_lapse_ms(context, cell)
        worker = WorkerState(info, lapse_ms=lapse_ms, absent=not info.address)
        cell.workers[worker_id] = worker
    return worker


def make_summaries(context: Context) -> tuple[CellSummary, ...]:
    """Return what each own cell could still take."""
    return tuple(
        summarize(context, cell)
        for cell in context.state.cells.values()
        if cell.phase is Phase.ACTIVE
    )


def summarize(context: Context, cell: CellState) -> CellSummary:
    """Return what a cell could still take."""
    free = largest = evictable = Resources()
    services: dict[str, int] = {}
    usable = [
        worker
        for worker in cell.workers.values()
        if _worker_state.is_placeable(context, worker)
    ]
    for worker in usable:
        free = free.add(worker.free)
        largest = largest.largest(worker.free)
        evictable = evictable.largest(worker.info.capacity)
    for service, endpoints in cell.endpoints.items():
        slots = [
            cell.workers[worker_id].free_slots
            for worker_id in set(endpoints.values())
            if _worker_state.is_serving(context, cell.workers[worker_id])
        ]
        if slots:
            queued = len(cell.queues.get(service, ()))
            services[service] = sum(slots) - queued
    harm = _pressure.summarize_harm(context, usable)
    return CellSummary(
        cell.unit, cell.epoch, free, largest, evictable, services, harm
    )


def tick(context: Context) -> None:
    """Sync workers, find lost ones, and repeat what got no word."""
    for cell in context.state.cells.values():
        if cell.phase is Phase.LOADING:
            continue
        _workers.tick_cell(context, cell)
        if context.may_act and cell.phase is Phase.ACTIVE:
            _repeat_reports(context, cell)
            _expire_waiting(context, cell)
            _pressure.tick_cell(context, cell)


def _repeat_reports(context: Context, cell: CellState) -> None:
    for task_id, due_ms in list(cell.report_due.items()):
        if context.now_ms < due_ms:
            continue
        entry = cell.ledger.attempts.get(task_id)
        if entry is None or entry.outcome is None:
            del cell.report_due[task_id]
            continue
        _report(context, cell, entry.task, entry.outcome, entry.checkpoint)
        cell.report_due[task_id] = (
            context.now_ms + context.state.config.resend_every_ms
        )


def _report(
    context: Context,
    cell: CellState,
    task: TaskRef,
    outcome: TaskOutcome,
    checkpoint: str = '',
) -> None:
    context.send_owner(
        task.home, TaskReported(cell.unit, task, outcome, checkpoint)
    )


def _refuse(context: Context, cell: CellState, task: TaskRef) -> None:
    """Refuse an attempt for good: the same offer stays refused."""
    cell.refused[task.task_id] = task
    _report(context, cell, task, TaskOutcome.REFUSED)


@receive.register
def _(message: TaskOffered, sender: str, context: Context) -> None:
    cell = context.state.cells.get(message.cell)
    if cell is None or not context.is_usable(cell) or not context.may_act:
        return
    if not _accept_home(cell, message.task.home, message.home_epoch):
        return
    if _answer_known(context, cell, message.task):
        return
    if message.cell_epoch != cell.epoch:
        if message.cell_epoch < cell.epoch:
            _report(context, cell, message.task, TaskOutcome.REFUSED)
        return
    if not context.store_ready:
        return
    _place(context, cell, message)


def _accept_home(cell: CellState, home: str, home_epoch: int) -> bool:
    """Refuse a home's epoch that is lower than the highest seen."""
    if home_epoch < cell.home_epochs.get(home, 0):
        return False
    cell.home_epochs[home] = home_epoch
    return True


def _answer_known(context: Context, cell: CellState, task: TaskRef) -> bool:
    """Answer for an attempt that the cell knows of; false if it does not."""
    task_id = task.task_id
    if task_id in cell.placing or task_id in cell.waiting:
        return True
    refused = cell.refused.get(task_id)
    if refused is not None and refused.attempt >= task.attempt:
        _report(context, cell, task, TaskOutcome.REFUSED)
        return True
    entry = cell.ledger.attempts.get(task_id)
    if entry is None or entry.task.attempt < task.attempt:
        return False
    if entry.task.attempt > task.attempt:
        return True
    if entry.outcome is None:
        context.send_owner(task.home, TaskHeld(cell.unit, cell.epoch, task))
    else:
        _report(context, cell, task, entry.outcome, entry.checkpoint)
    return True


def _place(context: Context, cell: CellState, offer: TaskOffered) -> bool:
    """Give an offered attempt to a worker, if one may take it."""
    task = offer.task
    old = cell.ledger.attempts.get(task.task_id)
    if old is not None and old.outcome is None:
        return False
    choice = choose_worker(context, cell, offer.spec)
    if choice is None:
        return _wait_for_room(context, cell, offer)
    worker, reserved, policy = choice
    cell.refused.pop(task.task_id, None)
    cell.placing[task.task_id] = task
    _worker_state.hold(worker, task.task_id, offer.spec, reserved)
    context.record(
        cell,
        AttemptPlaced(
            task,
            offer.spec,
            worker.worker_id,
            worker.incarnation,
            reserved,
            offer.checkpoint,
            policy,
        ),
    )
    return True


def _wait_for_room(
    context: Context, cell: CellState, offer: TaskOffered
) -> bool:
    """Make room for urgent work by eviction; refuse other work."""
    task_id = offer.task.task_id
    if offer.spec.priority < URGENT_PRIORITY:
        _refuse(context, cell, offer.task)
        return False
    if task_id in cell.waiting:
        return False
    victims = choose_victims(context, cell, offer.spec)
    if victims is None:
        _refuse(context, cell, offer.task)
        return False
    worker, evicted = victims
    for victim in evicted:
        _worker_state.evict(context, cell, worker, victim)
    cell.waiting[task_id] = (
        context.now_ms + _WAIT_FOR_ROOM_MS,
        offer,
    )
    return False


def _retry_waiting(context: Context, cell: CellState) -> None:
    """Place urgent attempts that waited for room, highest first."""
    if not cell.waiting or cell.phase is not Phase.ACTIVE:
        return
    waiting = sorted(
        cell.waiting.items(), key=lambda item: -item[1][1].spec.priority
    )
    for task_id, (_, offer) in waiting:
        if choose_worker(context, cell, offer.spec) is None:
            continue
        del cell.waiting[task_id]
        _place(context, cell, offer)


def _expire_waiting(context: Context, cell: CellState) -> None:
    _retry_waiting(context, cell)
    for task_id, (until_ms, offer) in list(cell.waiting.items()):
        if context.now_ms >= until_ms:
            del cell.waiting[task_id]
            _refuse(context, cell, offer.task)


@receive.register
def _(message: TaskAsked, sender: str, context: Context) -> None:
    cell = context.state.cells.get(message.cell)
    if cell is None or not context.is_usable(cell) or not context.may_act:
        return
    if not _accept_home(cell, message.task.home, message.home_epoch):
        return
    if not _answer_known(context, cell, message.task):
        # An older epoch's journal is closed and does not hold it.
        _report(context, cell, message.task, TaskOutcome.REFUSED)


@receive.register
def _(message: TaskRecorded, sender: str, context: Context) -> None:
    cell = context.state.cells.get(message.cell)
    if cell is None or cell.phase is not Phase.ACTIVE:
        return
    task = message.task
    refused = cell.refused.get(task.task_id)
    if refused is not None and refused.attempt <= task.attempt:
        del cell.refused[task.task_id]
    entry = cell.ledger.attempts.get(task.task_id)
    if entry is None or entry.task.attempt != task.attempt:
        return
    if entry.outcome is not None and task.task_id in cell.report_due:
        del cell.report_due[task.task_id]
        context.record(cell, AttemptForgotten(task.task_id, task.attempt))


@receive.register
def _(message: TasksCancelled, sender: str, context: Context) -> None:
    cell = context.state.cells.get(message.cell)
    if cell is None or not context.is_usable(cell) or not context.may_act:
        return
    if not _accept_home(cell, message.home, message.home_epoch):
        return
    for task in message.tasks:
        _cancel(context, cell, task)


def _cancel(context: Context, cell: CellState, task: TaskRef) -> None:
    task_id = task.task_id
    waiting = cell.waiting.pop(task_id, None)
    if waiting is not None:
        _refuse(context, cell, task)
        return
    entry = cell.ledger.attempts.get(task_id)
    if entry is None or entry.task.attempt != task.attempt:
        if not _answer_known(context, cell, task):
            # Its offer was lost, or comes later: it is refused for good.
            _refuse(context, cell, task)
        return
    if entry.outcome is not None:
        return
    worker = cell.workers.get(entry.worker_id)
    if worker is not None:
        worker.stopping[task_id] = 'cancelled'
        worker.dirty = True


@settle.register
def _(record: AttemptPlaced, unit: CellState, context: Context) -> None:
    task = record.task
    unit.placing.pop(task.task_id, None)
    worker = unit.workers.get(record.worker_id)
    if worker is not None:
        worker.dirty = True
        if record.spec.priority >= URGENT_PRIORITY:
            worker.hurry = True
    context.state.counters['attempts_placed'] += 1
    context.send_owner(task.home, TaskHeld(unit.unit, unit.epoch, task))


@settle.register
def _(record: AttemptEnded, unit: CellState, context: Context) -> None:
    unit.ending.pop(record.task_id, None)
    entry = unit.ledger.attempts.get(record.task_id)
    if entry is None or entry.outcome is None:
        return
    worker = unit.workers.get(entry.worker_id)
    if worker is not None:
        _worker_state.release(
            worker, record.task_id, entry.spec, entry.reserved
        )
    if entry.spec.kind is JobKind.SERVICE:
        _worker_state.remove_endpoint(
            unit, entry.spec.job_class, record.task_id
        )
    unit.report_due[record.task_id] = (
        context.now_ms + context.state.config.resend_every_ms
    )
    context.state.counters[f'attempts_{record.outcome.value}'] += 1
    _pressure.count_end(context, unit, entry, record.outcome)
    _report(context, unit, entry.task, entry.outcome, entry.checkpoint)
    _retry_waiting(context, unit)
