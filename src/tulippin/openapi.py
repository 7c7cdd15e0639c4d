"""Builds the OpenAPI document of both HTTP APIs from their types.

``python -m tulippin.openapi`` prints it. The committed copy is
``openapi.json`` in the directory of this module.
"""

from __future__ import annotations

import typing as t

import attrs
import msgspec

from tulippin._http_app import ErrorBody
from tulippin.api_types import (
    InstanceBody,
    ProposalBody,
    ServiceAnswer,
    ServiceCall,
    SignatureBody,
)
from tulippin.bundles import BundleRow
from tulippin.messages import JobStatus
from tulippin.stats import Comparison
from tulippin.types import JobSpec

_VERSION: t.Final = '0.1.0'
_SCHEMA_REF_TEMPLATE: t.Final = '#/components/schemas/{name}'


@attrs.frozen
class JobList:
    """Jobs; ``missing`` names instances that did not answer."""

    jobs: tuple[JobStatus, ...]
    missing: tuple[str, ...]


@attrs.frozen
class BundleList:
    """Bundles in the order of their numbers."""

    bundles: tuple[BundleRow, ...]


@attrs.frozen
class InstanceList:
    """Instances as one of them sees them."""

    instances: tuple[InstanceBody, ...]


@attrs.frozen
class WorkerList:
    """Cells with their workers; ``missing`` as for jobs."""

    cells: dict[str, t.Any]
    missing: tuple[str, ...]


@attrs.frozen
class HealthBody:
    """What the balancer reads."""

    status: str


@attrs.frozen
class Operation:
    """One operation of an API.

    Parameters
    ----------
    listener : str
        ``callers``, ``operators`` or ``both``.
    method, path, summary : str
        As in the OpenAPI document.
    answer : type, optional
        Type of the answer's body; ``None`` for untyped JSON or text.
    status : str
        Status code of success.
    body : type, optional
        Type of the request's body.
    errors : tuple of str
        Status codes whose answer is an ``ErrorBody``.
    media_type : str
        Of the answer on success.
    """

    listener: str
    method: str
    path: str
    summary: str
    answer: type | None
    status: str = '200'
    body: type | None = None
    errors: tuple[str, ...] = ()
    media_type: str = 'application/json'


_BUNDLE_PATH: t.Final = '/v1/bundles/{number}'

OPERATIONS: t.Final = (
    Operation(
        'callers',
        'post',
        '/v1/services/{service}',
        'Send one request to a service',
        ServiceAnswer,
        body=ServiceCall,
        errors=('400', '409', '413', '429', '502', '503', '504'),
    ),
    Operation(
        'both',
        'post',
        '/v1/jobs',
        'Submit a job',
        JobStatus,
        '201',
        JobSpec,
        ('400', '403', '409', '413', '422', '503', '504'),
    ),
    Operation('both', 'get', '/v1/jobs', 'List jobs', JobList),
    Operation(
        'both',
        'get',
        '/v1/jobs/{job_id}',
        'Show a job',
        JobStatus,
        errors=('404', '503', '504'),
    ),
    Operation(
        'both',
        'delete',
        '/v1/jobs/{job_id}',
        'Cancel a job',
        JobStatus,
        errors=('404', '503', '504'),
    ),
    Operation('both', 'get', '/healthz', 'Whether it lives', HealthBody),
    Operation('both', 'get', '/readyz', 'Whether it is ready', HealthBody),
    Operation(
        'operators',
        'post',
        '/v1/bundles',
        'Propose a bundle',
        BundleRow,
        '201',
        ProposalBody,
        ('400', '403', '409', '413', '503'),
    ),
    Operation('operators', 'get', '/v1/bundles', 'List bundles', BundleList),
    Operation(
        'operators',
        'get',
        _BUNDLE_PATH,
        'Show a bundle',
        BundleRow,
        errors=('404',),
    ),
    *(
        Operation(
            'operators',
            'post',
            f'{_BUNDLE_PATH}/{action}',
            f'{action.title()} a bundle',
            BundleRow,
            body=SignatureBody,
            errors=('400', '403', '404', '409', '503'),
        )
        for action in ('approve', 'roll', 'retire')
    ),
    Operation('operators', 'get', '/v1/workers', 'List workers', WorkerList),
    Operation(
        'operators', 'get', '/v1/instances', 'List instances', InstanceList
    ),
    Operation(
        'operators', 'get', '/v1/compare', 'Compare policies', Comparison
    ),
    Operation(
        'operators',
        'get',
        '/v1/compare.html',
        'The comparison as one HTML file',
        None,
        media_type='text/html',
    ),
    Operation('operators', 'get', '/v1/dump', 'Dump the state', None),
    Operation(
        'operators',
        'get',
        '/metrics',
        'Metrics for Prometheus',
        None,
        media_type='text/plain',
    ),
    Operation('operators', 'get', '/openapi.json', 'This document', None),
)


def build_document() -> dict[str, t.Any]:
    """Return the OpenAPI document as plain values."""
    types = {
        kind
        for operation in OPERATIONS
        for kind in (operation.answer, operation.body)
        if kind is not None
    }
    sorted_types = sorted({*types, ErrorBody}, key=lambda kind: kind.__name__)
    schemas, components = msgspec.json.schema_components(
        sorted_types, ref_template=_SCHEMA_REF_TEMPLATE
    )
    references = dict(zip(sorted_types, schemas, strict=True))
    paths: dict[str, dict[str, t.Any]] = {}
    for operation in OPERATIONS:
        paths.setdefault(operation.path, {})[operation.method] = (
            _build_operation(operation, references)
        )
    return {
        'openapi': '3.1.0',
        'info': {
            'title': 'tulippin',
            'version': _VERSION,
            'license': {'name': 'BSD-3-Clause', 'identifier': 'BSD-3-Clause'},
        },
        'paths': paths,
        'components': {'schemas': components},
    }


def _build_operation(
    operation: Operation, references: t.Mapping[type, t.Any]
) -> dict[str, t.Any]:
    built: dict[str, t.Any] = {
        'summary': operation.summary,
        'tags': [operation.listener],
        'responses': {
            operation.status: _build_content(
                operation.summary,
                operation.media_type,
                references.get(operation.answer) if operation.answer else {},
            )
        },
    }
    for status in operation.errors:
        built['responses'][status] = _build_content(
            'Refused or failed', 'application/json', references[ErrorBody]
        )
    names = [
        part.strip('{}')
        for part in operation.path.split('/')
        if part.startswith('{')
    ]
    if names:
        built['parameters'] = [_build_parameter(name) for name in names]
    if operation.body is not None:
        content = _build_content(
            '', 'application/json', references[operation.body]
        )
        built['requestBody'] = {
            'required': True,
            'content': content['content'],
        }
    return built


def _build_parameter(name: str) -> dict[str, t.Any]:
    kind = 'integer' if name == 'number' else 'string'
    return {
        'name': name,
        'in': 'path',
        'required': True,
        'schema': {'type': kind},
    }


def _build_content(
    description: str, media_type: str, schema: t.Any
) -> dict[str, t.Any]:
    return {
        'description': description,
        'content': {media_type: {'schema': schema}},
    }


def render_document() -> bytes:
    """Return the document as formatted JSON."""
    body = msgspec.json.encode(build_document(), order='sorted')
    return b'%b\n' % msgspec.json.format(body, indent=2)


if __name__ == '__main__':
    print(render_document().decode(), end='')
