"""Accept callers' connections on one address."""

import logging
import socket
from collections.abc import Callable
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer

from bilberry_core.address import split_address
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_resources.routing import CallerLimits

from ..http.unread_closes import UnreadCloses
from .answer_memory import AnswerMemory
from .caller import CallerConnection
from .caller_exchange import Handler
from .caller_refusals import CallerRefusals
from .connection_limits import ConnectionLimits
from .const import DRAIN_POLL_MS, MAX_CONNECTIONS
from .request_memory import RequestMemory

_LOGGER = logging.getLogger(__name__)

BACKLOG = 1_024


class Listener:
    """Manage a listening socket and the connections accepted on it."""

    __slots__ = (
        "answer_memory",
        "clock",
        "connection_limits",
        "connections",
        "draining",
        "handler",
        "is_auxiliary",
        "limits",
        "refusals",
        "request_memory",
        "server",
        "unread_closes",
    )

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        clock: Clock,
        answer_memory: AnswerMemory | None = None,
        request_memory: RequestMemory | None = None,
        connection_limits: ConnectionLimits | None = None,
        is_auxiliary: bool = False,
    ) -> None:
        self.answer_memory = answer_memory or AnswerMemory()
        self.request_memory = request_memory or RequestMemory()
        self.connection_limits = connection_limits or ConnectionLimits()
        self.is_auxiliary = is_auxiliary
        self.refusals = CallerRefusals(clock)
        self.unread_closes = UnreadCloses(clock)
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.connections: set[CallerConnection] = set()
        self.draining = False
        self.server = StreamServer(
            split_address(address),
            self.serve,
            spawn=Pool(MAX_CONNECTIONS),
            backlog=BACKLOG,
        )

    @property
    def address(self) -> str:
        """Return the `ip:port` that the socket is bound to."""
        return f"{self.server.server_host}:{self.server.server_port}"

    @property
    def is_busy(self) -> bool:
        """Return whether any request is waiting, being read or answered."""
        return any(
            connection.is_busy or connection.has_unread_data
            for connection in self.connections
        )

    @property
    def is_being_read(self) -> bool:
        """Return whether callers may still be reading their last answers."""
        return any(connection.is_ending for connection in self.connections)

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def close(self) -> None:
        """Stop listening and close the remaining connections."""
        self.server.stop(timeout=0)

    def serve(self, sock: Any, address: Any) -> None:
        """Serve one accepted connection, or close it at a limit."""
        host = address[0]
        limit = self.connection_limits.try_add(host, self.is_auxiliary)
        if limit is not None:
            self.refusals.record(limit, host)
            sock.close()
            return
        try:
            self.serve_counted(sock, host)
        finally:
            self.connection_limits.remove(host)

    def serve_counted(self, sock: Any, host: str) -> None:
        """Serve one connection that counts towards the limits."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(
            sock,
            self.handler,
            self.limits,
            self.clock,
            self.answer_memory,
            self.request_memory,
            lambda limit: self.refusals.record(limit, host),
            self.unread_closes,
        )
        connection.is_draining = self.draining
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)

    def start_draining(self) -> None:
        """Close idle connections, and the others after their answers."""
        self.draining = True
        for connection in list(self.connections):
            connection.drain()

    def finish(self, timeout_ms: int) -> bool:
        """Answer what has arrived and accept no more; False on timeout.

        Connections that callers have opened by now are still accepted, as
        their requests may already be here. Callers that still read their last
        answers are waited for.
        """
        end_ms = self.clock.now_ms() + timeout_ms
        all_answered = self.wait_until_idle(timeout_ms)
        while self.accept_waiting():
            gevent.sleep(0)
        self.server.close()
        is_idle = self.wait_until_idle(max(0, end_ms - self.clock.now_ms()))
        is_read = self.wait_until_read(max(0, end_ms - self.clock.now_ms()))
        return all_answered and is_idle and is_read

    def accept_waiting(self) -> bool:
        """Accept one connection that is waiting; return whether there was."""
        try:
            accepted = self.server.do_read()
        except OSError as error:
            _LOGGER.warning("entry: Could not accept a connection: %s.", error)
            return False
        if accepted is None:
            return False
        self.server.do_handle(*accepted)
        return True

    def wait_until_idle(self, timeout_ms: int) -> bool:
        """Wait until no request is left; return False on timeout."""
        return self.wait_while(lambda: self.is_busy, timeout_ms)

    def wait_until_read(self, timeout_ms: int) -> bool:
        """Wait until no last answer is being read; False on timeout."""
        return self.wait_while(lambda: self.is_being_read, timeout_ms)

    def wait_while(self, condition: Callable[[], bool], timeout_ms: int) -> bool:
        """Wait until a condition ends; return False on timeout."""
        end_ms = self.clock.now_ms() + timeout_ms
        while condition():
            if self.clock.now_ms() >= end_ms:
                return False
            gevent.sleep(DRAIN_POLL_MS / MS_PER_SECOND)
        return True
