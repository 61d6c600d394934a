"""Count the bytes that sockets send and receive."""

from dataclasses import dataclass
from typing import Any

import gevent.socket


@dataclass(slots=True)
class ByteCounter:
    """Count the bytes sent and received, including headers."""

    sent_bytes: int = 0
    received_bytes: int = 0


class CountingSocket(gevent.socket.socket):
    """Count the bytes sent and received in a `ByteCounter`."""

    byte_counter: ByteCounter

    def sendall(self, data: Any, flags: int = 0) -> Any:
        """Count and send all of `data`."""
        self.byte_counter.sent_bytes += len(data)
        return super().sendall(data, flags)

    def recv(self, *args: Any) -> bytes:
        """Receive bytes and count them."""
        data: bytes = super().recv(*args)
        self.byte_counter.received_bytes += len(data)
        return data
