"""Connections to upstreams and their pools."""

import logging
from collections import deque
from dataclasses import dataclass

from bilberry_core.clock import Clock
from bilberry_core.outcome import Failure, Result, Success

from ..http.upstream_socket import IdleState, UpstreamSocket
from .const import (
    DEFAULT_CONNECT_TIMEOUT_MS,
    DEFAULT_MAX_IDLE_MS,
    DEFAULT_MIN_IDLE_MS,
    DEFAULT_NO_REUSE_MS,
    DEFAULT_RECENT_IDLE_MS,
)

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class ConnectError:
    """Reason why no connection could be made; nothing was sent."""

    reason: str


class UpstreamConnection(UpstreamSocket):
    """A connection to an upstream.

    `is_reused` is set once it has carried a request, `expects_request_id`
    if the upstream is also known to send the request id in its responses.
    """

    __slots__ = ("expects_request_id", "is_reused")

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.is_reused = False
        self.expects_request_id = False


class EndpointConnections:
    """Connection pool for one upstream address.

    A connection is in use by one request at a time and is released only
    after a complete response without excess bytes. It then stays unused for
    DEFAULT_MIN_IDLE_MS, so that unsolicited bytes after the response are seen
    before the next request. After such bytes, no connection to the upstream
    is reused for DEFAULT_NO_REUSE_MS. `sends_request_id` is set once a
    response carried its request id.
    """

    __slots__ = (
        "address",
        "clock",
        "closed",
        "idle",
        "in_use",
        "limit",
        "no_reuse_until_ms",
        "sends_request_id",
    )

    def __init__(self, address: str, limit: int, clock: Clock) -> None:
        self.address = address
        self.limit = limit
        self.clock = clock
        self.idle: deque[UpstreamConnection] = deque()
        self.in_use: set[UpstreamConnection] = set()
        self.closed = False
        self.no_reuse_until_ms = 0
        self.sends_request_id = False

    def acquire(
        self, recent_only: bool, timeout_ms: int
    ) -> Result[UpstreamConnection, ConnectError]:
        """Return an idle connection or open a new one.

        With `recent_only` only a recently used connection is reused, as the
        upstream may be about to close an older one.
        """
        connection = self._reuse(recent_only)
        if connection is not None:
            connection.is_reused = True
            connection.expects_request_id = self.sends_request_id
            self.in_use.add(connection)
            return Success(connection)
        return self.acquire_new(timeout_ms)

    def acquire_new(self, timeout_ms: int) -> Result[UpstreamConnection, ConnectError]:
        """Open a new connection, closing idle ones if at the limit."""
        if len(self.in_use) >= self.limit:
            return Failure(ConnectError("connection limit reached"))
        while len(self.in_use) + len(self.idle) >= self.limit:
            self.idle.popleft().close()
        return self._connect(timeout_ms)

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after a complete response."""
        self.in_use.discard(connection)
        now_ms = self.clock.now_ms()
        is_full = len(self.idle) + len(self.in_use) >= self.limit
        if self.closed or is_full or now_ms < self.no_reuse_until_ms:
            connection.close()
            return
        connection.idle_since_ms = now_ms
        self.idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection, which also cancels its request."""
        self.in_use.discard(connection)
        connection.close()

    def stop_reuse(self) -> None:
        """Reuse no connection for a while, after unsolicited bytes."""
        _LOGGER.warning("forward: Unsolicited bytes from %s.", self.address)
        self.no_reuse_until_ms = self.clock.now_ms() + DEFAULT_NO_REUSE_MS
        while self.idle:
            self.idle.popleft().close()

    def close_idle(self, now_ms: int) -> None:
        """Close connections that were idle for too long."""
        while self.idle:
            if now_ms - self.idle[0].idle_since_ms < DEFAULT_MAX_IDLE_MS:
                return
            self.idle.popleft().close()

    def close(self) -> None:
        """Close the idle connections now, the others on release."""
        self.closed = True
        while self.idle:
            self.idle.popleft().close()

    def _reuse(self, recent_only: bool) -> UpstreamConnection | None:
        while (connection := self._find_reusable(recent_only)) is not None:
            self.idle.remove(connection)
            state = connection.idle_state()
            if state is IdleState.OPEN:
                return connection
            connection.close()
            if state is IdleState.UNREAD_DATA:
                self.stop_reuse()
        return None

    def _find_reusable(self, recent_only: bool) -> UpstreamConnection | None:
        now_ms = self.clock.now_ms()
        max_idle_ms = DEFAULT_RECENT_IDLE_MS if recent_only else DEFAULT_MAX_IDLE_MS
        for connection in self.idle:
            idle_ms = now_ms - connection.idle_since_ms
            if idle_ms < DEFAULT_MIN_IDLE_MS:
                return None
            if idle_ms < max_idle_ms:
                return connection
        return None

    def _connect(self, timeout_ms: int) -> Result[UpstreamConnection, ConnectError]:
        try:
            connection = UpstreamConnection(self.address)
        except OSError as error:
            return Failure(ConnectError(str(error)))
        self.in_use.add(connection)
        try:
            connection.connect(min(timeout_ms, DEFAULT_CONNECT_TIMEOUT_MS))
        except OSError as error:
            self.discard(connection)
            return Failure(ConnectError(str(error)))
        return Success(connection)
