"""Homes: the hash ranges that keep jobs and give their tasks to cells."""

from __future__ import annotations

import collections
import heapq
import typing as t

import attrs

from tulippin import _cells, _quotas
from tulippin._context import Context
from tulippin._dispatch import receive, settle
from tulippin.ledger import JobEntry, TaskEntry
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
    JobForgotten,
    RequestForgotten,
    TaskAssigned,
    TaskRef,
    TaskReturned,
)
from tulippin.state import OfferState, Phase, QueuedTask, RangeState
from tulippin.types import (
    URGENT_PRIORITY,
    JobKind,
    JobSpec,
    Resources,
    TaskOutcome,
)

_PRIORITY_HEAD_START_MS = 60000
_SAMPLE_SIZE = 4
_RETRY_MS = 1000
_FAILED_RETRY_MS = 2000
_DISPATCH_EVERY_MS = 100
_EXPIRY_EVERY_MS = 60000
_EXPIRY_LIMIT = 5000
_FRESH = -1


@attrs.define
class CellView:
    """A cell as a home reckons with it, corrected by its own offers."""

    summary: CellSummary
    free: Resources
    largest_free: Resources
    taken_by: set[str] = attrs.field(factory=set)


def activate(context: Context, home: RangeState) -> None:
    """Build the queue and the offers after a range's state is loaded."""
    for job in home.ledger.jobs.values():
        enqueue_job(home, job)
        for index, task in job.tasks.items():
            ref = TaskRef(job.spec.job_id, index, task.attempt, home.unit)
            if task.assigned:
                home.offers[ref.task_id] = OfferState(
                    ref, task.cell, task.cell_epoch
                )
                if job.spec.kind is JobKind.SERVICE:
                    counts = home.spread.setdefault(
                        job.spec.job_id, collections.Counter()
                    )
                    counts[task.cell] += 1
            else:
                enqueue_task(home, job, index)


def enqueue_job(home: RangeState, job: JobEntry) -> None:
    """Queue a job's tasks that have never been assigned, as one entry."""
    if job.fresh_index < job.spec.task_count:
        home.fresh_jobs[job.spec.job_id] = job.fresh_index
        _push(home, job, _FRESH)


def enqueue_task(home: RangeState, job: JobEntry, index: int) -> None:
    """Queue one task that has come back."""
    _push(home, job, index)


def _push(home: RangeState, job: JobEntry, index: int) -> None:
    """Order by arrival, each step of priority counting as a head start.

    The order does not change as time passes, yet old work is never
    starved: its rank beats that of any later arrival in the end.
    """
    head_start_ms = job.spec.priority * _PRIORITY_HEAD_START_MS
    rank = (job.accepted_ms - head_start_ms, index)
    heapq.heappush(home.queue, QueuedTask(rank, job.spec.job_id, index))


def tick(context: Context) -> None:
    """Give queued tasks to cells, and repeat offers without a word."""
    session = context.state.session
    if not context.may_act or context.now_ms < session.next_dispatch_ms:
        return
    session.next_dispatch_ms = context.now_ms + _DISPATCH_EVERY_MS
    homes = [
        home
        for home in context.state.ranges.values()
        if home.phase is Phase.ACTIVE
    ]
    for home in homes:
        _repeat_offers(context, home)
        _expire(context, home)
    if context.store_ready and any(home.queue for home in homes):
        _dispatch(context, homes)


def _dispatch(context: Context, homes: list[RangeState]) -> None:
    """Assign queued tasks, the first in rank over all homes first."""
    views = make_views(context)
    use = _quotas.count_use(context)
    budget = context.state.config.starts_per_tick
    full: set[tuple[Resources, bool]] = set()
    heads = [
        (home.queue[0].rank, home.unit, home) for home in homes if home.queue
    ]
    heapq.heapify(heads)
    aside: list[tuple[RangeState, QueuedTask]] = []
    while heads and budget > 0:
        _, unit, home = heapq.heappop(heads)
        queued = home.queue[0]
        count = _assign(context, home, queued, views, full, use)
        budget -= max(count, 0)
        if count < 0:
            aside.append((home, heapq.heappop(home.queue)))
            budget -= 1
        elif count == 0:
            heapq.heappop(home.queue)
        if home.queue:
            heapq.heappush(heads, (home.queue[0].rank, unit, home))
    for home, queued in aside:
        heapq.heappush(home.queue, queued)


def make_views(context: Context) -> dict[str, CellView]:
    """Return all cells that could take tasks, own and others'."""
    views = {}
    for summary in _iter_summaries(context):
        holder = context.get_holder(summary.unit)
        if holder is not None and holder.epoch == summary.epoch:
            views[summary.unit] = CellView(
                summary, summary.free, summary.largest_free
            )
    for home in context.state.ranges.values():
        for offer in home.offers.values():
            view = views.get(offer.cell)
            job = home.ledger.jobs.get(offer.task.job_id)
            if view is not None and job is not None and not offer.held_epoch:
                view.free = view.free.subtract(job.spec.size)
    return views


def _iter_summaries(context: Context) -> t.Iterator[CellSummary]:
    yield from _cells.make_summaries(context)
    for session_id, peer in context.state.peers.items():
        if context.is_heard(session_id):
            yield from peer.summaries.values()


def _assign(
    context: Context,
    home: RangeState,
    queued: QueuedTask,
    views: dict[str, CellView],
    full: set[tuple[Resources, bool]],
    use: _quotas.TeamUse,
) -> int:
    """Assign one queued entry's next task.

    Returns the number assigned; zero if the entry is spent, and -1 if
    there is no room now.
    """
    job = home.ledger.jobs.get(queued.job_id)
    if job is None or job.cancelled:
        return 0
    index = _get_next_index(home, job, queued)
    if index is None:
        return 0
    urgent = job.spec.priority >= URGENT_PRIORITY
    key = (job.spec.size, urgent)
    task_id = f'{queued.job_id}/{index}'
    if key in full or context.now_ms < home.not_before_ms.get(task_id, 0):
        return -1
    if not use.has_room(job.spec):
        return -1
    if job.spec.kind is JobKind.SERVICE:
        spread = _spread(home, job, views)
        cell = pick_cell(context, job.spec, spread) if spread else None
    else:
        cell = pick_cell(context, job.spec, views)
        if cell is None:
            full.add(key)
    if cell is None:
        return -1
    _give(context, home, job, index, cell)
    use.add(job.spec)
    if queued.index == _FRESH:
        home.fresh_jobs[queued.job_id] = index + 1
    else:
        heapq.heappop(home.queue)
    home.not_before_ms.pop(task_id, None)
    return 1


def _get_next_index(
    home: RangeState, job: JobEntry, queued: QueuedTask
) -> int | None:
    if queued.index != _FRESH:
        task = job.tasks.get(queued.index)
        ready = task is not None and not task.assigned
        return queued.index if ready else None
    index = home.fresh_jobs.get(queued.job_id, job.spec.task_count)
    return index if index < job.spec.task_count else None


def _spread(
    home: RangeState, job: JobEntry, views: dict[str, CellView]
) -> dict[str, CellView]:
    """Keep the cells with the fewest of a service's tasks, room first.

    A cell gets one of them in a round, so that a service submitted while
    few cells are known yet does not crowd into those.
    """
    counts = home.spread.setdefault(job.spec.job_id, collections.Counter())
    open_views = {
        unit: view
        for unit, view in views.items()
        if job.spec.job_id not in view.taken_by
    }
    fitting = {
        unit: view
        for unit, view in open_views.items()
        if view.free.fits(job.spec.size)
    }
    least = min((counts[unit] for unit in fitting), default=0)
    return {
        unit: view for unit, view in fitting.items() if counts[unit] == least
    } or open_views


def _give(
    context: Context,
    home: RangeState,
    job: JobEntry,
    index: int,
    cell: CellView,
) -> None:
    task = job.tasks.get(index, TaskEntry())
    home.assigning[f'{job.spec.job_id}/{index}'] = job.spec
    cell.free = cell.free.subtract(job.spec.size)
    if job.spec.kind is JobKind.SERVICE:
        home.spread[job.spec.job_id][cell.summary.unit] += 1
        cell.taken_by.add(job.spec.job_id)
    context.record(
        home,
        TaskAssigned(
            job.spec.job_id,
            index,
            task.attempt + 1,
            cell.summary.unit,
            cell.summary.epoch,
        ),
    )


def pick_cell(
    context: Context, spec: JobSpec, views: t.Mapping[str, CellView]
) -> CellView | None:
    """Return the freest of a few cells with room, or any with room.

    Urgent work may go where only eviction makes room.
    """
    names = list(views)
    size = min(_SAMPLE_SIZE, len(names))
    sample = context.state.random.sample(names, size)
    best = _pick_fitting(spec, [views[name] for name in sample])
    if best is None:
        best = _pick_fitting(spec, list(views.values()))
    if best is None and spec.priority >= URGENT_PRIORITY:
        evicting = [
            view
            for view in views.values()
            if view.summary.evictable.fits(spec.size)
        ]
        best = max(
            evicting, key=lambda view: view.free.cpu_millicores, default=None
        )
    return best


def _pick_fitting(
    spec: JobSpec, views: t.Sequence[CellView]
) -> CellView | None:
    fitting = [
        view
        for view in views
        if view.free.fits(spec.size) and view.largest_free.fits(spec.size)
    ]
    return min(fitting, key=lambda view: _get_cost(spec, view), default=None)


def _get_cost(spec: JobSpec, view: CellView) -> tuple[float, int]:
    """Order cells by the harm that the task would do, then by room."""
    harm = view.summary.harm.get(spec.job_class, 0.0)
    return round(harm, 1), -view.free.cpu_millicores


def _repeat_offers(context: Context, home: RangeState) -> None:
    for offer in home.offers.values():
        holder = context.get_holder(offer.cell)
        if holder is None or context.now_ms < offer.next_send_ms:
            continue
        if offer.held_epoch == holder.epoch:
            continue
        _send_offer(context, home, offer, holder.epoch)


def _send_offer(
    context: Context, home: RangeState, offer: OfferState, epoch: int
) -> None:
    """Offer an attempt, or ask a later owner what became of it."""
    job = home.ledger.jobs[offer.task.job_id]
    task = job.tasks[offer.task.index]
    offer.next_send_ms = context.now_ms + context.state.config.resend_every_ms
    if job.cancelled:
        message: t.Any = TasksCancelled(
            offer.cell, home.unit, (offer.task,), home.epoch
        )
        if epoch == offer.cell_epoch:
            context.send_owner(offer.cell, message)
            return
    keeps = context.state.config.seams.checkpoints
    if epoch == offer.cell_epoch:
        message = TaskOffered(
            offer.cell,
            offer.cell_epoch,
            offer.task,
            job.spec,
            home.epoch,
            task.checkpoint if keeps else '',
        )
    else:
        message = TaskAsked(offer.cell, offer.task, home.epoch)
    context.send_owner(offer.cell, message)


@settle.register
def _(record: TaskAssigned, unit: RangeState, context: Context) -> None:
    ref = TaskRef(record.job_id, record.index, record.attempt, unit.unit)
    unit.assigning.pop(ref.task_id, None)
    job = unit.ledger.jobs.get(record.job_id)
    if job is None or record.index not in job.tasks:
        return
    offer = OfferState(ref, record.cell, record.cell_epoch)
    unit.offers[ref.task_id] = offer
    holder = context.get_holder(record.cell)
    if holder is not None:
        _send_offer(context, unit, offer, holder.epoch)


@receive.register
def _(message: TaskHeld, sender: str, context: Context) -> None:
    home = context.state.ranges.get(message.task.home)
    if home is None:
        return
    offer = home.offers.get(message.task.task_id)
    if offer is None or offer.task.attempt != message.task.attempt:
        return
    offer.held_epoch = message.cell_epoch
    job = home.ledger.jobs[offer.task.job_id]
    if job.cancelled:
        send_cancel(context, home, [offer])


@receive.register
def _(message: TaskReported, sender: str, context: Context) -> None:
    home = context.state.ranges.get(message.task.home)
    if home is None or home.phase is not Phase.ACTIVE:
        return
    if not context.may_act:
        return
    ref = message.task
    job = home.ledger.jobs.get(ref.job_id)
    task = None if job is None else job.tasks.get(ref.index)
    current = task is not None and (
        task.attempt == ref.attempt and task.cell == message.cell
    )
    if not current:
        if task is None or task.attempt >= ref.attempt:
            context.send_owner(message.cell, TaskRecorded(message.cell, ref))
        return
    if home.returning.get(ref.task_id) == ref.attempt:
        return
    home.returning[ref.task_id] = ref.attempt
    context.record(
        home,
        TaskReturned(
            ref.job_id,
            ref.index,
            ref.attempt,
            message.outcome,
            message.checkpoint,
        ),
    )


@settle.register
def _(record: TaskReturned, unit: RangeState, context: Context) -> None:
    task_id = f'{record.job_id}/{record.index}'
    unit.returning.pop(task_id, None)
    offer = unit.offers.pop(task_id, None)
    if offer is not None:
        if record.job_id in unit.spread:
            unit.spread[record.job_id][offer.cell] -= 1
        context.send_owner(offer.cell, TaskRecorded(offer.cell, offer.task))
    job = unit.ledger.jobs.get(record.job_id)
    if job is None:
        return
    if record.index in job.tasks:
        waits = {
            TaskOutcome.REFUSED: _RETRY_MS,
            TaskOutcome.FAILED: _FAILED_RETRY_MS,
        }
        wait_ms = waits.get(record.outcome, 0)
        if job.spec.priority >= URGENT_PRIORITY:
            wait_ms = min(wait_ms, _DISPATCH_EVERY_MS)
        unit.not_before_ms[task_id] = context.now_ms + wait_ms
        enqueue_task(unit, job, record.index)


def _expire(context: Context, home: RangeState) -> None:
    """Forget finished jobs and requests past their retention."""
    if context.now_ms < home.next_expiry_ms or not context.store_ready:
        return
    home.next_expiry_ms = context.now_ms + _EXPIRY_EVERY_MS
    before_ms = context.state.wall_ms - context.state.config.retention_ms
    old_jobs = [
        job_id
        for job_id, job in home.ledger.jobs.items()
        if job.finished and job.accepted_ms < before_ms
    ]
    old_requests = [
        request_id
        for request_id, entry in home.ledger.requests.items()
        if entry.opened_ms < before_ms
        and request_id not in home.request_tickets
    ]
    for job_id in old_jobs[:_EXPIRY_LIMIT]:
        context.record(home, JobForgotten(job_id))
    for request_id in old_requests[:_EXPIRY_LIMIT]:
        context.record(home, RequestForgotten(request_id))


def send_cancel(
    context: Context, home: RangeState, offers: t.Iterable[OfferState]
) -> None:
    """Withdraw offers, one message for each cell."""
    by_cell: dict[str, list[TaskRef]] = {}
    for offer in offers:
        by_cell.setdefault(offer.cell, []).append(offer.task)
        offer.held_epoch = 0
        offer.next_send_ms = (
            context.now_ms + context.state.config.resend_every_ms
        )
    for cell, tasks in by_cell.items():
        context.send_owner(
            cell, TasksCancelled(cell, home.unit, tuple(tasks), home.epoch)
        )
