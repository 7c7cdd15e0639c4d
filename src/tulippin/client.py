"""A client of the operators' HTTP API, for the command line."""

from __future__ import annotations

import ssl
import typing as t

import httpcore

from tulippin._http_app import ErrorBody
from tulippin.codec_json import decode, encode
from tulippin.exceptions import (
    ConflictError,
    DeniedError,
    Finding,
    InputError,
    NotFoundError,
    TulippinError,
    UnavailableError,
)

_MIN_ERROR_STATUS: t.Final = 400
_TIMEOUT_S: t.Final = 15.0
_ERROR_CLASSES: t.Final[dict[int, type[TulippinError]]] = {
    400: InputError,
    403: DeniedError,
    404: NotFoundError,
    409: ConflictError,
    413: InputError,
    422: InputError,
    503: UnavailableError,
    504: UnavailableError,
}


def make_tls_context(
    authority: str, certificate: str, key: str
) -> ssl.SSLContext | None:
    """Return a TLS context from PEM files, or ``None`` without an authority."""
    if not authority:
        return None
    context = ssl.create_default_context(cafile=authority)
    if certificate:
        context.load_cert_chain(certificate, key or None)
    return context


class ApiClient:
    """HTTP client of one instance; a context manager.

    Parameters
    ----------
    url : str
        Base URL of the instance's listener for operators.
    tls : ssl.SSLContext, optional
        TLS context for ``https`` URLs.
    """

    def __init__(self, url: str, tls: ssl.SSLContext | None = None) -> None:
        self._url = url.rstrip('/')
        self._pool = httpcore.ConnectionPool(ssl_context=tls)

    def __enter__(self) -> t.Self:
        """Return itself."""
        return self

    def __exit__(self, *details: object) -> None:
        """Close the connection."""
        self._pool.close()

    def send(self, method: str, path: str, body: t.Any = None) -> t.Any:
        """Send a request and return the decoded JSON response.

        Raises
        ------
        TulippinError
            Of the class that the response status stands for.
        """
        return decode(self.send_raw(method, path, body), t.Any)

    def send_raw(self, method: str, path: str, body: t.Any = None) -> bytes:
        """Send a request and return the response body."""
        timeouts = dict.fromkeys(('connect', 'read', 'write'), _TIMEOUT_S)
        try:
            response = self._pool.request(
                method,
                f'{self._url}{path}',
                headers={'Content-Type': 'application/json'},
                content=b'' if body is None else encode(body),
                extensions={'timeout': timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.UnsupportedProtocol,
        ) as error:
            raise UnavailableError(
                f'{self._url} does not answer ({error!r}); give another'
                ' instance by --url or TULIPPIN_URL'
            ) from error
        if response.status >= _MIN_ERROR_STATUS:
            raise _make_error(response.status, response.content)
        return response.content


def _make_error(status: int, content: bytes) -> TulippinError:
    try:
        body = decode(content, ErrorBody)
    except InputError:
        return TulippinError(f'the instance answers {status}', 'http_error')
    error_class = _ERROR_CLASSES.get(status, TulippinError)
    if error_class is InputError:
        findings = [
            Finding(finding.place, finding.message, finding.advice)
            for finding in body.findings
        ]
        return InputError(body.message, findings, body.code)
    return error_class(body.message, body.code)
