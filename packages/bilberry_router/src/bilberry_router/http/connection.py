"""Accepted connection, with its read buffer and timeouts."""

import socket
import struct
from collections.abc import Callable
from typing import Any

from gevent import Timeout, get_hub

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND

from .const import MAX_LINGER_BYTES, RECV_BYTES
from .receive import ReadTimeoutError, receive
from .work_budget import WorkBudget

_READ_EVENT = 1
_LINGER_RESET = struct.pack("ii", 1, 0)


class ConnectionLostError(Exception):
    """Raised when the caller has closed or reset the connection."""


class Connection:
    """Represent a caller's connection: buffered reads, close detection."""

    __slots__ = (
        "buffer",
        "clock",
        "is_aborted",
        "is_idle",
        "sock",
        "watcher",
        "work_budget",
    )

    def __init__(self, sock: Any, clock: Clock) -> None:
        self.sock = sock
        self.clock = clock
        self.buffer = bytearray()
        self.work_budget = WorkBudget()
        self.is_aborted = False
        self.is_idle = False
        self.watcher: Any = None

    def fill(self, timeout_ms: int, limit: int = RECV_BYTES) -> None:
        """Read up to `limit` bytes from the socket into the buffer.

        Raise ConnectionLostError if the caller has closed the connection,
        ReadTimeoutError if nothing arrives within `timeout_ms`.
        """
        self.work_budget.yield_if_exhausted()
        try:
            data = receive(self.sock, timeout_ms, limit)
        except Timeout as error:
            raise ReadTimeoutError from error
        except OSError as error:
            raise ConnectionLostError from error
        if not data:
            raise ConnectionLostError
        self.buffer += data
        self.work_budget.consume(len(data), items=1)

    def take(self, count: int) -> bytes:
        """Remove up to `count` bytes from the buffer and return them."""
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return data

    def watch(self, on_disconnect: Callable[[], None]) -> None:
        """Call `on_hang_up` from the hub once the caller disconnects."""
        self.unwatch()
        watcher = get_hub().loop.io(self.sock.fileno(), _READ_EVENT)
        self.watcher = watcher
        watcher.start(self._on_readable, on_disconnect)

    def unwatch(self) -> None:
        """Stop watching for a disconnect."""
        watcher = self.watcher
        if watcher is None:
            return
        self.watcher = None
        watcher.stop()
        watcher.close()

    def abort(self) -> None:
        """Make the next close reset the connection.

        A reset keeps a truncated response from looking complete.
        """
        self.is_aborted = True
        self.unwatch()
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        except OSError:
            return

    def has_unread_data(self) -> bool:
        """Return whether data has arrived that was not read yet."""
        try:
            return bool(self.sock._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close_if_no_data(self) -> None:
        """Shut down an idle connection unless a request has just arrived."""
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self._shut_down_reading()
        except OSError:
            return

    def _shut_down_reading(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_RD)
        except OSError:
            return

    def linger(self, limit_ms: int, limit_bytes: int = MAX_LINGER_BYTES) -> None:
        """Shut down writing, then discard input for `limit_ms` at most.

        Closing a socket with unread input sends a reset, which could
        destroy the response before the caller reads it.
        """
        try:
            self.sock.shutdown(socket.SHUT_WR)
            self._discard(limit_ms, limit_bytes)
        except OSError:
            return

    def _discard(self, limit_ms: int, limit_bytes: int) -> None:
        end_ms = self.clock.now_ms() + limit_ms
        discarded_bytes = 0
        while discarded_bytes < limit_bytes:
            self.work_budget.yield_if_exhausted()
            remaining_ms = end_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                return
            count = self._discard_some(remaining_ms)
            if not count:
                return
            discarded_bytes += count

    def _discard_some(self, timeout_ms: int) -> int:
        """Discard the next bytes; nothing refers to them afterwards."""
        self.sock.settimeout(timeout_ms / MS_PER_SECOND)
        count = len(self.sock.recv(RECV_BYTES))
        self.work_budget.consume(count, items=1)
        return count

    def _on_readable(self, on_disconnect: Callable[[], None]) -> None:
        try:
            data = self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.unwatch()
        if not data:
            on_disconnect()
