"""What an answer proves of a request, and whether it may be tried again."""

from __future__ import annotations

from tulippin import _serving
from tulippin._context import Context
from tulippin.events import EndpointReplied
from tulippin.messages import RequestOutcome
from tulippin.state import Ticket
from tulippin.types import OutcomeKind

RETRY_PAUSE_MS = 50
_RETRY_AFTER_MS = 1000
_WAIT_CODES = frozenset(('moved', 'no_owner', 'leaving', 'fenced'))


def make_not_run(
    code: str, retry_after_ms: int = _RETRY_AFTER_MS
) -> RequestOutcome:
    """Say that a request did surely not run, and when to come back."""
    return RequestOutcome(
        OutcomeKind.NOT_RUN, code, retry_after_ms=retry_after_ms
    )


def make_unknown(code: str) -> RequestOutcome:
    """Say that a request may have run."""
    return RequestOutcome(OutcomeKind.UNKNOWN, code)


def check_answer(
    context: Context, ticket: Ticket, event: EndpointReplied
) -> RequestOutcome:
    """Return the outcome, unknown if the answer is not whole or not ours."""
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
    """Never say "not run" if an earlier try may have run."""
    proved = context.state.config.seams.not_run_proof
    earlier = parent.last_outcome
    if earlier is not None and outcome.kind is OutcomeKind.NOT_RUN and proved:
        return earlier
    return outcome


def may_retry(
    context: Context, parent: Ticket, outcome: RequestOutcome
) -> bool:
    """Tell whether to try again; a yes may be taken from the budget."""
    state = context.state
    if context.now_ms + RETRY_PAUSE_MS >= parent.deadline_ms:
        return False
    if outcome.kind is OutcomeKind.NOT_RUN:
        if outcome.code in _WAIT_CODES:
            return True
        if not _has_other_cell(context, parent, outcome):
            return False
    elif not _is_safe_again(parent, outcome):
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
    """Tell whether a refused request may find room elsewhere."""
    if outcome.code == 'refused':
        return True
    if outcome.code != 'overloaded':
        return False
    parent.full_cells.add(parent.try_unit)
    return any(
        unit not in parent.full_cells
        for unit, _ in _serving.iter_serving(context, parent.request.service)
    )


def _is_safe_again(parent: Ticket, outcome: RequestOutcome) -> bool:
    """Tell whether a request whose last try may have run may run again.

    The way to the hash range's owner is safe to go again: the owner
    knows the id.
    """
    if parent.request.repeatable:
        return True
    return not parent.durable and outcome.code == 'peer_lost'
