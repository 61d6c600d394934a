"""Streaming reader for request bodies."""

from bilberry_core.const import MS_PER_SECOND

from .chunks import ChunkDecoder, ChunkError
from .connection import Connection, ConnectionLostError
from .const import (
    CONTINUE,
    HEAD_RECV_BYTES,
    MIN_BODY_BYTES_PER_S,
    RECV_BYTES,
)
from .head import RequestHead
from .receive import ReadTimeoutError

STATUS_BAD_REQUEST = 400
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413


class BodyError(Exception):
    """Raised for a truncated, slow, malformed or oversized body."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class BodyReader:
    """Read one request's body from its connection.

    Bytes after the body stay in the connection's buffer.
    """

    __slots__ = (
        "chunked",
        "connection",
        "decoder",
        "is_complete",
        "is_continue_pending",
        "limit_bytes",
        "received_bytes",
        "remaining_bytes",
        "timeout_ms",
        "waited_ms",
    )

    def __init__(
        self,
        connection: Connection,
        head: RequestHead,
        *,
        limit_bytes: int,
        timeout_ms: int,
    ) -> None:
        self.connection = connection
        self.limit_bytes = limit_bytes
        self.timeout_ms = timeout_ms
        self.chunked = head.chunked
        self.remaining_bytes = head.content_length or 0
        self.decoder = ChunkDecoder() if head.chunked else None
        self.received_bytes = 0
        self.waited_ms = 0
        self.is_complete = not head.chunked and self.remaining_bytes == 0
        self.is_continue_pending = head.expects_continue and not self.is_complete

    def read_some(
        self, limit: int = RECV_BYTES, timeout_ms: int | None = None
    ) -> bytes:
        """Return up to `limit` bytes, or none at the end of the body.

        Raise BodyError if the body is truncated, slow, malformed or too
        large.
        """
        if self.is_complete:
            return b""
        wait_ms = self.timeout_ms if timeout_ms is None else timeout_ms
        try:
            self._send_continue()
            data = self._read_next(limit, wait_ms)
        except ChunkError as error:
            raise BodyError(STATUS_BAD_REQUEST, error.reason) from None
        except ReadTimeoutError:
            raise BodyError(STATUS_TIMEOUT, "the body came too slowly") from None
        except (ConnectionLostError, OSError):
            raise BodyError(STATUS_BAD_REQUEST, "the body was cut short") from None
        self.received_bytes += len(data)
        if self._is_too_slow():
            raise BodyError(STATUS_TIMEOUT, "the body came too slowly")
        if self.received_bytes > self.limit_bytes:
            raise BodyError(STATUS_TOO_LARGE, f"over {self.limit_bytes} bytes")
        return data

    def read(self, size: int = -1) -> bytes:
        """Return `size` bytes, or the whole rest if `size` is negative.

        Raise BodyError as `read_some` does.
        """
        parts = []
        remaining_bytes = size
        while remaining_bytes != 0:
            data = self.read_some(
                min(RECV_BYTES, remaining_bytes) if remaining_bytes > 0 else RECV_BYTES
            )
            if not data:
                break
            parts.append(data)
            remaining_bytes -= len(data) if remaining_bytes > 0 else 0
        return b"".join(parts)

    def _discard(self) -> None:
        """Leave the rest unread.

        pywsgi calls this after a response; here the handler closes the
        connection instead.
        """

    def _send_continue(self) -> None:
        if not self.is_continue_pending:
            return
        self.is_continue_pending = False
        if not self.connection.buffer:
            self.connection.sock.settimeout(self.timeout_ms / MS_PER_SECOND)
            self.connection.sock.sendall(CONTINUE)

    def _read_next(self, limit: int, wait_ms: int) -> bytes:
        if self.decoder is not None:
            return self._read_chunks(self.decoder, limit, wait_ms)
        if not self.connection.buffer:
            self._fill_buffer(wait_ms, min(RECV_BYTES, self.remaining_bytes))
        data = self.connection.take(min(limit, self.remaining_bytes))
        self.remaining_bytes -= len(data)
        self.is_complete = self.remaining_bytes == 0
        return data

    def _read_chunks(self, decoder: ChunkDecoder, limit: int, wait_ms: int) -> bytes:
        while True:
            self.connection.work_budget.yield_if_exhausted()
            counted = decoder.chunk_count
            data = decoder.decode(self.connection.buffer, limit)
            self.is_complete = decoder.is_complete
            self.connection.work_budget.consume(
                len(data), decoder.chunk_count - counted
            )
            if data or self.is_complete:
                return data
            # Small chunks stay in the buffer during other callers' turns.
            is_large = decoder.remaining_bytes >= RECV_BYTES
            self._fill_buffer(wait_ms, RECV_BYTES if is_large else HEAD_RECV_BYTES)

    def _fill_buffer(self, wait_ms: int, limit: int = RECV_BYTES) -> None:
        clock = self.connection.clock
        started_ms = clock.now_ms()
        self.connection.fill(wait_ms, limit)
        self.waited_ms += clock.now_ms() - started_ms

    def _is_too_slow(self) -> bool:
        if self.waited_ms <= self.timeout_ms:
            return False
        return (
            self.received_bytes * MS_PER_SECOND < self.waited_ms * MIN_BODY_BYTES_PER_S
        )
