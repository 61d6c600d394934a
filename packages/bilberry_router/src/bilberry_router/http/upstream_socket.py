"""Socket to an upstream, for both request paths and the store's client."""

import socket
from enum import StrEnum, auto
from typing import Any

from gevent import socket as gevent_socket

from bilberry_core.address import split_address
from bilberry_core.const import MS_PER_SECOND

from .receive import receive
from .work_budget import WorkBudget

TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2


class IdleState(StrEnum):
    """State of an idle connection: open, closed or unread data."""

    OPEN = "silent"
    CLOSED = auto()
    UNREAD_DATA = "noisy"


class UpstreamSocket:
    """Represent a connection to the upstream at `address`.

    Probes detect one that has gone silent, such as after a loss of power.
    """

    __slots__ = ("address", "idle_since_ms", "sock", "work_budget")

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle_since_ms = 0
        self.work_budget = WorkBudget()
        host, _ = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.sock: Any = gevent_socket.socket(family, socket.SOCK_STREAM)

    def connect(self, timeout_ms: int, unacknowledged_ms: int = 0) -> None:
        """Connect; raise OSError if that fails or takes too long.

        The connection breaks once sent data stays unacknowledged for
        `unacknowledged_ms`; 0 leaves that to the system.
        """
        self.set_timeout(timeout_ms)
        self.sock.connect(split_address(self.address))
        tcp = socket.IPPROTO_TCP
        self.sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        self.sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self.sock.setsockopt(tcp, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_INTERVAL_S)
        self.sock.setsockopt(tcp, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
        self.sock.setsockopt(tcp, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)

    def set_timeout(self, timeout_ms: int) -> None:
        """Set the timeout of further writes."""
        self.sock.settimeout(max(timeout_ms, 1) / MS_PER_SECOND)

    def receive(self, timeout_ms: int) -> bytes:
        """Return the next bytes, none if the upstream has closed.

        Raise ReadTimeoutError if nothing arrives within `timeout_ms`, OSError
        if the connection is lost.
        """
        self.work_budget.yield_if_exhausted()
        data = receive(self.sock, timeout_ms)
        self.work_budget.consume(len(data), items=1)
        return data

    def idle_state(self) -> IdleState:
        """Return whether the upstream has closed or sent data."""
        try:
            data = self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return IdleState.OPEN
        except OSError:
            return IdleState.CLOSED
        return IdleState.UNREAD_DATA if data else IdleState.CLOSED

    def shut_down(self) -> None:
        """Shut the socket down, which wakes the greenlets waiting on it.

        May be called from the gevent hub, as it does not block.
        """
        try:
            self.sock._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection, which cancels a request on it."""
        self.sock.close()
