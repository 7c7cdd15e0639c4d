"""Operators' HTTP API and Prometheus metrics of a scheduler instance."""

from __future__ import annotations

import collections
import typing as t

import trio
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

from tulippin import failures
from tulippin._bundle_routes import BundleRoutes
from tulippin._client_connections import Closing, ConnectionTable
from tulippin._http_app import make_app, make_health_routes, make_json
from tulippin.bundle_store import BundleStore
from tulippin.exceptions import NotFoundError
from tulippin.jobs import views
from tulippin.jobs._write_bounds import Reason, StoreLoad
from tulippin.jobs.admission import Admission
from tulippin.jobs.shell import SchedulerShell
from tulippin.jobs.state import Phase, SchedulerState
from tulippin.latency_metrics import iter_latency_metrics
from tulippin.row_table import RowTable
from tulippin.scheduler_process_records import ProcessRecorder

_MS_PER_S: t.Final = 1000
_HARM_COUNTERS: t.Final = (
    'harm_missed_ms',
    'harm_runs_shed',
    'harm_shed_core_ms',
)


class SchedulerMetrics(Collector):
    """Collects the metrics of an instance at each scrape."""

    def __init__(
        self,
        shell: SchedulerShell,
        recorder: ProcessRecorder,
        connections: ConnectionTable,
    ) -> None:
        self._shell = shell
        self._recorder = recorder
        self._connections = connections
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def collect(self) -> t.Iterator[Metric]:
        """Yield the current value of every metric."""
        states = [unit.state for unit in self._shell.units.values()]
        yield _make_event_counter(states)
        yield self._make_read_counter()
        yield _make_harm_counter(
            {
                number: unit.state.counters
                for number, unit in self._shell.units.items()
            }
        )
        yield _make_failure_counter()
        yield from _iter_admission_metrics(self._shell.admission)
        yield from _iter_call_counters(self._shell.store_load)
        yield _make_closing_counter(self._connections)
        yield from _iter_gauges(
            {
                'tulippin_event_age_ms': self._shell.load.event_age_ms,
                'tulippin_failed_starts': self._recorder.failed_starts,
                'tulippin_client_connections': len(self._connections),
                'tulippin_client_buffer_bytes': self._connections.held_bytes,
                'tulippin_store_response_ms': _get_response_ms(
                    self._shell.store_load
                ),
                **_sum_gauges(states),
            }
        )
        yield from iter_latency_metrics(self._shell.latencies)

    def _make_read_counter(self) -> Metric:
        """Return the counts of calls to the store by feed."""
        metric = CounterMetricFamily(
            'tulippin_store_reads',
            'Calls to the store, by the feed that made them',
            labels=['feed'],
        )
        for feed, count in sorted(self._shell.read_counts.items()):
            metric.add_metric([feed], count)
        return metric


def _make_harm_counter(
    counters: t.Mapping[int, t.Mapping[str, int]],
) -> Metric:
    """Return what missed targets and pauses cost, by unit."""
    metric = CounterMetricFamily(
        'tulippin_harm',
        'Missed targets in ms, pauses, and what these did not earn in core-ms',
        labels=['unit', 'name'],
    )
    for unit, counts in sorted(counters.items()):
        for name in _HARM_COUNTERS:
            metric.add_metric([str(unit), name], counts.get(name, 0))
    return metric


def _make_closing_counter(connections: ConnectionTable) -> Metric:
    """Return how many connections were closed to their clients, by reason."""
    metric = CounterMetricFamily(
        'tulippin_connections_closed',
        'Connections that had to give way, or whose request was refused',
        labels=['reason'],
    )
    for reason in Closing:
        metric.add_metric([reason.value], connections.closings[reason])
    return metric


def _make_event_counter(states: t.Iterable[SchedulerState]) -> Metric:
    counters = CounterMetricFamily(
        'tulippin_events', 'Things counted, by name', labels=['name']
    )
    counts: collections.Counter[str] = collections.Counter()
    for state in states:
        counts.update(state.counters)
    for name, count in sorted(counts.items()):
        counters.add_metric([name], count)
    return counters


def _make_failure_counter() -> Metric:
    """Return the counts of contained errors by failed component."""
    metric = CounterMetricFamily(
        'tulippin_failures',
        'Unexpected errors, by what failed',
        labels=['what'],
    )
    for what, count in sorted(failures.counts.items()):
        metric.add_metric([what], count)
    return metric


def _iter_admission_metrics(admission: Admission) -> t.Iterator[Metric]:
    """Yield the rejected jobs and the predicted wait, by queue."""
    rejected = CounterMetricFamily(
        'tulippin_jobs_rejected',
        'Jobs rejected as they would be completed too late, by queue',
        labels=['queue'],
    )
    for name, count in sorted(admission.rejected.items()):
        rejected.add_metric([name], count)
    yield rejected
    predicted = GaugeMetricFamily(
        'tulippin_predicted_wait_ms',
        'Predicted wait of a new job, by queue',
        labels=['queue'],
    )
    for name, wait_ms in sorted(admission.predicted_ms.items()):
        predicted.add_metric([name], wait_ms)
    yield predicted


def _iter_call_counters(load: StoreLoad) -> t.Iterator[Metric]:
    """Yield how many calls were given up, and the attempts of the others."""
    given_up = CounterMetricFamily(
        'tulippin_calls_given_up', 'Calls given up, by why', labels=['reason']
    )
    for reason in Reason:
        given_up.add_metric([reason.value], load.given_up[reason])
    yield given_up
    accepted = CounterMetricFamily(
        'tulippin_jobs_accepted',
        'Accepted jobs, by the attempts to write them',
        labels=['attempts'],
    )
    for count, jobs in sorted(load.attempts.items()):
        accepted.add_metric([str(count)], jobs)
    yield accepted


def _get_response_ms(load: StoreLoad) -> int:
    """Return how long the store usually takes for a write."""
    usual_s = load.get_response_time(trio.current_time()).usual_s
    return int(usual_s * _MS_PER_S)


def _sum_gauges(states: t.Sequence[SchedulerState]) -> dict[str, int]:
    """Return gauges summed over all units that the instance holds."""
    return {
        'tulippin_units_owned': sum(
            one.ownership.phase is Phase.ACTIVE for one in states
        ),
        'tulippin_jobs': sum(len(one.jobs) for one in states),
        'tulippin_workers': sum(len(one.workers) for one in states),
        'tulippin_steps_ready': sum(
            len(one.ready) + len(one.ready_opportunistic) for one in states
        ),
        'tulippin_commits_waiting': sum(len(one.dirty_jobs) for one in states),
        'tulippin_bundle_number': max(
            (one.policy_number for one in states), default=0
        ),
    }


def _iter_gauges(values: t.Mapping[str, int]) -> t.Iterator[Metric]:
    for name, value in values.items():
        gauge = GaugeMetricFamily(name, name.replace('_', ' '))
        gauge.add_metric([], value)
        yield gauge


class SchedulerOperatorsApi:
    """ASGI application with the state of an instance, for operators.

    Parameters
    ----------
    shell : SchedulerShell
        The scheduler whose state is shown.
    recorder : ProcessRecorder
        Holds how the previous process of the instance ended.
    keys : mapping of str to str
        Operators' public keys.
    get_unready : callable
        Returns why the instance is not ready, or an empty string.
    connections : ConnectionTable
        Connections of the instance's clients.
    """

    def __init__(
        self,
        shell: SchedulerShell,
        recorder: ProcessRecorder,
        keys: t.Mapping[str, str],
        get_unready: t.Callable[[], str],
        connections: ConnectionTable,
    ) -> None:
        self._shell = shell
        self._get_unready_reason = get_unready
        self._recorder = recorder
        self._metrics = SchedulerMetrics(shell, recorder, connections)
        self._bundles = BundleStore(RowTable(shell.ports.store), keys)

    def _iter_states(self) -> t.Iterator[SchedulerState]:
        """Iterate over the states of the instance's units."""
        for unit in self._shell.units.values():
            yield unit.state

    def make_app(self) -> Starlette:
        """Return the application for the internal listener."""
        return make_app(
            [
                *BundleRoutes(self._bundles).make_routes(),
                Route('/v1/units', self._list_units),
                Route('/v1/lives', self._list_previous_process),
                Route('/v1/jobs', self._list_jobs),
                Route('/v1/jobs/{job_id}', self._show_job),
                Route('/v1/queues', self._show_queues),
                Route('/v1/workers', self._list_workers),
                Route('/v1/model', self._show_model),
                Route('/v1/dump', self._dump),
                Route('/metrics', self._get_metrics),
                *make_health_routes(self._get_unready_reason),
            ]
        )

    async def _list_units(self, _: Request) -> Response:
        rows = [views.show_unit(state) for state in self._iter_states()]
        return make_json({'units': rows})

    async def _list_previous_process(self, _: Request) -> Response:
        return make_json({'lives': self._show_previous_process()})

    def _show_previous_process(self) -> list[dict[str, t.Any]]:
        """Return the end of the previous process, once it has been read."""
        last = self._recorder.last
        return [] if last is None else [last.describe()]

    async def _list_jobs(self, request: Request) -> Response:
        wanted = request.query_params.get('state', '')
        jobs = [
            views.show_job(job)
            for state in self._iter_states()
            for job in state.jobs.values()
            if wanted in {'', job.state.value}
        ]
        return make_json({'jobs': jobs})

    async def _show_job(self, request: Request) -> Response:
        job_id = request.path_params['job_id']
        for state in self._iter_states():
            if job_id in state.jobs:
                return make_json(views.show_job(state.jobs[job_id]))
        raise NotFoundError(
            'this instance does not hold the job; ask an owner that'
            ' /v1/units names',
            code='unknown_job',
        )

    async def _show_queues(self, _: Request) -> Response:
        state = next(self._iter_states(), None)
        return make_json(views.show_queues(state) if state else {'queues': []})

    async def _list_workers(self, _: Request) -> Response:
        rows = [
            views.show_worker(worker, state)
            for state in self._iter_states()
            for worker in state.workers.values()
        ]
        return make_json({'workers': rows})

    async def _show_model(self, _: Request) -> Response:
        rows = [
            row
            for state in self._iter_states()
            for row in views.show_model(state)
        ]
        return make_json({'pairs': rows})

    async def _dump(self, _: Request) -> Response:
        return make_json(
            {
                'units': [views.dump(state) for state in self._iter_states()],
                'lives': self._show_previous_process(),
                'failures': failures.counts,
            }
        )

    async def _get_metrics(self, _: Request) -> Response:
        return Response(
            self._metrics.render(), media_type='text/plain; version=0.0.4'
        )
