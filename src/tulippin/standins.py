"""A stand-in platform and its workers over HTTP on loopback.

Tests of daemons and the demo use them. ``python -m tulippin.standins``
serves a platform and its workers, and prints the platform's URL.
"""

from __future__ import annotations

import contextlib
import sys
import typing as t

import attrs
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from tulippin import codec
from tulippin._fake_platform import FakeDirectory, FakeObjects, FakeTable
from tulippin._fake_worker import FakeWorker
from tulippin._http_app import make_json
from tulippin._http_server import HttpServer
from tulippin.exceptions import (
    AnswerLostError,
    FencedError,
    UnavailableError,
)
from tulippin.history import History
from tulippin.messages import ServiceRequest
from tulippin.platform_http import CommitBody, KeyBody, VersionBody
from tulippin.types import OutcomeKind, Resources, WorkerInfo, WorkerStanding
from tulippin.worker_types import WorkerSync
from tulippin.workers_http import (
    EPOCH_HEADER,
    LEAVING_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
)

_SETTINGS: t.Final = """\
[instance]
id = instance-{number}
failure_domain = domain-{number}

[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0

[platform]
url = {url}

[operators]
{operators}
"""
_UNAVAILABLE: t.Final = 503
_ANSWER_LOST: t.Final = 500
_NOT_FOUND: t.Final = 404
_CONFLICT: t.Final = 409
_ANY_PORT: t.Final = '127.0.0.1:0'
_MS_PER_S: t.Final = 1000


def render_settings(
    number: int,
    url: str,
    operators: t.Mapping[str, str] | None = None,
    more: str = '',
) -> str:
    """Return the settings of a daemon that listens on free loopback ports.

    Parameters
    ----------
    number : int
        Number of the instance and of its failure domain.
    url : str
        URL of the stand-in platform.
    operators : mapping of str to str, optional
        Public keys by operator name.
    more : str
        Sections to append.
    """
    keys = [f'{name} = {key}' for name, key in (operators or {}).items()]
    text = _SETTINGS.format(number=number, url=url, operators='\n'.join(keys))
    return f'{text}\n{more}'


class PlatformApp:
    """An HTTP application of the table, objects and instance list."""

    def __init__(
        self,
        table: FakeTable,
        objects: FakeObjects,
        directory: FakeDirectory,
    ) -> None:
        self._table = table
        self._objects = objects
        self._directory = directory

    def make_app(self) -> Starlette:
        """Return the application."""
        path = '/objects/{key:path}'
        return Starlette(
            routes=[
                Route('/table/get', self._get, methods=['POST']),
                Route('/table/scan', self._scan, methods=['POST']),
                Route('/table/commit', self._commit, methods=['POST']),
                Route(path, self._object, methods=['GET', 'PUT', 'DELETE']),
                Route('/instances', self._list, methods=['GET']),
                Route('/faults', self._set_faults, methods=['POST']),
            ],
            exception_handlers={
                AnswerLostError: _answer_lost,
                UnavailableError: _answer_unavailable,
            },
        )

    async def _get(self, request: Request) -> Response:
        body = codec.decode(await request.body(), KeyBody)
        row = await self._table.get(body.key)
        return make_json(row, _NOT_FOUND if row is None else 200)

    async def _scan(self, request: Request) -> Response:
        body = codec.decode(await request.body(), KeyBody)
        return make_json(await self._table.scan(body.key))

    async def _commit(self, request: Request) -> Response:
        body = codec.decode(await request.body(), CommitBody)
        version = await self._table.commit(body.conditions, body.writes)
        return make_json(VersionBody(version))

    async def _object(self, request: Request) -> Response:
        key = request.path_params['key']
        if request.method == 'PUT':
            await self._objects.put(key, await request.body())
        elif request.method == 'DELETE':
            await self._objects.delete(key)
        else:
            content = await self._objects.get(key)
            status = _NOT_FOUND if content is None else 200
            return Response(content or b'', status)
        return Response(b'')

    async def _list(self, _: Request) -> Response:
        return make_json(await self._directory.list_instances())

    async def _set_faults(self, request: Request) -> Response:
        """Set the named fields of ``StoreFaults`` on both stores."""
        changes = codec.decode(await request.body(), dict)
        for store in (self._table, self._objects):
            for name, value in changes.items():
                setattr(store.faults, name, value)
        return JSONResponse(changes)


async def _answer_lost(_: Request, error: Exception) -> Response:
    return JSONResponse({'message': str(error)}, _ANSWER_LOST)


async def _answer_unavailable(_: Request, error: Exception) -> Response:
    return JSONResponse({'message': str(error)}, _UNAVAILABLE)


class WorkerApp:
    """An HTTP application of a worker's agent and its services."""

    def __init__(self, worker: FakeWorker) -> None:
        self._worker = worker

    def make_app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route('/sync', self._sync, methods=['POST']),
                Route('/services/{service}', self._call, methods=['POST']),
            ],
        )

    async def _sync(self, request: Request) -> Response:
        message = codec.decode(await request.body(), WorkerSync)
        try:
            return make_json(self._worker.sync(message))
        except FencedError as error:
            return JSONResponse({'message': str(error)}, _CONFLICT)
        except UnavailableError as error:
            return JSONResponse({'message': str(error)}, _UNAVAILABLE)

    async def _call(self, request: Request) -> Response:
        request_id = request.headers[REQUEST_ID_HEADER]
        body = (await request.body()).decode()
        call = ServiceRequest(
            request_id, '', request.path_params['service'], False, body, 0
        )
        epoch = int(request.headers[EPOCH_HEADER])
        headers = {REQUEST_ID_HEADER: request_id}
        try:
            reply = await self._worker.call(call, epoch)
        except UnavailableError as error:
            return JSONResponse({'message': str(error)}, _UNAVAILABLE)
        if reply.leaving:
            headers[LEAVING_HEADER] = 'yes'
        outcome = reply.outcome
        if outcome.kind is OutcomeKind.NOT_RUN:
            headers[NOT_RUN_HEADER] = outcome.code
            return Response(b'', _UNAVAILABLE, headers)
        headers[REQUEST_ID_HEADER] = reply.request_id
        return Response(outcome.body.encode(), outcome.status, headers)


@attrs.frozen
class StandinSize:
    """Number and size of the workers, and their service time."""

    cell_count: int = 3
    workers_per_cell: int = 3
    capacity: Resources = Resources(16000, 65536)
    slot_count: int = 8
    service_ms: float = 5.0


class Standins:
    """Serves a platform and workers; an async context manager.

    Parameters
    ----------
    size : StandinSize
        Number and size of the workers.
    address : str
        Host and port that the platform listens on.
    """

    def __init__(
        self, size: StandinSize | None = None, address: str = _ANY_PORT
    ) -> None:
        self.size = size or StandinSize()
        self.history = History(self._get_now_ms)
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.directory = FakeDirectory(lag_s=0.5)
        self.workers: dict[str, FakeWorker] = {}
        self.url = ''
        self._address = address
        self._stack = contextlib.AsyncExitStack()

    @staticmethod
    def _get_now_ms() -> int:
        return int(trio.current_time() * _MS_PER_S)

    async def __aenter__(self) -> t.Self:
        """Start all HTTP servers."""
        await self._stack.__aenter__()
        nursery = await self._stack.enter_async_context(trio.open_nursery())
        self._stack.callback(nursery.cancel_scope.cancel)
        app = PlatformApp(self.table, self.objects, self.directory)
        server = await self._serve(nursery, app.make_app(), self._address)
        self.url = f'http://127.0.0.1:{server.port}'
        for cell in range(self.size.cell_count):
            for number in range(self.size.workers_per_cell):
                await self._add_worker(nursery, cell, number)
        self.directory.publish()
        return self

    async def __aexit__(self, *details: t.Any) -> None:
        """Stop all HTTP servers."""
        await self._stack.__aexit__(*details)

    async def _serve(
        self, nursery: trio.Nursery, app: Starlette, address: str = _ANY_PORT
    ) -> HttpServer:
        server = self._stack.enter_context(HttpServer(app, address))
        await nursery.start(server.serve)
        return server

    async def _add_worker(
        self, nursery: trio.Nursery, cell: int, number: int
    ) -> None:
        worker_id = f'worker-{cell}-{number}'
        info = WorkerInfo(
            worker_id,
            '',
            f'cell-{cell}',
            f'domain-{cell % 3}',
            self.size.capacity,
            self.size.slot_count,
            standing=WorkerStanding.LIVE,
        )
        worker = FakeWorker(
            info, self.history.note, service_ms=self.size.service_ms
        )
        server = await self._serve(nursery, WorkerApp(worker).make_app())
        worker.info = attrs.evolve(info, address=f'127.0.0.1:{server.port}')
        self.workers[worker_id] = worker
        self.directory.workers[worker_id] = worker.info
        self.history.note(
            'worker',
            worker_id=worker_id,
            capacity=self.size.capacity,
            slot_count=self.size.slot_count,
        )


async def _serve_forever() -> None:
    async with Standins() as standins:
        print(standins.url, flush=True)
        await trio.sleep_forever()


if __name__ == '__main__':
    try:
        trio.run(_serve_forever)
    except KeyboardInterrupt:
        sys.exit(0)
