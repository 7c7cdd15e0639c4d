"""Statuses by which the store says that it did not execute a write."""

import attrs
import pytest
import trio

from tulippin._http_client import HttpAnswer
from tulippin.exceptions import AnswerLostError, UnavailableError
from tulippin.jobs.ports import (
    PartitionBehindError,
    Transaction,
    WriteRefusedError,
)
from tulippin.platform.store import PlatformStore

WRITE = Transaction('j0', (), ())


@attrs.define
class Client:
    """Answers every request with one status."""

    status: int
    waits_ms: list = attrs.field(factory=list)

    async def send(self, method, url, body=b'', *, extra_wait_ms=0):
        self.waits_ms.append(extra_wait_ms)
        return HttpAnswer(self.status, {}, b'{"ver":7,"rows":[]}')


@pytest.mark.parametrize(
    ('status', 'kind'),
    [
        (429, PartitionBehindError),
        (503, UnavailableError),
        (500, AnswerLostError),
        (400, WriteRefusedError),
        (413, WriteRefusedError),
    ],
)
def test_status_tells_whether_the_part_is_behind(status, kind):
    """Only 429 does; 400 and 413 refuse a write for its content.

    A write with any other status may have been executed.
    """
    store = PlatformStore('x:1', Client(status))
    with pytest.raises(UnavailableError) as caught:
        trio.run(store.transact, WRITE)
    assert type(caught.value) is kind


def test_longer_wait_for_an_answer_reaches_the_client():
    client = Client(500)
    with pytest.raises(AnswerLostError):
        trio.run(PlatformStore('x:1', client).transact, WRITE, 1500)
    assert client.waits_ms == [1500]
