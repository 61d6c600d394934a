"""Pool connections to upstreams and exchange requests on them."""

import socket
from collections import deque
from dataclasses import dataclass
from typing import Any

from gevent import socket as gevent_socket

from bilberry_balance.outcomes import FailurePoint
from bilberry_core.address import split_address
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND

from ..forward.const import RECV_BYTES
from ..forward.response_parser import ResponseParser
from .const import (
    CONNECT_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS,
    IDLE_MARGIN_MS,
    MAX_ANSWER_BYTES,
    NON_IDEMPOTENT_IDLE_FRACTION,
    TCP_USER_TIMEOUT_MS,
)

HEADER_KEEP_ALIVE = "keep-alive"
KEEP_ALIVE_TIMEOUT_PARAMETER = "timeout"
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2


class PooledConnection:
    """Represent one connection to an upstream."""

    __slots__ = ("idle_limit_ms", "idle_since_ms", "sock")

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.idle_since_ms = 0
        self.idle_limit_ms = DEFAULT_IDLE_TIMEOUT_MS

    def is_idle(self) -> bool:
        """Return whether it is open and no data has arrived."""
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def shut_down(self) -> None:
        """Shut the socket down, which wakes its reader; safe in the hub."""
        try:
            self.sock._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection, which cancels a request on it."""
        self.sock.close()


@dataclass(slots=True)
class Attempt:
    """Represent one attempt to send a request; times in monotonic ms."""

    method: str
    data: bytes
    request_id: str
    deadline_ms: int
    idempotent: bool
    cancelled: bool = False
    sent: bool = False
    connection: PooledConnection | None = None

    def cancel(self) -> None:
        """Cancel the attempt; safe in the hub."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.shut_down()


@dataclass(slots=True)
class ExchangeOutcome:
    """Represent a complete answer, or the point of failure."""

    point: FailurePoint | None
    parser: ResponseParser | None = None
    body: bytes = b""
    reason: str = ""


class ConnectionPool:
    """Manage the connections from this node to upstreams."""

    __slots__ = ("clock", "id_header", "idle")

    def __init__(self, id_header: str, clock: Clock) -> None:
        self.id_header = id_header.lower()
        self.clock = clock
        self.idle: dict[str, deque[PooledConnection]] = {}

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()

    def exchange(self, address: str, attempt: Attempt) -> ExchangeOutcome:
        """Send the request to `address` and return the outcome."""
        connection = self._take_idle(address, attempt.idempotent)
        if connection is None:
            connected = self._connect(address, attempt)
            if isinstance(connected, ExchangeOutcome):
                return connected
            connection = connected
        attempt.connection = connection
        try:
            outcome = self._send(connection, attempt)
        finally:
            attempt.connection = None
        parser = outcome.parser
        if outcome.point is None and parser is not None and parser.is_reusable:
            self._keep_idle(address, connection, parser)
        else:
            connection.close()
        return outcome

    def _send(self, connection: PooledConnection, attempt: Attempt) -> ExchangeOutcome:
        parser = ResponseParser(
            attempt.method,
            self.id_header,
            attempt.request_id,
            ends_with_connection=True,
        )
        if attempt.cancelled:
            return ExchangeOutcome(FailurePoint.CALLER_GONE_BEFORE_SEND)
        remaining_ms = attempt.deadline_ms - self.clock.now_ms()
        if remaining_ms <= 0:
            return ExchangeOutcome(FailurePoint.DEADLINE_IN_QUEUE)
        connection.sock.settimeout(remaining_ms / MS_PER_SECOND)
        attempt.sent = True
        try:
            connection.sock.sendall(attempt.data)
        except OSError as error:
            # The upstream may have answered early, before the whole body.
            if isinstance(error, TimeoutError):
                return ExchangeOutcome(FailurePoint.DEADLINE_AFTER_SEND, parser)
            return self._receive(connection, attempt, parser, fully_sent=False)
        return self._receive(connection, attempt, parser, fully_sent=True)

    def _receive(
        self,
        connection: PooledConnection,
        attempt: Attempt,
        parser: ResponseParser,
        fully_sent: bool,
    ) -> ExchangeOutcome:
        received = 0
        while not parser.is_complete:
            remaining_ms = attempt.deadline_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                return ExchangeOutcome(FailurePoint.DEADLINE_AFTER_SEND, parser)
            connection.sock.settimeout(remaining_ms / MS_PER_SECOND)
            try:
                data = connection.sock.recv(RECV_BYTES)
            except TimeoutError:
                continue
            except OSError as error:
                return self._connection_lost(attempt, parser, str(error))
            if not data:
                parser.feed_eof()
                if parser.is_complete and not attempt.cancelled:
                    break
                return self._connection_lost(attempt, parser, "closed")
            received += len(data)
            parser.feed(data)
            if parser.error or received > MAX_ANSWER_BYTES:
                reason = parser.error or "the answer is too large"
                return ExchangeOutcome(
                    FailurePoint.MALFORMED_ANSWER, parser, reason=reason
                )
        if not fully_sent:
            parser.allows_keep_alive = False
        return ExchangeOutcome(None, parser, parser.pop_body())

    def _connection_lost(
        self, attempt: Attempt, parser: ResponseParser, reason: str
    ) -> ExchangeOutcome:
        if attempt.cancelled:
            return ExchangeOutcome(FailurePoint.CALLER_GONE, parser)
        point = FailurePoint.AWAITING_ANSWER
        if parser.has_started:
            point = FailurePoint.MID_ANSWER
        return ExchangeOutcome(point, parser, reason=reason)

    def _take_idle(self, address: str, idempotent: bool) -> PooledConnection | None:
        connections = self.idle.get(address)
        now_ms = self.clock.now_ms()
        while connections:
            connection = connections.pop()
            limit_ms: float = connection.idle_limit_ms
            if not idempotent:
                limit_ms *= NON_IDEMPOTENT_IDLE_FRACTION
            if now_ms - connection.idle_since_ms < limit_ms and connection.is_idle():
                return connection
            connection.close()
        return None

    def _keep_idle(
        self, address: str, connection: PooledConnection, parser: ResponseParser
    ) -> None:
        connection.idle_since_ms = self.clock.now_ms()
        connection.idle_limit_ms = _idle_limit_ms(parser.first(HEADER_KEEP_ALIVE))
        self.idle.setdefault(address, deque()).append(connection)

    def _connect(
        self, address: str, attempt: Attempt
    ) -> PooledConnection | ExchangeOutcome:
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        remaining_ms = attempt.deadline_ms - self.clock.now_ms()
        sock.settimeout(max(1, min(remaining_ms, CONNECT_TIMEOUT_MS)) / MS_PER_SECOND)
        try:
            sock.connect(split_address(address))
            _set_socket_options(sock)
        except OSError as error:
            sock.close()
            return ExchangeOutcome(FailurePoint.DURING_CONNECT, reason=str(error))
        return PooledConnection(sock)


def _set_socket_options(sock: Any) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)


def _idle_limit_ms(header: str | None) -> int:
    """Return how long a connection may be idle and still be reused."""
    for part in (header or "").split(","):
        name, _, value = part.strip().partition("=")
        if name == KEEP_ALIVE_TIMEOUT_PARAMETER and value.isdigit():
            return max(0, int(value) * MS_PER_SECOND - IDLE_MARGIN_MS)
    return DEFAULT_IDLE_TIMEOUT_MS
