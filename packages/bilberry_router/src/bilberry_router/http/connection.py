"""Accepted connection, with its read buffer and timeouts."""

import socket
import struct
from collections.abc import Callable
from typing import Any

import gevent
from gevent import Timeout, get_hub
from gevent import socket as gevent_socket

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND

from .const import (
    DEFAULT_LINGER_MS,
    DELIVERY_POLL_MS,
    HEAD_RECV_BYTES,
    MAX_LINGER_BYTES,
    RECV_BYTES,
)
from .delivery import Delivery, DeliveryBounds, DeliveryEnd
from .receive import ReadTimeoutError, is_own_timeout, receive
from .send_queue import acknowledged_ms_ago, read_send_queue
from .work_budget import WorkBudget

_READ_EVENT = 1
_LINGER_RESET = struct.pack("ii", 1, 0)


class ConnectionLostError(Exception):
    """Raised when the caller has closed or reset the connection."""


class IdleInterruptedError(Exception):
    """Raised in the greenlet that waits for a caller's next request."""


class DeliveryEndedError(OSError):
    """Raised when the rest of an answer is given up."""

    def __init__(self, end: DeliveryEnd) -> None:
        super().__init__(f"the caller doesn't take its answer: {end}")
        self.end = end


class Connection:
    """Represent a caller's connection: buffered reads, close detection."""

    __slots__ = (
        "bounds",
        "buffer",
        "clock",
        "delivery",
        "is_aborted",
        "is_idle",
        "is_write_closed",
        "sock",
        "watcher",
        "work_budget",
    )

    def __init__(
        self,
        sock: Any,
        clock: Clock,
        bounds: Callable[[], DeliveryBounds] = DeliveryBounds,
    ) -> None:
        self.sock = sock
        self.clock = clock
        self.bounds = bounds
        self.buffer = bytearray()
        self.delivery = Delivery(clock.now_ms())
        self.work_budget = WorkBudget()
        self.is_aborted = False
        self.is_idle = False
        self.is_write_closed = False
        self.watcher: Any = None

    def fill(self, timeout_ms: int, limit: int = RECV_BYTES) -> None:
        """Read up to `limit` bytes from the socket into the buffer.

        Raise ConnectionLostError if the caller has closed the connection,
        ReadTimeoutError if nothing arrives within `timeout_ms`.
        """
        self.work_budget.yield_if_exhausted()
        try:
            data = self._receive(timeout_ms, limit)
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
        """Call `on_disconnect` from the hub once the caller disconnects."""
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

    def wait_idle(
        self, idle_timeout_ms: int, has_pending: Callable[[], bool] = lambda: False
    ) -> bool:
        """Wait for the next request; return False at the idle timeout.

        The timeout counts from when the caller had taken its last answer, and
        not while requests are pending. Raise ConnectionLostError as `fill`
        does, IdleInterruptedError after `interrupt_idle`.
        """
        timeout_ms = idle_timeout_ms
        self.is_idle = True
        try:
            while timeout_ms > 0:
                try:
                    self.fill(timeout_ms, HEAD_RECV_BYTES)
                except ReadTimeoutError:
                    timeout_ms = idle_timeout_ms
                    if not has_pending():
                        timeout_ms = self.idle_left_ms()
                else:
                    return True
        finally:
            self.is_idle = False
        return False

    def fill_from_arrived(self) -> bool:
        """Read what has arrived by now; return whether there was any."""
        if not self.has_unread_data():
            return False
        self.fill(DELIVERY_POLL_MS, HEAD_RECV_BYTES)
        return True

    def idle_left_ms(self) -> int:
        """Return how long the connection may stay idle."""
        self.update_delivery()
        return self.delivery.idle_left_ms(self.bounds(), self.clock.now_ms())

    def interrupt_idle(self) -> None:
        """End the wait for the next request.

        To shut down reading instead would make the system answer further
        input with a reset once writing is shut down.
        """
        if self.is_idle:
            gevent_socket.cancel_wait(self.sock._read_event, IdleInterruptedError)

    def update_delivery(self) -> None:
        """Look at what the caller has taken."""
        queue = read_send_queue(self.sock)
        if self.is_write_closed:
            queue = queue.without_end()
        taken_ms = self.clock.now_ms()
        if not queue.unacknowledged_bytes:
            taken_ms -= acknowledged_ms_ago(self.sock)
        self.delivery.update(queue, taken_ms)

    def send_all(self, data: bytes | bytearray) -> None:
        """Send all bytes for as long as the caller takes them.

        Raise DeliveryEndedError once they are given up, OSError if the
        connection is lost.
        """
        rest = memoryview(data)
        while rest:
            self.delivery.update(read_send_queue(self.sock), self.clock.now_ms())
            count = self._send_some(rest)
            self.delivery.record_sent(count, self.clock.now_ms())
            rest = rest[count:]

    def linger(
        self, limit_ms: int = DEFAULT_LINGER_MS, limit_bytes: int = MAX_LINGER_BYTES
    ) -> None:
        """Shut down writing, then wait until the caller closes its side.

        Input is discarded, up to `limit_bytes`: closing a socket with unread
        input sends a reset, which could destroy an answer before the caller
        reads it. A caller that has taken and may have read its answers is
        waited for until `limit_ms` after that.
        """
        if self.is_aborted:
            return
        self.buffer.clear()
        try:
            self.shut_down_writing()
            self._discard(limit_ms, limit_bytes)
        except OSError:
            return

    def shut_down_writing(self) -> None:
        """Tell the caller that no more answers follow.

        Raise OSError if the connection is lost.
        """
        if not self.is_write_closed:
            self.sock.shutdown(socket.SHUT_WR)
            self.is_write_closed = True

    def close(self) -> None:
        """Close the connection; what the caller has yet to take still arrives.

        The exception is a caller that goes on sending.
        """
        self.unwatch()
        self.update_delivery()
        if not self.is_aborted:
            self._discard_waiting()
        self.sock.close()

    def _receive(self, timeout_ms: int, limit: int) -> bytes:
        """Return the next bytes; an interrupt counts only while idle."""
        while True:
            try:
                return receive(self.sock, timeout_ms, limit)
            except IdleInterruptedError:
                if self.is_idle:
                    raise

    def _send_some(self, data: memoryview) -> int:
        while True:
            self.sock.settimeout(DELIVERY_POLL_MS / MS_PER_SECOND)
            try:
                count: int = self.sock.send(data)
            except OSError as error:
                if not is_own_timeout(error):
                    raise
                self._check_delivery()
            else:
                return count

    def _check_delivery(self) -> None:
        self.update_delivery()
        end = self.delivery.end(self.bounds(), self.clock.now_ms())
        if end is not None:
            raise DeliveryEndedError(end)

    def _discard(self, limit_ms: int, limit_bytes: int) -> None:
        remaining_bytes = limit_bytes
        while remaining_bytes > 0:
            self.work_budget.yield_if_exhausted()
            wait_ms = self._linger_left_ms(limit_ms)
            if wait_ms <= 0:
                return
            try:
                count = self._discard_some(min(wait_ms, DELIVERY_POLL_MS))
            except ReadTimeoutError:
                continue
            if not count:
                return
            remaining_bytes -= count
        self._wait_without_reading()

    def _wait_without_reading(self) -> None:
        """Wait while the caller, which sends without end, may still read."""
        while (wait_ms := self._linger_left_ms(0)) > 0:
            gevent.sleep(min(wait_ms, DELIVERY_POLL_MS) / MS_PER_SECOND)

    def _linger_left_ms(self, limit_ms: int) -> int:
        self.update_delivery()
        return self.delivery.linger_left_ms(
            self.bounds(), limit_ms, self.clock.now_ms()
        )

    def _discard_some(self, timeout_ms: int) -> int:
        """Discard the next bytes; nothing refers to them afterwards."""
        count = len(self._receive(timeout_ms, RECV_BYTES))
        self.work_budget.consume(count, items=1)
        return count

    def _discard_waiting(self) -> None:
        """Discard input that has arrived, without waiting for more."""
        remaining_bytes = MAX_LINGER_BYTES
        try:
            while remaining_bytes > 0:
                count = len(self.sock._sock.recv(RECV_BYTES))
                if not count:
                    return
                remaining_bytes -= count
        except OSError:
            return

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
