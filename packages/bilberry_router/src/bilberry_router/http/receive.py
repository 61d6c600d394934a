"""Receive from a socket, and tell a timeout from a lost connection."""

from typing import Any

from bilberry_core.const import MS_PER_SECOND

from .const import RECV_BYTES


class ReadTimeoutError(Exception):
    """Raised when nothing arrives within the timeout."""


def is_own_timeout(error: OSError) -> bool:
    """Return whether the timeout that was set on the socket has passed.

    The kernel's ETIMEDOUT is a TimeoutError as well, but it tells that the
    connection is lost. A read after it returns no bytes, as if the other
    side had closed.
    """
    return isinstance(error, TimeoutError) and error.errno is None


def receive(sock: Any, timeout_ms: int, limit: int = RECV_BYTES) -> bytes:
    """Return up to `limit` bytes, none if the other side has closed.

    Raise ReadTimeoutError if nothing arrives within `timeout_ms`, OSError if
    the connection is lost.
    """
    sock.settimeout(max(timeout_ms, 1) / MS_PER_SECOND)
    try:
        data: bytes = sock.recv(limit)
    except OSError as error:
        if is_own_timeout(error):
            raise ReadTimeoutError from error
        raise
    return data
