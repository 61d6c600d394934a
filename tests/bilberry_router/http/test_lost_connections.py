"""A connection that the kernel gives up never passes for one that closed."""

import errno

import pytest

from bilberry_balance.deadline import Deadline
from bilberry_balance.outcomes import FailurePoint
from bilberry_core.clock import ManualClock
from bilberry_router.entry.attempt import Attempt
from bilberry_router.entry.connections import ConnectionPool, PooledConnection
from bilberry_router.forward.exchange import Exchange
from bilberry_router.forward.transport import UpstreamConnection
from bilberry_router.http.connection import Connection, ConnectionLostError
from bilberry_router.http.receive import ReadTimeoutError

ADDRESS = "127.0.0.1:9"
ID_HEADER = "X-Id"
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
OWN_TIMEOUT = TimeoutError("timed out")
END = b""


def broken(number):
    return OSError(number, errno.errorcode[number])


class ScriptedSocket:
    """Return or raise what a test says, one after the other."""

    def __init__(self, received, send_error=None):
        self.received = list(received)
        self.send_error = send_error
        self.is_closed = False
        self._sock = self

    def settimeout(self, timeout_s):
        pass

    def close(self):
        self.is_closed = True

    def send(self, data):
        self.sendall(data)
        return len(data)

    def sendall(self, data):
        if self.send_error is not None:
            raise self.send_error

    def recv(self, size, flags=0):
        if flags:
            raise BlockingIOError
        result = self.received.pop(0)
        if isinstance(result, OSError):
            raise result
        return result


def exchange(received, send_error=None):
    """Return the outcome of a request on a kept connection."""
    pool = ConnectionPool(ID_HEADER, ManualClock())
    kept = PooledConnection(ADDRESS)
    kept.sock.close()
    kept.sock = ScriptedSocket(received, send_error)
    kept.idle_since_ms = pool.clock.now_ms()
    pool.idle.setdefault(ADDRESS, []).append(kept)
    attempt = Attempt("GET", b"request", "r1", pool.clock.now_ms() + 4_000, True)
    outcome = pool.exchange(ADDRESS, attempt)
    assert kept.sock.is_closed
    return outcome


@pytest.mark.parametrize(
    "lost", [errno.ETIMEDOUT, errno.ECONNRESET, errno.EHOSTUNREACH]
)
def test_half_an_answer_without_a_length_is_not_whole_when_its_upstream_is_lost(lost):
    """Guard against a part of a body that passes as a whole answer."""
    outcome = exchange([HEAD + b"\r\nhalf", broken(lost), END])
    assert outcome.point is FailurePoint.MID_ANSWER
    assert outcome.body == b""


@pytest.mark.parametrize("lost", [errno.ETIMEDOUT, errno.ECONNRESET, errno.EPIPE])
def test_half_an_answer_is_not_whole_when_the_request_could_not_be_sent(lost):
    """Guard against a loss that only the send tells of, before the half."""
    outcome = exchange([HEAD + b"\r\nhalf", END], send_error=broken(lost))
    assert outcome.point is FailurePoint.MID_ANSWER


def test_an_upstream_lost_during_the_send_is_no_deadline():
    """Guard against a 504 where another upstream may still be tried."""
    outcome = exchange([END], send_error=broken(errno.ETIMEDOUT))
    assert outcome.point is FailurePoint.AWAITING_ANSWER


def test_a_send_that_lasts_until_the_deadline_is_one():
    outcome = exchange([], send_error=OWN_TIMEOUT)
    assert outcome.point is FailurePoint.DEADLINE_AFTER_SEND


def test_an_answer_without_a_length_is_whole_when_its_connection_closes():
    outcome = exchange([HEAD + b"\r\nhalf", OWN_TIMEOUT, b" and half", END])
    assert outcome.point is None
    assert outcome.body == b"half and half"


def test_a_whole_answer_counts_though_its_request_could_not_be_sent():
    answer = HEAD + b"Content-Length: 4\r\n\r\nfull"
    outcome = exchange([answer], send_error=broken(errno.ECONNRESET))
    assert outcome.point is None
    assert outcome.body == b"full"


class OpenEndedRequest:
    """Stand for a forwarded request of which all is sent."""

    def __init__(self, clock):
        self.method = "GET"
        self.deadline = Deadline(clock.now_ms() + 4_000)
        self.caller_gone = False


def receive_once(result):
    """Return the point of failure after one read of a started answer."""
    clock = ManualClock()
    connection = UpstreamConnection(ADDRESS)
    connection.sock.close()
    connection.sock = ScriptedSocket([result])
    started = Exchange(connection, OpenEndedRequest(clock), clock)
    started.parser.feed(HEAD + b"Content-Length: 9\r\n\r\nhalf")
    return started.receive()


def test_a_forwarded_answer_ends_at_once_when_its_upstream_is_lost():
    """Guard against a lost upstream that is taken for a slow one."""
    assert receive_once(broken(errno.ETIMEDOUT)) is FailurePoint.MID_ANSWER
    assert receive_once(OWN_TIMEOUT) is None


def test_a_lost_caller_is_not_a_slow_one():
    """Guard against requests that go on for a caller that is lost."""
    lost = Connection(ScriptedSocket([broken(errno.ETIMEDOUT)]), ManualClock())
    with pytest.raises(ConnectionLostError):
        lost.fill(1_000)
    slow = Connection(ScriptedSocket([OWN_TIMEOUT]), ManualClock())
    with pytest.raises(ReadTimeoutError):
        slow.fill(1_000)
