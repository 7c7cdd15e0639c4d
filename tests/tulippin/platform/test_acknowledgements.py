"""Acknowledgements of ends reach the process that reported them, or none."""

import attrs
import msgspec
import pytest
import trio

from tulippin._http_client import HttpAnswer
from tulippin.exceptions import AnswerLostError
from tulippin.jobs.types import ANY_INCARNATION, ExpectedIncarnation
from tulippin.platform.wire import HoldBody, WorkerAnswerBody
from tulippin.platform.workers import PlatformWorkers

LAST_SEEN = 14
KNOWN = ExpectedIncarnation(7, 900)


@attrs.define
class Worker:
    """A worker's agent; ``is_connected`` tells of a confirmed connection."""

    is_connected: bool = False
    is_silent: bool = False
    born_ms: int = 7
    acknowledged: list = attrs.field(factory=list)

    async def send(
        self,
        method,
        url,
        body=b'',
        headers=None,
        extra_wait_ms=0,
        check=None,
    ):
        await trio.lowlevel.checkpoint()
        if check is not None and not self.is_connected:
            answer = self.answer(check.question)
            check.confirm(answer.status, answer.body)
        return self.answer(body)

    def answer(self, body):
        self.acknowledged.append(
            msgspec.json.decode(body, type=HoldBody).last_seen
        )
        if self.is_silent:
            raise AnswerLostError('silent')
        report = WorkerAnswerBody(1000, born_ms=self.born_ms)
        return HttpAnswer(200, {}, msgspec.json.encode(report))


def hold(worker, incarnation=KNOWN):
    agents = PlatformWorkers(lambda: worker)
    return trio.run(
        agents.hold, 'w0', 'a:80', 1, LAST_SEEN, None, 0, incarnation
    )


def test_ends_are_acknowledged_on_an_open_connection():
    worker = Worker(is_connected=True)
    hold(worker)
    assert worker.acknowledged == [LAST_SEEN]


def test_new_connection_acknowledges_nothing_before_a_report():
    """It may lead to a worker that has started again under its id."""
    worker = Worker()
    assert hold(worker).born_ms == 7
    assert worker.acknowledged == [0, LAST_SEEN]


def test_new_connection_to_another_incarnation_acknowledges_nothing():
    worker = Worker(born_ms=8)
    assert hold(worker).born_ms == 8
    assert worker.acknowledged == [0]


def test_incarnation_that_is_not_known_gets_no_acknowledgement():
    worker = Worker(is_connected=True)
    assert hold(worker, ANY_INCARNATION).born_ms == 7
    assert worker.acknowledged == [0]


def test_unanswered_acknowledgement_is_not_sent_again():
    worker = Worker(is_connected=True, is_silent=True)
    with pytest.raises(AnswerLostError):
        hold(worker)
    assert worker.acknowledged == [LAST_SEEN]
