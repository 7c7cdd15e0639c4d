"""The operators' HTTP API: bundles, jobs, workers, metrics and dumps."""

from __future__ import annotations

import typing as t
from importlib import resources

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import HTMLResponse, Response
from starlette.routing import Route

from tulippin._bundle_routes import BundleRoutes
from tulippin._http_app import (
    make_app,
    make_health_routes,
    make_json,
)
from tulippin.api_types import InstanceBody
from tulippin.codec import decode
from tulippin.dump import dump_state
from tulippin.http_callers import CallersApi
from tulippin.metrics import ShellMetrics
from tulippin.plots import render_report
from tulippin.shell import Shell
from tulippin.stats import Comparison, merge_reports


class OperatorsApi:
    """HTTP handlers for operators, on the shell of an instance.

    Parameters
    ----------
    shell : Shell
        The instance's shell.
    callers : CallersApi
        The callers' API, whose routes for jobs are served here too.
    metrics : ShellMetrics
        The metrics to serve at ``/metrics``.
    get_unready_reason : callable
        Returns an empty string if the instance is ready, else the reason
        why it is not.
    """

    def __init__(
        self,
        shell: Shell,
        callers: CallersApi,
        metrics: ShellMetrics,
        get_unready_reason: t.Callable[[], str],
    ) -> None:
        self._shell = shell
        self._callers = callers
        self._metrics = metrics
        self._get_unready_reason = get_unready_reason

    def make_app(self) -> Starlette:
        """Return the application for the operators' listener."""
        bundles = BundleRoutes(self._shell.bundles)
        return make_app(
            [
                *bundles.make_routes(),
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
                *make_health_routes(self._get_unready_reason),
            ]
        )

    # -- views ---------------------------------------------------------------

    async def _list_workers(self, _: Request) -> Response:
        report = await self._shell.report('workers')
        cells: dict[str, t.Any] = {}
        for body in report.bodies:
            cells.update(decode(body, dict))
        return make_json({'cells': cells, 'missing': report.missing})

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
                state.now_ms - peer.lease_changed_ms,
            )
            for session_id, peer in state.peers.items()
        )
        rows.sort(key=lambda row: row.instance_id)
        return make_json({'instances': rows})

    async def _get_comparison(self) -> Comparison:
        report = await self._shell.report('trial')
        return merge_reports(
            report.bodies, report.missing, self._shell.state.bundle
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
    path = resources.files('tulippin') / 'openapi.json'
    return path.read_bytes()
