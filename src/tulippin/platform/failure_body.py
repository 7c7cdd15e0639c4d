"""What a caller of the platform is sent when our own code fails."""

from __future__ import annotations

import typing as t

import msgspec

from tulippin._http_guard import INTERNAL_MESSAGE
from tulippin.platform.wire import ErrorBody

FAILURE_BODY: t.Final = msgspec.json.encode(
    ErrorBody(f'internal: {INTERNAL_MESSAGE}')
)
