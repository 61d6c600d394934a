"""Connections to upstreams and their pools."""

import logging
import socket
from collections import deque
from dataclasses import dataclass
from enum import StrEnum, auto
from typing import Any

from gevent import socket as gevent_socket

from bilberry_core.address import split_address
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.outcome import Failure, Result, Success

from .const import (
    DEFAULT_DIAL_TIMEOUT_MS,
    DEFAULT_DISTRUST_MS,
    DEFAULT_FRESH_IDLE_MS,
    DEFAULT_IDLE_MS,
    DEFAULT_REST_MS,
)

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class DialError:
    """Reason why no connection could be made; nothing was sent."""

    reason: str


class Quiet(StrEnum):
    """State of an idle connection: open, closed or unread data."""

    SILENT = auto()
    CLOSED = auto()
    NOISY = auto()


class UpstreamConnection:
    """A connection to an upstream.

    `expects_id` is set for a reused connection to an upstream that sends
    the request id in its responses.
    """

    __slots__ = ("expects_id", "idle_since_ms", "sock")

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.idle_since_ms = 0
        self.expects_id = False

    def listen(self) -> Quiet:
        """Return whether the upstream has closed or sent data."""
        try:
            data = self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return Quiet.SILENT
        except OSError:
            return Quiet.CLOSED
        return Quiet.NOISY if data else Quiet.CLOSED

    def set_wait(self, wait_ms: int) -> None:
        """Set the timeout of further reads and writes."""
        self.sock.settimeout(max(wait_ms, 1) / MS_PER_SECOND)

    def cut(self) -> None:
        """Shut the socket down, which wakes the greenlets waiting on it.

        May be called from the gevent hub, as it does not block.
        """
        try:
            self.sock._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


class EndpointConnections:
    """Connection pool for one upstream address.

    A connection is in use by one request at a time and is released only
    after a complete response without excess bytes. It then stays unused for
    DEFAULT_REST_MS, so that unsolicited bytes after the response are seen
    before the next request. After such bytes, no connection to the upstream
    is reused for DEFAULT_DISTRUST_MS. `names_requests` is set once a
    response carried its request id.
    """

    __slots__ = (
        "address",
        "clock",
        "closed",
        "distrusted_until_ms",
        "idle",
        "lent",
        "limit",
        "names_requests",
    )

    def __init__(self, address: str, limit: int, clock: Clock) -> None:
        self.address = address
        self.limit = limit
        self.clock = clock
        self.idle: deque[UpstreamConnection] = deque()
        self.lent: set[UpstreamConnection] = set()
        self.closed = False
        self.distrusted_until_ms = 0
        self.names_requests = False

    def acquire(
        self, fresh: bool, wait_ms: int
    ) -> Result[UpstreamConnection, DialError]:
        """Return an idle connection or open a new one.

        With `fresh` only a recently used connection is reused, as the
        upstream may be about to close an older one.
        """
        connection = self._reuse(fresh)
        if connection is not None:
            connection.expects_id = self.names_requests
            self.lent.add(connection)
            return Success(connection)
        return self.acquire_new(wait_ms)

    def acquire_new(self, wait_ms: int) -> Result[UpstreamConnection, DialError]:
        """Open a new connection, closing idle ones if at the limit."""
        if len(self.lent) >= self.limit:
            return Failure(DialError("connection limit reached"))
        while len(self.lent) + len(self.idle) >= self.limit:
            self.idle.popleft().sock.close()
        return self._dial(wait_ms)

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after a complete response."""
        self.lent.discard(connection)
        now_ms = self.clock.now_ms()
        is_full = len(self.idle) + len(self.lent) >= self.limit
        if self.closed or is_full or now_ms < self.distrusted_until_ms:
            connection.sock.close()
            return
        connection.idle_since_ms = now_ms
        self.idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection, which also cancels its request."""
        self.lent.discard(connection)
        connection.sock.close()

    def distrust(self) -> None:
        """Reuse no connection for a while, after unsolicited bytes."""
        _LOGGER.warning("forward: Unsolicited bytes from %s.", self.address)
        self.distrusted_until_ms = self.clock.now_ms() + DEFAULT_DISTRUST_MS
        while self.idle:
            self.idle.popleft().sock.close()

    def close_idle(self, now_ms: int) -> None:
        """Close connections that were idle for too long."""
        while self.idle:
            if now_ms - self.idle[0].idle_since_ms < DEFAULT_IDLE_MS:
                return
            self.idle.popleft().sock.close()

    def close(self) -> None:
        """Close the idle connections now, the others on release."""
        self.closed = True
        while self.idle:
            self.idle.popleft().sock.close()

    def _reuse(self, fresh: bool) -> UpstreamConnection | None:
        while (connection := self._longest_rested(fresh)) is not None:
            self.idle.remove(connection)
            heard = connection.listen()
            if heard is Quiet.SILENT:
                return connection
            connection.sock.close()
            if heard is Quiet.NOISY:
                self.distrust()
        return None

    def _longest_rested(self, fresh: bool) -> UpstreamConnection | None:
        now_ms = self.clock.now_ms()
        limit_ms = DEFAULT_FRESH_IDLE_MS if fresh else DEFAULT_IDLE_MS
        for connection in self.idle:
            idle_ms = now_ms - connection.idle_since_ms
            if idle_ms < DEFAULT_REST_MS:
                return None
            if idle_ms < limit_ms:
                return connection
        return None

    def _dial(self, wait_ms: int) -> Result[UpstreamConnection, DialError]:
        host, port = split_address(self.address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = gevent_socket.socket(family, socket.SOCK_STREAM)
        connection = UpstreamConnection(sock)
        self.lent.add(connection)
        try:
            connection.set_wait(min(wait_ms, DEFAULT_DIAL_TIMEOUT_MS))
            sock.connect((host, port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self.discard(connection)
            return Failure(DialError(str(error)))
        return Success(connection)
