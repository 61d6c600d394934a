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

from .caller import CallerConnection, Handler
from .const import DRAIN_POLL_MS, MAX_CONNECTIONS

_LOGGER = logging.getLogger(__name__)

BACKLOG = 1_024


class Listener:
    """Manage a listening socket and the connections accepted on it."""

    __slots__ = ("clock", "connections", "draining", "handler", "limits", "server")

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        clock: Clock,
    ) -> None:
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
        """Return whether any request is being read or answered."""
        return any(connection.is_busy for connection in self.connections)

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def close(self) -> None:
        """Stop listening and close the remaining connections."""
        self.server.stop(timeout=0)

    def serve(self, sock: Any, address: Any) -> None:
        """Serve one accepted connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(
            sock, address[0], self.handler, self.limits, self.clock
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

    def wait_until_idle(self, timeout_ms: int) -> bool:
        """Wait until no request is left; return False on timeout."""
        end_ms = self.clock.now_ms() + timeout_ms
        while self.is_busy:
            if self.clock.now_ms() >= end_ms:
                return False
            gevent.sleep(DRAIN_POLL_MS / MS_PER_SECOND)
        return True
