"""The platform's service that says which workers may run a step."""

from __future__ import annotations

import typing as t

import attrs
import msgspec
import trio

from tulippin._http_client import HttpClient
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import Advice
from tulippin.platform.wire import AdviceBody, QuestionBody

_OK: t.Final = 200
# What is told for longer is asked for again: a ticket that its worker refuses
# is used until its time is over.
_LONGEST_VALID_MS: t.Final = 600_000

_decoder = msgspec.json.Decoder(AdviceBody)


@attrs.define
class PlatformAdvisor:
    """The service at an address; one question at a time."""

    address: str
    client: HttpClient
    _turn: trio.Lock = attrs.field(factory=trio.Lock)

    async def ask(
        self, step: tuple[str, int, int], worker_ids: t.Sequence[str]
    ) -> Advice:
        """Ask about workers."""
        job_id, occurrence, number = step
        body = QuestionBody(f'{job_id}.{occurrence}.{number}', worker_ids)
        async with self._turn:
            answer = await self.client.send(
                'POST',
                f'http://{self.address}/v1/advise',
                msgspec.json.encode(body),
            )
        if answer.status != _OK:
            raise UnavailableError(f'no advice ({answer.status})')
        try:
            decoded = _decoder.decode(answer.body)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise AnswerLostError(f'unreadable advice: {error}') from error
        valid_ms = min(decoded.valid_ms, _LONGEST_VALID_MS)
        return Advice(dict(decoded.good), valid_ms)
