"""Outcomes of requests: what an answer proves, and whether to retry."""

from __future__ import annotations

from tulippin import _endpoint_choice
from tulippin._context import Context
from tulippin.events import EndpointReplied
from tulippin.messages import RequestOutcome
from tulippin.state import Ticket
from tulippin.types import OutcomeKind

RETRY_PAUSE_MS = 50
_DEFAULT_RETRY_AFTER_MS = 1000
_TRANSIENT_CODES = frozenset(('moved', 'no_owner', 'leaving', 'fenced'))


def make_not_run(
    code: str, retry_after_ms: int = _DEFAULT_RETRY_AFTER_MS
) -> RequestOutcome:
    """Return the outcome of a request that is proved not to have run.

    The caller may retry after ``retry_after_ms``, 0 meaning never.
    """
    return RequestOutcome(
        OutcomeKind.NOT_RUN, code, retry_after_ms=retry_after_ms
    )


def make_unknown(code: str) -> RequestOutcome:
    """Return the outcome of a request that may have run."""
    return RequestOutcome(OutcomeKind.UNKNOWN, code)


def check_answer(
    context: Context, ticket: Ticket, event: EndpointReplied
) -> RequestOutcome:
    """Return the outcome that an endpoint's reply proves.

    An answer that is truncated or belongs to another request is unknown.
    """
    outcome = event.outcome
    seams = context.state.config.seams
    if outcome.kind is OutcomeKind.UNKNOWN and not seams.not_run_proof:
        return make_not_run('broken')
    if outcome.kind is not OutcomeKind.ANSWERED or not seams.answer_match:
        return outcome
    if event.request_id != ticket.request.request_id:
        return make_unknown('mismatched')
    if event.body_bytes != len(outcome.body.encode()):
        return make_unknown('truncated')
    return outcome


def downgrade(
    context: Context, parent: Ticket, outcome: RequestOutcome
) -> RequestOutcome:
    """Return the final outcome of a request in view of its earlier tries.

    A request is not reported as not run if an earlier try may have run.
    """
    is_proof_required = context.state.config.seams.not_run_proof
    earlier = parent.last_outcome
    if (
        earlier is not None
        and outcome.kind is OutcomeKind.NOT_RUN
        and is_proof_required
    ):
        return earlier
    return outcome


def may_retry(
    context: Context, parent: Ticket, outcome: RequestOutcome
) -> bool:
    """Return whether to retry a request.

    A retry takes a token from the retry budget, except after a transient
    refusal, such as by an instance that no longer owns the unit.
    """
    state = context.state
    if context.now_ms + RETRY_PAUSE_MS >= parent.deadline_ms:
        return False
    if outcome.kind is OutcomeKind.NOT_RUN:
        if outcome.code in _TRANSIENT_CODES:
            return True
        if not _has_other_cell(context, parent, outcome):
            return False
    elif not _is_safe_to_repeat(parent, outcome):
        return False
    if state.retry_tokens < 1:
        state.counters['retries_denied'] += 1
        return False
    state.retry_tokens -= 1
    state.counters['retries'] += 1
    return True


def _has_other_cell(
    context: Context, parent: Ticket, outcome: RequestOutcome
) -> bool:
    """Return whether another worker or cell may accept a refused request.

    A cell that reports itself overloaded is remembered as full.
    """
    if outcome.code == 'refused':
        return True
    if outcome.code != 'overloaded':
        return False
    parent.overloaded_cells.add(parent.last_try_unit)
    return any(
        unit not in parent.overloaded_cells
        for unit, _ in _endpoint_choice.iter_serving(
            context, parent.request.service
        )
    )


def _is_safe_to_repeat(parent: Ticket, outcome: RequestOutcome) -> bool:
    """Return whether a request whose last try may have run may be retried.

    A try that was lost on the way to the owner of the id's hash range is
    safe to repeat, because that owner deduplicates by id.
    """
    if parent.request.repeatable:
        return True
    return not parent.durable and outcome.code == 'peer_lost'
