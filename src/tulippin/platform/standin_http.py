"""HTTP servers for the in-memory stand-in, with the platform's protocol."""

from __future__ import annotations

import base64
import contextlib
import socket
import typing as t

import attrs
import msgspec
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tulippin._http_server import HttpServer
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    HistoryLostError,
    RowCondition,
    RowWrite,
    StoredRow,
    Transaction,
    WriteRefusedError,
)
from tulippin.platform import standin_agent
from tulippin.platform.standin import StandinPlatform, StandinWorker
from tulippin.platform.wire import (
    WORKER_HEADER,
    RowBody,
    RowsBody,
    TransactionBody,
)

_ANY_ADDRESS: t.Final = '127.0.0.1:0'
_LISTEN_RETRY_S: t.Final = 0.01
_ALL_CLIENTS: t.Final = '*'


def _respond(body: msgspec.Struct, status: int = 200) -> Response:
    return Response(msgspec.json.encode(body), status)


def _encode_row(row: StoredRow) -> RowBody:
    value = base64.b64encode(row.value or b'').decode()
    return RowBody(
        row.table, row.part, row.key, value, row.version, row.value is None
    )


def _encode_rows(rows: t.Iterable[StoredRow], version: int) -> RowsBody:
    return RowsBody(tuple(_encode_row(row) for row in rows), False, version)


@attrs.frozen
class StoreApi:
    """HTTP API of the store; all requests count as one client's."""

    platform: StandinPlatform

    def make_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/v1/rows-tx', self._transact, methods=['POST']),
                Route('/v1/rows-get', self._read_rows),
                Route('/v1/rows-feed', self._follow),
            ]
        )

    async def _transact(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=TransactionBody)
        entries = (*body.expected, *body.put, *body.remove)
        transaction = Transaction(
            entries[0]['part'],
            tuple(
                RowCondition(one['table'], one['Key'], one['ver'])
                for one in body.expected
            ),
            (
                *(
                    RowWrite(
                        one['table'],
                        one['Key'],
                        base64.b64decode(one['Value']),
                    )
                    for one in body.put
                ),
                *(
                    RowWrite(one['table'], one['Key'], None)
                    for one in body.remove
                ),
            ),
        )
        try:
            result = self.platform.store.apply(transaction)
        except WriteRefusedError:
            return Response(status_code=400)
        status = 200 if result.is_done else 412
        return _respond(_encode_rows(result.rows, result.version), status)

    async def _read_rows(self, request: Request) -> Response:
        query = request.query_params
        view = self.platform.store.get_view('http')
        page = await view.read_rows(
            query['table'],
            query['part'],
            query.get('From', ''),
            query.get('TargetVersion', ''),
        )
        return _respond(_encode_rows(page.rows, page.version))

    async def _follow(self, request: Request) -> Response:
        query = request.query_params
        view = self.platform.store.get_view('http')
        try:
            page = await view.follow(
                query['table'],
                int(query['AfterRevision']),
                int(query['WaitMs']),
            )
        except HistoryLostError:
            return Response(status_code=410)
        return _respond(_encode_rows(page.rows, page.version))


@attrs.frozen
class WorkerApi:
    """HTTP API of one worker's agent.

    A connection leads to the incarnation that was up when it was opened. Calls
    to one that is out of reach get no answer.
    """

    platform: StandinPlatform
    worker_id: str
    # By the addresses of clients, which differ between connections.
    _acceptors: dict[tuple[str, int], StandinWorker] = attrs.field(factory=dict)

    def make_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/v1/{call}', self._answer, methods=['POST']),
            ]
        )

    async def _answer(self, request: Request) -> Response:
        body = await request.body()
        worker = await self._find_acceptor(tuple(request.client))
        if _is_cut_off(worker):
            return await _wait_for_disconnect(request)
        if not worker.is_up:
            raise AnswerLostError(f'{worker.address} has crashed')
        answer = await standin_agent.answer_call(
            worker,
            request.url.path,
            request.headers[WORKER_HEADER],
            body,
        )
        if _is_cut_off(worker):
            return await _wait_for_disconnect(request)
        return Response(answer.body, answer.status)

    async def _find_acceptor(self, client: tuple[str, int]) -> StandinWorker:
        """Return the incarnation that a client's connection leads to.

        The next one accepts connections that are opened while a worker is down
        and tells nobody of it.
        """
        while client not in self._acceptors:
            worker = self.platform.workers[self.worker_id]
            if worker.is_up or not _is_cut_off(worker):
                self._acceptors[client] = worker
            else:
                await trio.sleep(_LISTEN_RETRY_S)
        return self._acceptors[client]


def _is_cut_off(worker: StandinWorker) -> bool:
    return _ALL_CLIENTS in worker.unreachable_clients


async def _wait_for_disconnect(request: Request) -> Response:
    """Leave a call without an answer until its client gives up."""
    await request.receive()
    return Response()


class StandinServers:
    """Serves the store and workers on loopback; an async context manager.

    Parameters
    ----------
    worker_count : int
        Number of workers, each with a port of its own.
    """

    def __init__(self, worker_count: int = 2) -> None:
        self.platform = StandinPlatform()
        self.store_address = ''
        self._worker_count = worker_count
        self._stack = contextlib.AsyncExitStack()
        self._nursery: trio.Nursery | None = None
        self._worker_scopes: dict[str, trio.CancelScope] = {}
        self._restarts: dict[str, trio.Lock] = {}

    async def __aenter__(self) -> t.Self:
        """Start all servers."""
        self._nursery = await self._stack.enter_async_context(
            trio.open_nursery()
        )
        self.store_address = await self._serve(
            StoreApi(self.platform).make_app()
        )
        for number in range(self._worker_count):
            worker = self.platform.add_worker(
                f'w{number}', address=self._reserve_address()
            )
            self._restarts[worker.worker_id] = trio.Lock()
            await self._serve_worker(worker)
        self._nursery.start_soon(self.platform.serve)
        return self

    async def __aexit__(self, *details: t.Any) -> None:
        """Stop all servers."""
        self._nursery.cancel_scope.cancel()
        await self._stack.__aexit__(*details)

    async def restart_worker(self, worker_id: str, down_s: float) -> None:
        """Crash a worker, and start it again under its id and address.

        Its connections break, and new ones are refused until it is up again.
        A restart that comes during another one of the worker follows it.
        """
        async with self._restarts[worker_id]:
            self.platform.workers[worker_id].crash()
            self._worker_scopes[worker_id].cancel()
            await trio.sleep(down_s)
            await self._serve_worker(self.platform.restart(worker_id))

    async def restart_silently(self, worker_id: str, down_s: float) -> None:
        """Crash a worker's machine, and start it again.

        Nothing breaks its connections, which stay without an answer.
        """
        async with self._restarts[worker_id]:
            worker = self.platform.workers[worker_id]
            worker.unreachable_clients.add(_ALL_CLIENTS)
            worker.crash()
            await trio.sleep(down_s)
            self.platform.restart(worker_id)

    async def cut_off(self, worker_id: str, lasting_s: float) -> None:
        """Leave all calls to a worker without an answer for some time.

        Its connections stay open and its runs go on until its lease lapses. If
        it starts again meanwhile, it is in reach.
        """
        worker = self.platform.workers[worker_id]
        worker.unreachable_clients.add(_ALL_CLIENTS)
        await trio.sleep(lasting_s)
        if worker.is_up:
            worker.unreachable_clients.discard(_ALL_CLIENTS)

    def _reserve_address(self) -> str:
        """Return an address that stays reserved while nothing serves there.

        The system gives its port to no other socket, such as a client's.
        """
        holder = self._stack.enter_context(socket.socket())
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{holder.getsockname()[1]}'

    async def _serve_worker(self, worker: StandinWorker) -> None:
        scope = self._worker_scopes[worker.worker_id] = trio.CancelScope()
        app = WorkerApi(self.platform, worker.worker_id).make_app()
        # A process that is being started holds a copy of the worker's earlier
        # listener until it runs its program.
        while True:
            with contextlib.suppress(UnavailableError):
                await self._serve(app, worker.address, scope)
                return
            await trio.sleep(_LISTEN_RETRY_S)

    async def _serve(
        self,
        app: Starlette,
        address: str = _ANY_ADDRESS,
        scope: trio.CancelScope | None = None,
    ) -> str:
        server = self._stack.enter_context(HttpServer(app, address))
        await self._nursery.start(
            _serve_in_scope, server, scope or trio.CancelScope()
        )
        return f'127.0.0.1:{server.port}'


async def _serve_in_scope(
    server: HttpServer,
    scope: trio.CancelScope,
    task_status: t.Any = trio.TASK_STATUS_IGNORED,
) -> None:
    with scope:
        await server.serve(task_status=task_status)
