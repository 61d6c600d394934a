"""Count the bytes that sockets send and receive."""

from dataclasses import dataclass
from typing import Any

import gevent.socket

from .const import MAX_RESPONSE_BYTES


@dataclass(slots=True)
class ByteCounter:
    """Count the bytes sent and received, including headers."""

    sent_bytes: int = 0
    received_bytes: int = 0


class ResponseTooLargeError(OSError):
    """Raised when a response exceeds a limit of size."""


class CountingSocket(gevent.socket.socket):
    """Count the bytes sent and received in a `ByteCounter`.

    The bytes received since the last send are those of one response, which
    is limited as it is kept in memory. A send that fails uses up the error of
    a lost connection, so that its end would look like a regular one.
    """

    byte_counter: ByteCounter
    response_bytes = 0
    has_send_failed = False

    def sendall(self, data: Any, flags: int = 0) -> Any:
        """Count and send all of `data`."""
        self.byte_counter.sent_bytes += len(data)
        self.response_bytes = 0
        try:
            return super().sendall(data, flags)
        except OSError:
            self.has_send_failed = True
            raise

    def recv(self, *args: Any) -> bytes:
        """Receive bytes and count them."""
        data: bytes = super().recv(*args)
        if self.has_send_failed and not data:
            raise ConnectionAbortedError("lost while the request was sent")
        self.byte_counter.received_bytes += len(data)
        self.response_bytes += len(data)
        if self.response_bytes > MAX_RESPONSE_BYTES:
            raise ResponseTooLargeError(f"over {MAX_RESPONSE_BYTES} bytes")
        return data
