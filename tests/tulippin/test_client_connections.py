"""Which connections give way; without a network."""

import attrs
import logbook

from tulippin._client_connections import (
    ClientConnection,
    Closing,
    ConnectionTable,
    Phase,
)
from tulippin.client_limits import ClientLimits

MB = 2**20
LARGEST_BYTES = MB


@attrs.define
class Crowd:
    """Connections of one table, and those that had to give way."""

    table: ConnectionTable
    closed: list = attrs.field(factory=list)

    def open(self, phase=Phase.IDLE):
        connection = ClientConnection(lambda: self.closed.append(connection))
        self.table.add(connection)
        connection.phase = phase
        return connection


def make_crowd(**limits):
    return Crowd(ConnectionTable(ClientLimits(**limits)))


def test_connection_without_progress_for_longest_gives_way():
    crowd = make_crowd(connections=2)
    first, second = crowd.open(), crowd.open()
    crowd.table.note_progress(first)
    crowd.open()
    assert crowd.closed == [second]
    assert crowd.table.closings == {Closing.TOO_MANY: 1}


def test_answered_request_gives_way_before_others():
    """Guards against refused clients that crowd out ordinary ones."""
    crowd = make_crowd(connections=2)
    crowd.open(Phase.RECEIVING)
    refused = crowd.open(Phase.SENDING)
    crowd.table.let_give_way_first(refused)
    crowd.open()
    assert crowd.closed == [refused]


def test_complete_request_does_not_give_way():
    """Guards against accepted work whose caller gets no answer."""
    crowd = make_crowd(connections=2)
    served = crowd.open(Phase.SERVING)
    sending = crowd.open(Phase.SENDING)
    crowd.open(Phase.SERVING)
    assert crowd.closed == [sending]
    assert not served.is_closing


def test_new_connection_gives_way_where_no_other_may():
    crowd = make_crowd(connections=1)
    crowd.open(Phase.SERVING)
    last = crowd.open()
    assert crowd.closed == [last]


def test_connection_gives_way_once():
    crowd = make_crowd(connections=1)
    first, second = crowd.open(), crowd.open()
    crowd.open()
    assert crowd.closed == [first, second]


def test_closings_are_logged_once_together():
    crowd = make_crowd(connections=1)
    for _ in range(3):
        crowd.open()
    with logbook.TestHandler() as handler:
        crowd.table.sweep()
        crowd.table.sweep()
    (record,) = handler.records
    assert record.message == 'connections closed'
    assert record.kwargs['reasons'] == {'too_many_connections': 2}


def test_stalled_request_gives_way_to_a_new_one():
    crowd = make_crowd(buffer_bytes=4 * MB)
    stalled = [crowd.open(Phase.RECEIVING) for _ in range(4)]
    for connection in stalled:
        crowd.table.hold(connection, MB, LARGEST_BYTES)
    crowd.table.note_progress(stalled[0])
    crowd.table.hold(crowd.open(Phase.RECEIVING), 1000, LARGEST_BYTES)
    assert crowd.closed == [stalled[1]]
    assert crowd.table.closings == {Closing.BUFFERS_FULL: 1}


def test_bytes_of_closed_connections_are_free():
    crowd = make_crowd(buffer_bytes=2 * MB)
    first, second = (crowd.open(Phase.RECEIVING) for _ in range(2))
    crowd.table.hold(first, 2 * MB, LARGEST_BYTES)
    crowd.table.hold(second, MB, LARGEST_BYTES)
    # A connection that is being closed counts as freed.
    crowd.table.hold(second, MB + 1, LARGEST_BYTES)
    assert crowd.closed == [first]
    crowd.table.remove(first)
    assert crowd.table.held_bytes == MB + 1


def test_request_of_the_largest_size_always_fits():
    crowd = make_crowd(buffer_bytes=1)
    crowd.table.hold(crowd.open(Phase.RECEIVING), LARGEST_BYTES, LARGEST_BYTES)
    assert crowd.closed == []


def test_stalled_connection_is_closed_after_its_time():
    crowd = make_crowd(stall_s=3)
    receiving = crowd.open(Phase.RECEIVING)
    sending = crowd.open(Phase.SENDING)
    idle, served = crowd.open(), crowd.open(Phase.SERVING)
    for _ in range(3):
        crowd.table.sweep()
    assert crowd.closed == []
    crowd.table.note_progress(sending)
    crowd.table.sweep()
    assert crowd.closed == [receiving]
    for _ in range(10):
        crowd.table.sweep()
    assert crowd.closed == [receiving, sending]
    assert not idle.is_closing
    assert not served.is_closing
