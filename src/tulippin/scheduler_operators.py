"""The operators' HTTP API and the metrics of a scheduler instance."""

from __future__ import annotations

import typing as t

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tulippin._bundle_routes import BundleRoutes
from tulippin._http_app import make_app, make_health_routes, make_json
from tulippin.bundle_store import BundleStore
from tulippin.exceptions import NotFoundError
from tulippin.jobs import views
from tulippin.jobs.shell import SchedulerShell
from tulippin.jobs.state import Phase, SchedulerState
from tulippin.latency_metrics import iter_latency_metrics
from tulippin.row_table import RowTable


class SchedulerMetrics(Collector):
    """Collects an instance's figures at each scrape."""

    def __init__(self, shell: SchedulerShell) -> None:
        self._shell = shell
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)

    def collect(self) -> t.Iterator[Metric]:
        """Yield every metric as it is now."""
        state = self._shell.state
        counters = CounterMetricFamily(
            'tulippin_events', 'Things counted, by name', labels=['name']
        )
        for name, count in sorted(state.counters.items()):
            counters.add_metric([name], count)
        yield counters
        gauges = {
            'tulippin_owns_unit': int(state.ownership.phase is Phase.ACTIVE),
            'tulippin_jobs': len(state.jobs),
            'tulippin_workers': len(state.workers),
            'tulippin_steps_ready': len(state.ready) + len(state.ready_idle),
            'tulippin_commits_waiting': len(state.dirty_jobs),
            'tulippin_bundle_number': state.policy_number,
        }
        for name, value in gauges.items():
            gauge = GaugeMetricFamily(name, name.replace('_', ' '))
            gauge.add_metric([], value)
            yield gauge
        yield from iter_latency_metrics(self._shell.latencies)


class SchedulerOperatorsApi:
    """Answers operators by way of a scheduler's shell.

    Parameters
    ----------
    shell : SchedulerShell
        The instance.
    keys : mapping of str to str
        Operators' public keys.
    get_unready : callable
        Returns why the instance is not ready, or an empty text.
    """

    def __init__(
        self,
        shell: SchedulerShell,
        keys: t.Mapping[str, str],
        get_unready: t.Callable[[], str],
    ) -> None:
        self._shell = shell
        self._get_unready = get_unready
        self._metrics = SchedulerMetrics(shell)
        self._bundles = BundleStore(RowTable(shell.ports.store), keys)

    @property
    def _state(self) -> SchedulerState:
        return self._shell.state

    def make_app(self) -> Starlette:
        """Return the application for the internal listener."""
        return make_app(
            [
                *BundleRoutes(self._bundles).make_routes(),
                Route('/v1/unit', self._show_unit),
                Route('/v1/jobs', self._list_jobs),
                Route('/v1/jobs/{job_id}', self._show_job),
                Route('/v1/queues', self._show_queues),
                Route('/v1/workers', self._list_workers),
                Route('/v1/model', self._show_model),
                Route('/v1/dump', self._dump),
                Route('/metrics', self._get_metrics),
                *make_health_routes(self._get_unready),
            ]
        )

    async def _show_unit(self, _: Request) -> Response:
        return make_json(views.show_unit(self._state))

    async def _list_jobs(self, request: Request) -> Response:
        wanted = request.query_params.get('state', '')
        jobs = [
            views.show_job(job)
            for job in self._state.jobs.values()
            if wanted in {'', job.state.value}
        ]
        return make_json({'jobs': jobs})

    async def _show_job(self, request: Request) -> Response:
        job = self._state.jobs.get(request.path_params['job_id'])
        if job is None:
            raise NotFoundError(
                'this instance does not hold the job; ask the owner that'
                ' /v1/unit names',
                code='unknown_job',
            )
        return make_json(views.show_job(job))

    async def _show_queues(self, _: Request) -> Response:
        return make_json(views.show_queues(self._state))

    async def _list_workers(self, _: Request) -> Response:
        state = self._state
        rows = [
            views.show_worker(worker, state)
            for worker in state.workers.values()
        ]
        return make_json({'workers': rows})

    async def _show_model(self, _: Request) -> Response:
        return make_json({'pairs': views.show_model(self._state)})

    async def _dump(self, _: Request) -> Response:
        return make_json(views.dump(self._state))

    async def _get_metrics(self, _: Request) -> Response:
        return Response(
            self._metrics.render(), media_type='text/plain; version=0.0.4'
        )
