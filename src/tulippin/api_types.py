"""Request and answer bodies of the callers' and the operators' APIs.

The OpenAPI document takes its schemas and descriptions from them.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ServiceCall:
    """A caller's request to a service.

    Parameters
    ----------
    request_id : str
        Chosen by the caller; with ``repeatable`` false the same id
        never runs twice.
    team : str
        Who asks.
    body : str
        What the service gets.
    repeatable : bool
        Whether the request may run more than once.
    timeout_ms : int, optional
        How long the caller waits.
    deadline_unix_ms : int, optional
        Until when the caller waits, by its own clock.
    """

    request_id: str
    team: str
    body: str = ''
    repeatable: bool = False
    timeout_ms: int | None = None
    deadline_unix_ms: int | None = None


@attrs.frozen
class ServiceAnswer:
    """The whole answer to a request."""

    request_id: str
    outcome: str
    status: int
    body: str
    code: str = ''


@attrs.frozen
class SignatureBody:
    """An operator's signature."""

    operator: str
    signature: str


@attrs.frozen
class ProposalBody:
    """A bundle's text, signed by its proposer."""

    text: str
    operator: str
    signature: str


@attrs.frozen
class InstanceBody:
    """An instance as its peers see it."""

    instance_id: str
    failure_domain: str
    session_id: str
    standing: str
    bundle_number: int
    silent_ms: int
