"""Statistics of service requests for trials, metrics and pressure."""

from __future__ import annotations

from tulippin import _interference_control
from tulippin import effects as fx
from tulippin._context import Context
from tulippin.bundles import Bundle
from tulippin.events import EndpointReplied
from tulippin.messages import RequestOutcome
from tulippin.state import CellState, Ticket, WorkerState
from tulippin.stats import PolicyStats
from tulippin.trial import get_policy
from tulippin.types import OutcomeKind


def observe_request(
    context: Context,
    cell: CellState,
    worker: WorkerState,
    ticket: Ticket,
    event: EndpointReplied,
) -> None:
    """Record the latency and the outcome of a request that was replied to.

    Requests within a window's wash-out do not count for the trial.
    """
    state = context.state
    name = cell.unit.partition('/')[2]
    policy, _, window = get_policy(
        state.bundle, name, state.wall_ms, state.stats.stopped
    )
    queued_ms = ticket.sent_ms - ticket.started_ms
    latency_ms = queued_ms + event.elapsed_ms
    service = ticket.request.service
    _interference_control.update_pressure(context, worker, service, latency_ms)
    context.emit(
        fx.ObserveLatency(
            service,
            policy,
            name,
            latency_ms,
            queued_ms,
            event.outcome.kind.value,
        )
    )
    if window.washing_out:
        return
    target_ms = state.bundle.get_target_ms(service) if state.bundle else 0
    over_ms = max(0.0, latency_ms - target_ms) if target_ms else 0.0
    stats = state.stats.get_policy(policy)
    _count_request(stats, event.outcome, latency_ms, over_ms)
    counts = state.stats.get_window(name, window.index, policy)
    counts.request_count += 1
    counts.over_target_count += bool(over_ms)
    counts.latency_sum_ms += latency_ms
    if state.bundle is not None:
        _check_guard_rail(context, state.bundle, policy, stats)


def _count_request(
    stats: PolicyStats,
    outcome: RequestOutcome,
    latency_ms: float,
    over_ms: float,
) -> None:
    stats.request_count += 1
    stats.over_target_count += bool(over_ms)
    stats.over_target_ms += over_ms
    stats.failed_count += outcome.kind is not OutcomeKind.ANSWERED
    stats.latency.record_value(max(1, int(latency_ms * 1000)))


def _check_guard_rail(
    context: Context, bundle: Bundle, policy: str, stats: PolicyStats
) -> None:
    """Stop a policy whose share of requests over target is too high.

    The limit is ``guard_rail_ratio`` times the share of the best other
    policy, which counts as at least one in ``guard_rail_min_requests``.
    Policies with too few requests are not compared, and the last
    running policy is never stopped.
    """
    trial = bundle.trial
    stopped = context.state.stats.stopped
    min_requests = trial.guard_rail_min_requests
    if policy in stopped or stats.request_count < min_requests:
        return
    shares = [
        other.over_target_count / other.request_count
        for name, other in context.state.stats.policies.items()
        if name != policy
        and name in trial.policies
        and other.request_count >= min_requests
    ]
    if not shares or len(stopped) + 1 >= len(trial.policies):
        return
    min_share = 1 / min_requests
    share = stats.over_target_count / stats.request_count
    if share > trial.guard_rail_ratio * max(min(shares), min_share):
        stopped.add(policy)
        context.state.counters['guard_rails'] += 1
