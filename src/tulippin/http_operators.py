"""The operators' HTTP API: bundles, jobs, workers, figures and dumps."""

from __future__ import annotations

import typing as t
from importlib import resources

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import HTMLResponse, Response
from starlette.routing import Route

from tulippin._http_app import (
    make_app,
    make_health_routes,
    make_json,
    read_json,
)
from tulippin.api_types import InstanceBody, ProposalBody, SignatureBody
from tulippin.bundles import BUNDLE_LIMIT_BYTES, BundleRow, Signature
from tulippin.codec import decode
from tulippin.dump import dump_state
from tulippin.exceptions import InputError
from tulippin.http_callers import CallersApi
from tulippin.logs import logger
from tulippin.metrics import ShellMetrics
from tulippin.plots import render_report
from tulippin.shell import Shell
from tulippin.stats import Comparison, merge_reports

_CREATED: t.Final = 201


class OperatorsApi:
    """Answers operators by way of a shell.

    Parameters
    ----------
    shell : Shell
        The instance.
    callers : CallersApi
        Whose routes for jobs operators have too.
    metrics : ShellMetrics
        What is served at ``/metrics``.
    is_ready : callable
        Returns the reason why the instance is not ready, or nothing.
    """

    def __init__(
        self,
        shell: Shell,
        callers: CallersApi,
        metrics: ShellMetrics,
        is_ready: t.Callable[[], str],
    ) -> None:
        self._shell = shell
        self._callers = callers
        self._metrics = metrics
        self._is_ready = is_ready

    def make_app(self) -> Starlette:
        """Return the application for the operators' listener."""
        number = '/v1/bundles/{number:int}'
        return make_app(
            [
                Route('/v1/bundles', self._propose, methods=['POST']),
                Route('/v1/bundles', self._list_bundles, methods=['GET']),
                Route(number, self._show_bundle, methods=['GET']),
                Route(
                    f'{number}/{{action}}', self._step_bundle, methods=['POST']
                ),
                Route('/v1/workers', self._list_workers, methods=['GET']),
                Route('/v1/instances', self._list_instances, methods=['GET']),
                Route('/v1/compare', self._compare, methods=['GET']),
                Route(
                    '/v1/compare.html', self._render_compare, methods=['GET']
                ),
                Route('/v1/dump', self._dump, methods=['GET']),
                Route('/metrics', self._get_metrics, methods=['GET']),
                Route('/openapi.json', self._get_openapi, methods=['GET']),
                *self._callers.make_job_routes(),
                *make_health_routes(self._is_ready),
            ]
        )

    # -- bundles -------------------------------------------------------------

    async def _propose(self, request: Request) -> Response:
        body = await read_json(request, ProposalBody, BUNDLE_LIMIT_BYTES * 2)
        signature = Signature(body.operator, body.signature)
        row = await self._shell.bundles.propose(body.text, signature)
        return self._reply(row, 'proposed', _CREATED)

    async def _step_bundle(self, request: Request) -> Response:
        store = self._shell.bundles
        steps: dict[str, t.Any] = {
            'approve': store.approve,
            'roll': store.roll,
            'retire': store.retire,
        }
        action = request.path_params['action']
        if action not in steps:
            known = ', '.join(steps)
            raise InputError(f'unknown action {action!r}; one of: {known}')
        body = await read_json(request, SignatureBody, BUNDLE_LIMIT_BYTES)
        signature = Signature(body.operator, body.signature)
        row = await steps[action](request.path_params['number'], signature)
        return self._reply(row, action, 200)

    def _reply(self, row: BundleRow, action: str, status: int) -> Response:
        logger.info(
            'bundle step',
            action=action,
            number=row.number,
            state=row.state.value,
        )
        return make_json(row, status)

    async def _list_bundles(self, _: Request) -> Response:
        rows = await self._shell.bundles.iter_all()
        return make_json({'bundles': rows})

    async def _show_bundle(self, request: Request) -> Response:
        number = request.path_params['number']
        row, _ = await self._shell.bundles.get(number)
        return make_json(row)

    # -- views ---------------------------------------------------------------

    async def _list_workers(self, _: Request) -> Response:
        answer = await self._shell.report('workers')
        cells: dict[str, t.Any] = {}
        for body in answer.bodies:
            cells.update(decode(body, dict))
        return make_json({'cells': cells, 'missing': answer.missing})

    async def _list_instances(self, _: Request) -> Response:
        state = self._shell.state
        rows = [
            InstanceBody(
                state.config.instance_id,
                state.config.failure_domain,
                state.session.session_id,
                state.session.standing.value,
                state.bundle_number,
                0,
            )
        ]
        rows.extend(
            InstanceBody(
                peer.lease.instance_id,
                peer.lease.failure_domain,
                session_id,
                'leaving' if peer.leaving else 'live',
                peer.bundle_number,
                state.now_ms - peer.changed_ms,
            )
            for session_id, peer in state.peers.items()
        )
        rows.sort(key=lambda row: row.instance_id)
        return make_json({'instances': rows})

    async def _get_comparison(self) -> Comparison:
        answer = await self._shell.report('trial')
        return merge_reports(
            answer.bodies, answer.missing, self._shell.state.bundle
        )

    async def _compare(self, _: Request) -> Response:
        return make_json(await self._get_comparison())

    async def _render_compare(self, _: Request) -> Response:
        return HTMLResponse(render_report(await self._get_comparison()))

    async def _dump(self, _: Request) -> Response:
        return make_json(dump_state(self._shell.state))

    async def _get_metrics(self, _: Request) -> Response:
        return Response(
            self._metrics.render(), media_type='text/plain; version=0.0.4'
        )

    async def _get_openapi(self, _: Request) -> Response:
        return Response(read_openapi(), media_type='application/json')


def read_openapi() -> bytes:
    """Return the committed OpenAPI document."""
    place = resources.files('tulippin') / 'openapi.json'
    return place.read_bytes()
