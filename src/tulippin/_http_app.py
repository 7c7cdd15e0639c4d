"""What the callers' and the operators' HTTP have in common."""

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
_TOO_LARGE: t.Final = 413
_INTERNAL: t.Final = 500
_MS: t.Final = 1000


def make_json(
    value: t.Any, status: int = 200, retry_after_ms: int = 0
) -> Response:
    """Return a value as a JSON response."""
    headers = {}
    if retry_after_ms:
        headers['Retry-After'] = str(-(-retry_after_ms // _MS))
    return Response(
        codec.encode(value), status, headers, media_type='application/json'
    )


def _get_status(error: TulippinError) -> int:
    for kind, number in _STATUSES:
        if isinstance(error, kind):
            return number
    return _INTERNAL


def make_error(error: TulippinError) -> Response:
    """Return an error of the family that has a status as a response."""
    status = _get_status(error)
    if error.code == 'too_large':
        status = _TOO_LARGE
    findings = tuple(
        FindingBody(one.place, one.message, one.advice)
        for one in getattr(error, 'findings', ())
    )
    outcome = 'unknown' if error.code == 'unknown' else 'not_run'
    retry_ms = 2000 if isinstance(error, UnavailableError) else 0
    body = ErrorBody(error.code, error.message, outcome, retry_ms, findings)
    return make_json(body, status, retry_ms)


async def read_body(request: Request, limit: int) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    InputError
        If it is longer than ``limit`` bytes, of which no more is read, or
        if the caller leaves before its end.
    """
    try:
        return await _read_parts(request, limit)
    except ClientDisconnect as error:
        raise InputError('the caller left', code='caller_left') from error


async def _read_parts(request: Request, limit: int) -> bytes:
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > limit:
            raise InputError(
                f'the body is over {limit} bytes; send less',
                code='too_large',
            )
        parts.append(part)
    return b''.join(parts)


async def read_json(
    request: Request, kind: type[Decoded], limit: int
) -> Decoded:
    """Return the body of a request as a value of a type."""
    return codec.decode(await read_body(request, limit), kind)


async def _handle_error(_: Request, error: Exception) -> Response:
    if isinstance(error, TulippinError):
        if _get_status(error) == _INTERNAL:
            # No call is refused by it: it is told and answered as a fault.
            raise error
        return make_error(error)
    if isinstance(error, HTTPException):
        code = {404: 'no_such_path', 405: 'no_such_method'}.get(
            error.status_code, 'http_error'
        )
        body = ErrorBody(code, f'{error.detail}; see /openapi.json')
        return make_json(body, error.status_code)
    # Whoever serves the application tells the error, which is raised on.
    return Response(INTERNAL_BODY, _INTERNAL, media_type='application/json')


def make_app(routes: t.Sequence[Route]) -> Starlette:
    """Return an application whose errors all have one shape."""
    return Starlette(
        routes=list(routes),
        exception_handlers={
            TulippinError: _handle_error,
            HTTPException: _handle_error,
            Exception: _handle_error,
        },
    )


def make_health_routes(is_ready: t.Callable[[], str]) -> list[Route]:
    """Return the routes that the balancer asks.

    Parameters
    ----------
    is_ready : callable
        Returns an empty text if ready, else the reason why not.
    """

    async def get_health(_: Request) -> Response:
        return JSONResponse({'status': 'alive'})

    async def get_ready(_: Request) -> Response:
        reason = is_ready()
        if reason:
            return JSONResponse({'status': reason}, 503)
        return JSONResponse({'status': 'ready'})

    return [Route('/healthz', get_health), Route('/readyz', get_ready)]
