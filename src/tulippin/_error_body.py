"""Bodies of the error responses to callers and operators."""

from __future__ import annotations

import attrs


@attrs.frozen
class FindingBody:
    """One finding, as sent."""

    place: str
    message: str
    advice: str = ''


@attrs.frozen
class ErrorBody:
    """An error, as sent.

    ``outcome`` is ``not_run`` if nothing was done, else ``unknown`` or
    ``failed``; ``retry_after_ms`` tells when to come back, 0 for never.
    """

    code: str
    message: str
    outcome: str = 'not_run'
    retry_after_ms: int = 0
    findings: tuple[FindingBody, ...] = ()
