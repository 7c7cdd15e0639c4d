"""Which connections give way; without a network."""

import resource

import attrs
import logbook

from tulippin._client_connections import (
    ClientConnection,
    Closing,
    ConnectionTable,
    Phase,
)
from tulippin.client_limits import ClientLimits


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


def test_clients_leave_half_of_the_descriptors():
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = ClientLimits(connections=10 * soft_limit)
    assert limits.count_usable_connections() == soft_limit // 2
    assert ClientLimits(connections=1).count_usable_connections() == 1


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
