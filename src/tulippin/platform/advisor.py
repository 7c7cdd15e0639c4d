"""Client of the platform's advice service: which workers may run a step."""

from __future__ import annotations

import typing as t

import attrs
import msgspec
import trio

from tulippin._http_client import HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import Advice
from tulippin.platform.wire import AdviceBody, AdviceRequestBody

_OK: t.Final = 200
# Advice with a longer validity is requested again after this time: a ticket
# that a worker rejects stays in use until it expires.
_MAX_VALID_MS: t.Final = 600_000

_decoder = msgspec.json.Decoder(AdviceBody)


@attrs.define
class PlatformAdvisor:
    """Client of the advice service; sends one request at a time."""

    address: str
    client: HttpClient
    _lock: trio.Lock = attrs.field(factory=trio.Lock)

    async def ask(
        self, step: tuple[str, int, int], worker_ids: t.Sequence[str]
    ) -> Advice:
        """Return tickets for those of the workers that may run the step.

        Raises
        ------
        UnavailableError
            If the service gives no advice.
        AnswerLostError
            If its response is lost or can't be decoded.
        """
        job_id, occurrence, number = step
        body = AdviceRequestBody(f'{job_id}.{occurrence}.{number}', worker_ids)
        async with self._lock:
            answer = await self.client.send(
                'POST',
                f'http://{self.address}/v1/advise',
                msgspec.json.encode(body),
            )
        if answer.status != _OK:
            raise UnavailableError(
                f'advice request failed with status {answer.status}'
            )
        try:
            decoded = _decoder.decode(answer.body)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise AnswerLostError(
                f'invalid advice response: {error}'
            ) from error
        valid_ms = min(decoded.valid_ms, _MAX_VALID_MS)
        return Advice(dict(decoded.good), valid_ms)
