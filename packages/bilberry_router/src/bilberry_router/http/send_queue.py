"""Read from the system how much of a connection's data has arrived."""

import fcntl
import socket
import struct
import termios
from dataclasses import dataclass
from typing import Any

# SIOCOUTQNSD of Linux, which Python's modules don't name.
_UNSENT_REQUEST = 0x894B
_INT = struct.Struct("i")
# The field tcpi_last_ack_recv of Linux's struct tcp_info.
_ACKNOWLEDGED_OFFSET = 56
_TCP_INFO_BYTES = 60


@dataclass(slots=True, frozen=True)
class SendQueue:
    """Represent the bytes that the system holds for the other side.

    `unacknowledged_bytes` includes the `unsent_bytes`, which wait for room in
    the other side's buffer.
    """

    unacknowledged_bytes: int = 0
    unsent_bytes: int = 0

    @property
    def in_flight_bytes(self) -> int:
        """Return how many bytes were sent and not acknowledged."""
        return self.unacknowledged_bytes - self.unsent_bytes

    def without_end(self) -> "SendQueue":
        """Return it without the end of the stream, which counts as a byte."""
        unacknowledged_bytes = max(0, self.unacknowledged_bytes - 1)
        return SendQueue(
            unacknowledged_bytes, min(self.unsent_bytes, unacknowledged_bytes)
        )


def read_send_queue(sock: Any) -> SendQueue:
    """Return the socket's send queue; an empty one if it is closed."""
    descriptor = sock.fileno()
    if descriptor < 0:
        return SendQueue()
    unacknowledged_bytes = _query(descriptor, termios.TIOCOUTQ)
    if not unacknowledged_bytes:
        return SendQueue()
    return SendQueue(unacknowledged_bytes, _query(descriptor, _UNSENT_REQUEST))


def acknowledged_ms_ago(sock: Any) -> int:
    """Return how long ago the other side acknowledged anything, in ms."""
    if sock.fileno() < 0:
        return 0
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    age_ms: int = _INT.unpack_from(info, _ACKNOWLEDGED_OFFSET)[0]
    return age_ms


def _query(descriptor: int, request: int) -> int:
    result = fcntl.ioctl(descriptor, request, _INT.pack(0))
    count: int = _INT.unpack(result)[0]
    return count
