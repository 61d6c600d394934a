"""WSGI server for one listening socket."""

import logging
import socket
from typing import Any

import gevent
from gevent import pywsgi
from gevent.pool import Pool

from bilberry_core.address import split_address
from bilberry_core.clock import Clock, SystemClock
from bilberry_core.const import MS_PER_SECOND

from .connection import Connection
from .const import DRAIN_POLL_MS
from .delivery import DeliveryBounds
from .handler import Handler
from .limits import Limits
from .unread_closes import UnreadCloses

_LOGGER = logging.getLogger(__name__)


class Server(pywsgi.WSGIServer):
    """Serve one WSGI application, with limits and a graceful shutdown.

    `in_flight` counts requests from the end of their head to the end of
    their response.
    """

    def __init__(
        self,
        address: str,
        application: Any,
        *,
        max_connections: int,
        limits: Limits | None = None,
        clock: Clock | None = None,
        handler_class: type[pywsgi.WSGIHandler] = Handler,
    ) -> None:
        super().__init__(
            split_address(address),
            application,
            log=None,
            error_log=_LOGGER,
            spawn=Pool(max_connections),
            handler_class=handler_class,
        )
        self.limits = limits or Limits()
        self.clock = clock or SystemClock()
        self.connections: set[Connection] = set()
        self.in_flight = 0
        self.is_draining = False
        self.is_shutdown_forced = False
        self.unread_closes = UnreadCloses(self.clock)

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serve one accepted connection, with Nagle's algorithm disabled."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    @property
    def bound_address(self) -> str:
        """Return the `ip:port` that the socket is bound to."""
        host = self.server_host
        if ":" in host:
            return f"[{host}]:{self.server_port}"
        return f"{host}:{self.server_port}"

    def delivery_bounds(self) -> DeliveryBounds:
        """Return how long callers may take to read their answers."""
        return DeliveryBounds(self.limits.body_timeout_ms, self.limits.idle_timeout_ms)

    def record_close(self, connection: Connection) -> None:
        """Record what the caller of a closed connection had yet to take."""
        self.connections.discard(connection)
        self.unread_closes.record(connection.delivery, self.delivery_bounds())

    def start_draining(self) -> None:
        """Make each further response close its connection."""
        self.is_draining = True

    def drain(self, limit_ms: int) -> int:
        """Finish requests in flight, then close the server.

        Wait `limit_ms` at most, and return how many requests were aborted.
        """
        self.start_draining()
        end_ms = self.clock.now_ms() + limit_ms
        self._accept_queued_connections()
        self.close()
        while (
            len(self.pool)
            and not self.is_shutdown_forced
            and self.clock.now_ms() < end_ms
        ):
            self._close_idle()
            gevent.sleep(DRAIN_POLL_MS / MS_PER_SECOND)
        aborted_requests = self.in_flight
        if aborted_requests:
            _LOGGER.warning(
                "http: Aborted %s requests at the drain limit.", aborted_requests
            )
        self.stop(timeout=0)
        return aborted_requests

    def force_shutdown(self) -> None:
        """Stop waiting for requests in flight in `drain`."""
        self.is_shutdown_forced = True

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            connection.interrupt_idle()

    def _accept_queued_connections(self) -> None:
        """Serve connections that the kernel has already accepted."""
        self.stop_accepting()
        while not self.pool.full():
            try:
                client = self.do_read()
            except OSError:
                return
            if client is None:
                return
            self.do_handle(*client)
