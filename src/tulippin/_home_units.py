"""Home units: the hash ranges that store jobs and assign tasks to cells.

A home unit queues the tasks of its jobs, offers each attempt to the
assigned cell until the cell confirms it, and records the outcome.
"""

from __future__ import annotations

import collections
import heapq
import typing as t

import attrs

from tulippin import _cells, _quotas
from tulippin._context import Context
from tulippin._dispatch import handle_committed, receive
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

_HEAD_START_PER_PRIORITY_MS = 60000
_CELL_SAMPLE_SIZE = 4
_REFUSED_RETRY_MS = 1000
_FAILED_RETRY_MS = 2000
_DISPATCH_INTERVAL_MS = 100
_EXPIRY_INTERVAL_MS = 60000
_MAX_FORGOTTEN_PER_ROUND = 5000
_FRESH_INDEX = -1


@attrs.define
class CellView:
    """A cell's free capacity, less the offers that it has not confirmed.

    ``assigned_services`` holds the ids of the service jobs that were
    assigned a task in this cell during the current dispatch round.
    """

    summary: CellSummary
    free: Resources
    largest_free: Resources
    assigned_services: set[str] = attrs.field(factory=set)


def activate(context: Context, home: RangeState) -> None:
    """Rebuild the queue and the offers of a range from its loaded state."""
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
    """Queue all tasks of a job that were never assigned, as one entry."""
    if job.fresh_index < job.spec.task_count:
        home.fresh_indexes[job.spec.job_id] = job.fresh_index
        _push_queued(home, job, _FRESH_INDEX)


def enqueue_task(home: RangeState, job: JobEntry, index: int) -> None:
    """Queue a single task whose earlier attempt was returned."""
    _push_queued(home, job, index)


def _push_queued(home: RangeState, job: JobEntry, index: int) -> None:
    """Push an entry, ranked by arrival time less a priority head start.

    A rank never changes, so the heap stays valid as time passes. Old work
    is not starved: in the end its rank precedes that of any new arrival.
    """
    head_start_ms = job.spec.priority * _HEAD_START_PER_PRIORITY_MS
    rank = (job.accepted_ms - head_start_ms, index)
    heapq.heappush(home.queue, QueuedTask(rank, job.spec.job_id, index))


def tick(context: Context) -> None:
    """Resend unconfirmed offers, expire jobs, and assign queued tasks."""
    session = context.state.session
    if not context.may_act or context.now_ms < session.next_dispatch_ms:
        return
    session.next_dispatch_ms = context.now_ms + _DISPATCH_INTERVAL_MS
    homes = [
        home
        for home in context.state.ranges.values()
        if home.phase is Phase.ACTIVE
    ]
    for home in homes:
        _repeat_offers(context, home)
        _forget_expired(context, home)
    if context.store_ready and any(home.queue for home in homes):
        _dispatch(context, homes)


def _dispatch(context: Context, homes: list[RangeState]) -> None:
    """Assign queued tasks in rank order over all home units.

    Entries that can't be assigned now go back to their queues afterwards.
    """
    views = make_cell_views(context)
    usage = _quotas.count_team_usage(context)
    budget = context.state.config.starts_per_tick
    unfitting: set[tuple[Resources, bool]] = set()
    heads = [
        (home.queue[0].rank, home.unit, home) for home in homes if home.queue
    ]
    heapq.heapify(heads)
    deferred: list[tuple[RangeState, QueuedTask]] = []
    while heads and budget > 0:
        _, unit, home = heapq.heappop(heads)
        queued = home.queue[0]
        count = _assign_next(context, home, queued, views, unfitting, usage)
        budget -= max(count, 0)
        if count < 0:
            deferred.append((home, heapq.heappop(home.queue)))
            budget -= 1
        elif count == 0:
            heapq.heappop(home.queue)
        if home.queue:
            heapq.heappush(heads, (home.queue[0].rank, unit, home))
    for home, queued in deferred:
        heapq.heappush(home.queue, queued)


def make_cell_views(context: Context) -> dict[str, CellView]:
    """Return the views of all cells, by unit, own and those of peers.

    Summaries of an earlier epoch are left out. Offers that the cell has
    not confirmed are subtracted, as its summary doesn't include them.
    """
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
        if context.is_responsive(session_id):
            yield from peer.summaries.values()


def _assign_next(
    context: Context,
    home: RangeState,
    queued: QueuedTask,
    views: dict[str, CellView],
    unfitting: set[tuple[Resources, bool]],
    usage: _quotas.TeamUsage,
) -> int:
    """Assign the next task of a queued entry to a cell.

    Returns 1 if a task was assigned, 0 if the entry has no task left, and
    -1 if the task can't be assigned now.
    """
    job = home.ledger.jobs.get(queued.job_id)
    if job is None or job.cancelled:
        return 0
    index = _get_next_index(home, job, queued)
    if index is None:
        return 0
    is_urgent = job.spec.priority >= URGENT_PRIORITY
    key = (job.spec.size, is_urgent)
    task_id = f'{queued.job_id}/{index}'
    if key in unfitting or context.now_ms < home.not_before_ms.get(task_id, 0):
        return -1
    if not usage.has_quota(job.spec):
        return -1
    if job.spec.kind is JobKind.SERVICE:
        candidates = _select_least_used(home, job, views)
        cell = pick_cell(context, job.spec, candidates) if candidates else None
    else:
        cell = pick_cell(context, job.spec, views)
        if cell is None:
            unfitting.add(key)
    if cell is None:
        return -1
    _assign_to_cell(context, home, job, index, cell)
    usage.add(job.spec)
    if queued.index == _FRESH_INDEX:
        home.fresh_indexes[queued.job_id] = index + 1
    else:
        heapq.heappop(home.queue)
    home.not_before_ms.pop(task_id, None)
    return 1


def _get_next_index(
    home: RangeState, job: JobEntry, queued: QueuedTask
) -> int | None:
    if queued.index != _FRESH_INDEX:
        task = job.tasks.get(queued.index)
        is_ready = task is not None and not task.assigned
        return queued.index if is_ready else None
    index = home.fresh_indexes.get(queued.job_id, job.spec.task_count)
    return index if index < job.spec.task_count else None


def _select_least_used(
    home: RangeState, job: JobEntry, views: dict[str, CellView]
) -> dict[str, CellView]:
    """Return the fitting cells with the fewest tasks of a service.

    If no cell fits, returns all cells that may still get a task. A cell
    gets at most one task of a service in a dispatch round, so that a
    service submitted while few cells are known doesn't crowd into those.
    """
    counts = home.spread.setdefault(job.spec.job_id, collections.Counter())
    open_views = {
        unit: view
        for unit, view in views.items()
        if job.spec.job_id not in view.assigned_services
    }
    fitting = {
        unit: view
        for unit, view in open_views.items()
        if view.free.fits(job.spec.size)
    }
    lowest_count = min((counts[unit] for unit in fitting), default=0)
    return {
        unit: view
        for unit, view in fitting.items()
        if counts[unit] == lowest_count
    } or open_views


def _assign_to_cell(
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
        cell.assigned_services.add(job.spec.job_id)
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
    """Return the best fitting cell of a random sample, or of all cells.

    Urgent jobs may also get a cell where they fit only after evictions.
    Returns ``None`` if no cell fits.
    """
    units = list(views)
    size = min(_CELL_SAMPLE_SIZE, len(units))
    sample = context.state.random.sample(units, size)
    best = _pick_fitting(spec, [views[unit] for unit in sample])
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
    """Return a sort key: expected interference, then free processors."""
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
    """Send an offer, or ask a later owner of the cell about the attempt."""
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
    uses_checkpoints = context.state.config.seams.checkpoints
    if epoch == offer.cell_epoch:
        message = TaskOffered(
            offer.cell,
            offer.cell_epoch,
            offer.task,
            job.spec,
            home.epoch,
            task.checkpoint if uses_checkpoints else '',
        )
    else:
        message = TaskAsked(offer.cell, offer.task, home.epoch)
    context.send_owner(offer.cell, message)


@handle_committed.register
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
    is_current = task is not None and (
        task.attempt == ref.attempt and task.cell == message.cell
    )
    if not is_current:
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


@handle_committed.register
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
        retry_delays_ms = {
            TaskOutcome.REFUSED: _REFUSED_RETRY_MS,
            TaskOutcome.FAILED: _FAILED_RETRY_MS,
        }
        retry_delay_ms = retry_delays_ms.get(record.outcome, 0)
        if job.spec.priority >= URGENT_PRIORITY:
            retry_delay_ms = min(retry_delay_ms, _DISPATCH_INTERVAL_MS)
        unit.not_before_ms[task_id] = context.now_ms + retry_delay_ms
        enqueue_task(unit, job, record.index)


def _forget_expired(context: Context, home: RangeState) -> None:
    """Remove finished jobs and requests past their retention period."""
    if context.now_ms < home.next_expiry_ms or not context.store_ready:
        return
    home.next_expiry_ms = context.now_ms + _EXPIRY_INTERVAL_MS
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
    for job_id in old_jobs[:_MAX_FORGOTTEN_PER_ROUND]:
        context.record(home, JobForgotten(job_id))
    for request_id in old_requests[:_MAX_FORGOTTEN_PER_ROUND]:
        context.record(home, RequestForgotten(request_id))


def send_cancel(
    context: Context, home: RangeState, offers: t.Iterable[OfferState]
) -> None:
    """Cancel offered attempts with one message for each cell."""
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
