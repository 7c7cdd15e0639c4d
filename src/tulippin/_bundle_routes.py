"""Operators' HTTP routes for bundles, shared by both daemons."""

from __future__ import annotations

import typing as t

import attrs
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tulippin._http_app import make_json, read_json
from tulippin.api_types import ProposalBody, SignatureBody
from tulippin.bundle_store import BundleStore
from tulippin.bundles import BUNDLE_LIMIT_BYTES, BundleRow, Signature
from tulippin.exceptions import InputError
from tulippin.logs import logger

_CREATED: t.Final = 201


@attrs.frozen
class BundleRoutes:
    """HTTP handlers on the store of bundles."""

    store: BundleStore

    def make_routes(self) -> list[Route]:
        """Return the routes that change and show bundles."""
        bundle_path = '/v1/bundles/{number:int}'
        return [
            Route('/v1/bundles', self._propose, methods=['POST']),
            Route('/v1/bundles', self._list_bundles, methods=['GET']),
            Route(bundle_path, self._show_bundle, methods=['GET']),
            Route(
                f'{bundle_path}/{{action}}',
                self._change_bundle,
                methods=['POST'],
            ),
        ]

    async def _propose(self, request: Request) -> Response:
        body = await read_json(request, ProposalBody, BUNDLE_LIMIT_BYTES * 2)
        signature = Signature(body.operator, body.signature)
        row = await self.store.propose(body.text, signature)
        return self._reply(row, 'proposed', _CREATED)

    async def _change_bundle(self, request: Request) -> Response:
        store = self.store
        actions: dict[str, t.Any] = {
            'approve': store.approve,
            'roll': store.roll,
            'retire': store.retire,
        }
        action = request.path_params['action']
        if action not in actions:
            known = ', '.join(actions)
            raise InputError(f'unknown action {action!r}; one of: {known}')
        body = await read_json(request, SignatureBody, BUNDLE_LIMIT_BYTES)
        signature = Signature(body.operator, body.signature)
        row = await actions[action](request.path_params['number'], signature)
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
        rows = await self.store.list_bundles()
        return make_json({'bundles': rows})

    async def _show_bundle(self, request: Request) -> Response:
        number = request.path_params['number']
        row, _ = await self.store.get(number)
        return make_json(row)
