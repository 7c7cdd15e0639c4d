"""Owned cells: offers, placement, cancellation and outcomes of attempts.

The messages come from the home ranges of the attempts' jobs; ``_workers``
sends the placed attempts to the workers.
"""

from __future__ import annotations

from tulippin import _interference_control, _worker_state, _workers
from tulippin._context import Context
from tulippin._dispatch import handle_committed, receive
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

_MAX_EVICTION_WAIT_MS = 6000


def activate(context: Context, cell: CellState) -> None:
    """Rebuild a cell's in-memory state from its loaded ledger."""
    update_workers(context, cell)
    for task_id, entry in cell.ledger.attempts.items():
        if entry.outcome is None:
            worker = _get_or_add_worker(context, cell, entry.worker_id)
            _worker_state.reserve(worker, task_id, entry.spec, entry.reserved)
        else:
            cell.report_due_ms[task_id] = context.now_ms


def update_workers(context: Context, cell: CellState) -> None:
    """Update a cell's workers from the platform's list.

    A worker that is no longer listed is marked absent, and removed once
    it has neither attempts nor requests.
    """
    name = cell.unit.partition('/')[2]
    listed = context.state.workers
    for info in listed.values():
        if info.cell == name:
            worker = _get_or_add_worker(context, cell, info.worker_id)
            if worker.info.standing is not info.standing:
                worker.needs_sync = True
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
        lapse_ms = _worker_state.get_initial_lapse_ms(context, cell)
        worker = WorkerState(info, lapse_ms=lapse_ms, absent=not info.address)
        cell.workers[worker_id] = worker
    return worker


def make_summaries(context: Context) -> tuple[CellSummary, ...]:
    """Return the summaries of all active cells of this instance."""
    return tuple(
        summarize(context, cell)
        for cell in context.state.cells.values()
        if cell.phase is Phase.ACTIVE
    )


def summarize(context: Context, cell: CellState) -> CellSummary:
    """Return a cell's free capacity, free service slots and batch harm."""
    free = largest_free = evictable = Resources()
    services: dict[str, int] = {}
    usable = [
        worker
        for worker in cell.workers.values()
        if _worker_state.is_placeable(context, worker)
    ]
    for worker in usable:
        free = free.add(worker.free)
        largest_free = largest_free.elementwise_max(worker.free)
        evictable = evictable.elementwise_max(worker.info.capacity)
    for service, endpoints in cell.endpoints.items():
        slots = [
            cell.workers[worker_id].free_slots
            for worker_id in set(endpoints.values())
            if _worker_state.is_serving(context, cell.workers[worker_id])
        ]
        if slots:
            queued = len(cell.queues.get(service, ()))
            services[service] = sum(slots) - queued
    harm = _interference_control.summarize_harm(context, usable)
    return CellSummary(
        cell.unit, cell.epoch, free, largest_free, evictable, services, harm
    )


def tick(context: Context) -> None:
    """Run the periodic work of the owned cells.

    Workers are synced and lost ones detected, unacknowledged outcomes are
    sent again, waiting offers are placed or expire, and workers under
    pressure are relieved.
    """
    for cell in context.state.cells.values():
        if cell.phase is Phase.LOADING:
            continue
        _workers.tick_cell(context, cell)
        if context.may_act and cell.phase is Phase.ACTIVE:
            _resend_reports(context, cell)
            _process_waiting(context, cell)
            _interference_control.tick_cell(context, cell)


def _resend_reports(context: Context, cell: CellState) -> None:
    for task_id, due_ms in list(cell.report_due_ms.items()):
        if context.now_ms < due_ms:
            continue
        entry = cell.ledger.attempts.get(task_id)
        if entry is None or entry.outcome is None:
            del cell.report_due_ms[task_id]
            continue
        _report_outcome(
            context, cell, entry.task, entry.outcome, entry.checkpoint
        )
        cell.report_due_ms[task_id] = (
            context.now_ms + context.state.config.resend_every_ms
        )


def _report_outcome(
    context: Context,
    cell: CellState,
    task: TaskRef,
    outcome: TaskOutcome,
    checkpoint: str = '',
) -> None:
    context.send_owner(
        task.home, TaskReported(cell.unit, task, outcome, checkpoint)
    )


def _refuse_attempt(context: Context, cell: CellState, task: TaskRef) -> None:
    """Refuse an attempt; further offers of it are refused too."""
    cell.refused[task.task_id] = task
    _report_outcome(context, cell, task, TaskOutcome.REFUSED)


@receive.register
def _(message: TaskOffered, sender: str, context: Context) -> None:
    cell = context.state.cells.get(message.cell)
    if cell is None or not context.is_usable(cell) or not context.may_act:
        return
    if not _check_home_epoch(cell, message.task.home, message.home_epoch):
        return
    if _answer_known_attempt(context, cell, message.task):
        return
    if message.cell_epoch != cell.epoch:
        if message.cell_epoch < cell.epoch:
            _report_outcome(context, cell, message.task, TaskOutcome.REFUSED)
        return
    if not context.store_ready:
        return
    _place_attempt(context, cell, message)


def _check_home_epoch(cell: CellState, home: str, home_epoch: int) -> bool:
    """Return whether a home's epoch is current, and remember it.

    An epoch below the highest one seen from that home is stale.
    """
    if home_epoch < cell.home_epochs.get(home, 0):
        return False
    cell.home_epochs[home] = home_epoch
    return True


def _answer_known_attempt(
    context: Context, cell: CellState, task: TaskRef
) -> bool:
    """Answer for an attempt that the cell already knows.

    Returns whether it is known, so that no further handling is needed.
    """
    task_id = task.task_id
    if task_id in cell.placing or task_id in cell.waiting:
        return True
    refused = cell.refused.get(task_id)
    if refused is not None and refused.attempt >= task.attempt:
        _report_outcome(context, cell, task, TaskOutcome.REFUSED)
        return True
    entry = cell.ledger.attempts.get(task_id)
    if entry is None or entry.task.attempt < task.attempt:
        return False
    if entry.task.attempt > task.attempt:
        return True
    if entry.outcome is None:
        context.send_owner(task.home, TaskHeld(cell.unit, cell.epoch, task))
    else:
        _report_outcome(context, cell, task, entry.outcome, entry.checkpoint)
    return True


def _place_attempt(
    context: Context, cell: CellState, offer: TaskOffered
) -> bool:
    """Place an offered attempt on a worker and record the placement.

    Without a fitting worker the offer waits or is refused. Returns
    whether the attempt was placed.
    """
    task = offer.task
    old = cell.ledger.attempts.get(task.task_id)
    if old is not None and old.outcome is None:
        return False
    choice = choose_worker(context, cell, offer.spec)
    if choice is None:
        return _evict_or_refuse(context, cell, offer)
    worker, reserved, policy = choice
    cell.refused.pop(task.task_id, None)
    cell.placing[task.task_id] = task
    _worker_state.reserve(worker, task.task_id, offer.spec, reserved)
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


def _evict_or_refuse(
    context: Context, cell: CellState, offer: TaskOffered
) -> bool:
    """Evict batch attempts for an urgent offer; refuse any other offer."""
    task_id = offer.task.task_id
    if offer.spec.priority < URGENT_PRIORITY:
        _refuse_attempt(context, cell, offer.task)
        return False
    if task_id in cell.waiting:
        return False
    victims = choose_victims(context, cell, offer.spec)
    if victims is None:
        _refuse_attempt(context, cell, offer.task)
        return False
    worker, evicted = victims
    for victim in evicted:
        _worker_state.evict(context, cell, worker, victim)
    cell.waiting[task_id] = (
        context.now_ms + _MAX_EVICTION_WAIT_MS,
        offer,
    )
    return False


def _place_waiting(context: Context, cell: CellState) -> None:
    """Place waiting urgent attempts that fit now, by descending priority."""
    if not cell.waiting or cell.phase is not Phase.ACTIVE:
        return
    waiting = sorted(
        cell.waiting.items(), key=lambda item: -item[1][1].spec.priority
    )
    for task_id, (_, offer) in waiting:
        if choose_worker(context, cell, offer.spec) is None:
            continue
        del cell.waiting[task_id]
        _place_attempt(context, cell, offer)


def _process_waiting(context: Context, cell: CellState) -> None:
    _place_waiting(context, cell)
    for task_id, (until_ms, offer) in list(cell.waiting.items()):
        if context.now_ms >= until_ms:
            del cell.waiting[task_id]
            _refuse_attempt(context, cell, offer.task)


@receive.register
def _(message: TaskAsked, sender: str, context: Context) -> None:
    cell = context.state.cells.get(message.cell)
    if cell is None or not context.is_usable(cell) or not context.may_act:
        return
    if not _check_home_epoch(cell, message.task.home, message.home_epoch):
        return
    if not _answer_known_attempt(context, cell, message.task):
        # The journal of the older epoch is closed and lacks the attempt,
        # so it was never placed.
        _report_outcome(context, cell, message.task, TaskOutcome.REFUSED)


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
    if entry.outcome is not None and task.task_id in cell.report_due_ms:
        del cell.report_due_ms[task.task_id]
        context.record(cell, AttemptForgotten(task.task_id, task.attempt))


@receive.register
def _(message: TasksCancelled, sender: str, context: Context) -> None:
    cell = context.state.cells.get(message.cell)
    if cell is None or not context.is_usable(cell) or not context.may_act:
        return
    if not _check_home_epoch(cell, message.home, message.home_epoch):
        return
    for task in message.tasks:
        _cancel_attempt(context, cell, task)


def _cancel_attempt(context: Context, cell: CellState, task: TaskRef) -> None:
    task_id = task.task_id
    waiting = cell.waiting.pop(task_id, None)
    if waiting is not None:
        _refuse_attempt(context, cell, task)
        return
    entry = cell.ledger.attempts.get(task_id)
    if entry is None or entry.task.attempt != task.attempt:
        if not _answer_known_attempt(context, cell, task):
            # The offer was lost or is delayed: refuse it if it still arrives.
            _refuse_attempt(context, cell, task)
        return
    if entry.outcome is not None:
        return
    worker = cell.workers.get(entry.worker_id)
    if worker is not None:
        worker.stopping[task_id] = 'cancelled'
        worker.needs_sync = True


@handle_committed.register
def _(record: AttemptPlaced, unit: CellState, context: Context) -> None:
    task = record.task
    unit.placing.pop(task.task_id, None)
    worker = unit.workers.get(record.worker_id)
    if worker is not None:
        worker.needs_sync = True
        if record.spec.priority >= URGENT_PRIORITY:
            worker.needs_urgent_sync = True
    context.state.counters['attempts_placed'] += 1
    context.send_owner(task.home, TaskHeld(unit.unit, unit.epoch, task))


@handle_committed.register
def _(record: AttemptEnded, unit: CellState, context: Context) -> None:
    unit.ending_attempts.pop(record.task_id, None)
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
    unit.report_due_ms[record.task_id] = (
        context.now_ms + context.state.config.resend_every_ms
    )
    context.state.counters[f'attempts_{record.outcome.value}'] += 1
    _interference_control.count_ended_attempt(
        context, unit, entry, record.outcome
    )
    _report_outcome(context, unit, entry.task, entry.outcome, entry.checkpoint)
    _place_waiting(context, unit)
