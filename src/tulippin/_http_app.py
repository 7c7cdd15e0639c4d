"""Request parsing, responses and errors shared by all HTTP APIs.

The callers' and operators' APIs of both daemons build on it.
"""

from __future__ import annotations

import typing as t

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from tulippin import codec_json as codec
from tulippin._error_body import ErrorBody, FindingBody
from tulippin._http_guard import INTERNAL_BODY
from tulippin.exceptions import (
    ConflictError,
    DeniedError,
    InputError,
    NotFoundError,
    TulippinError,
    UnavailableError,
)

Decoded = t.TypeVar('Decoded')

_STATUSES: t.Final[tuple[tuple[type[TulippinError], int], ...]] = (
    (InputError, 400),
    (DeniedError, 403),
    (NotFoundError, 404),
    (ConflictError, 409),
    (UnavailableError, 503),
)
_STATUS_TOO_LARGE: t.Final = 413
_STATUS_INTERNAL: t.Final = 500
_MS_PER_S: t.Final = 1000
_UNAVAILABLE_RETRY_MS: t.Final = 2000


def make_json(
    value: t.Any, status: int = 200, retry_after_ms: int = 0
) -> Response:
    """Return a JSON response; ``Retry-After`` is rounded up to seconds."""
    headers = {}
    if retry_after_ms:
        headers['Retry-After'] = str(-(-retry_after_ms // _MS_PER_S))
    return Response(
        codec.encode(value), status, headers, media_type='application/json'
    )


def _get_status(error: TulippinError) -> int:
    for kind, status in _STATUSES:
        if isinstance(error, kind):
            return status
    return _STATUS_INTERNAL


def make_error_response(error: TulippinError) -> Response:
    """Return the JSON error response for a ``TulippinError``."""
    status = _get_status(error)
    if error.code == 'too_large':
        status = _STATUS_TOO_LARGE
    findings = tuple(
        FindingBody(finding.place, finding.message, finding.advice)
        for finding in getattr(error, 'findings', ())
    )
    outcome = 'unknown' if error.code == 'unknown' else 'not_run'
    retry_ms = (
        _UNAVAILABLE_RETRY_MS if isinstance(error, UnavailableError) else 0
    )
    body = ErrorBody(error.code, error.message, outcome, retry_ms, findings)
    return make_json(body, status, retry_ms)


async def read_body(request: Request, limit: int) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    InputError
        If the body is longer than ``limit`` bytes (reading stops there),
        or if the client disconnects before the end of the body.
    """
    try:
        return await _read_chunks(request, limit)
    except ClientDisconnect as error:
        raise InputError('the caller left', code='caller_left') from error


async def _read_chunks(request: Request, limit: int) -> bytes:
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit:
            raise InputError(
                f'the body is over {limit} bytes; send less',
                code='too_large',
            )
        chunks.append(chunk)
    return b''.join(chunks)


async def read_json(
    request: Request, kind: type[Decoded], limit: int
) -> Decoded:
    """Decode the JSON body of a request as a value of type ``kind``."""
    return codec.decode(await read_body(request, limit), kind)


async def _handle_error(_: Request, error: Exception) -> Response:
    if isinstance(error, TulippinError):
        if _get_status(error) == _STATUS_INTERNAL:
            # Not a rejection of the request: the server logs the error and
            # responds as to any internal error.
            raise error
        return make_error_response(error)
    if isinstance(error, HTTPException):
        code = {404: 'no_such_path', 405: 'no_such_method'}.get(
            error.status_code, 'http_error'
        )
        body = ErrorBody(code, f'{error.detail}; see /openapi.json')
        return make_json(body, error.status_code)
    # Starlette raises the error again after this response; the server
    # that runs the application logs it.
    return Response(
        INTERNAL_BODY, _STATUS_INTERNAL, media_type='application/json'
    )


def make_app(routes: t.Sequence[Route]) -> Starlette:
    """Return an application that sends every error as an ``ErrorBody``."""
    return Starlette(
        routes=list(routes),
        exception_handlers={
            TulippinError: _handle_error,
            HTTPException: _handle_error,
            Exception: _handle_error,
        },
    )


def make_health_routes(get_unready_reason: t.Callable[[], str]) -> list[Route]:
    """Return the liveness and readiness routes for load balancers.

    Parameters
    ----------
    get_unready_reason : callable
        Returns an empty string if the instance is ready, else the reason
        why it is not.
    """

    async def get_health(_: Request) -> Response:
        return JSONResponse({'status': 'alive'})

    async def get_ready(_: Request) -> Response:
        reason = get_unready_reason()
        if reason:
            return JSONResponse({'status': reason}, 503)
        return JSONResponse({'status': 'ready'})

    return [Route('/healthz', get_health), Route('/readyz', get_ready)]
