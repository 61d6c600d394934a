"""Streaming reader for request bodies."""

import re

from bilberry_core.const import MS_PER_SECOND

from .connection import Connection, ConnectionLostError
from .const import (
    CONTINUE,
    END_OF_LINE,
    MAX_CHUNK_DIGITS,
    MAX_CHUNK_LINE_BYTES,
    MAX_TRAILER_BYTES,
    MIN_BODY_BYTES_PER_S,
    RECV_BYTES,
)
from .head import RequestHead
from .receive import ReadTimeoutError

_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")

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
        "in_chunk",
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
        self.in_chunk = False
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
        if self.chunked and not self.in_chunk:
            self._start_chunk(wait_ms)
            if self.is_complete:
                return b""
        if not self.connection.buffer:
            self._fill_buffer(wait_ms)
        data = self.connection.take(min(limit, self.remaining_bytes))
        self.remaining_bytes -= len(data)
        if self.remaining_bytes == 0:
            self._finish_chunk_or_body(wait_ms)
        return data

    def _fill_buffer(self, wait_ms: int) -> None:
        clock = self.connection.clock
        started_ms = clock.now_ms()
        self.connection.fill(wait_ms)
        self.waited_ms += clock.now_ms() - started_ms

    def _is_too_slow(self) -> bool:
        if self.waited_ms <= self.timeout_ms:
            return False
        return (
            self.received_bytes * MS_PER_SECOND < self.waited_ms * MIN_BODY_BYTES_PER_S
        )

    def _finish_chunk_or_body(self, wait_ms: int) -> None:
        if not self.chunked:
            self.is_complete = True
            return
        self.in_chunk = False
        if self._read_line(wait_ms):
            raise BodyError(STATUS_BAD_REQUEST, "a chunk passes its size")

    def _start_chunk(self, wait_ms: int) -> None:
        match = _CHUNK_LINE.fullmatch(self._read_line(wait_ms))
        if match is None or len(match[1]) > MAX_CHUNK_DIGITS:
            raise BodyError(STATUS_BAD_REQUEST, "malformed chunk size")
        self.remaining_bytes = int(match[1], 16)
        if self.remaining_bytes:
            self.in_chunk = True
            return
        self._read_trailers(wait_ms)
        self.is_complete = True

    def _read_trailers(self, wait_ms: int) -> None:
        received_bytes = 0
        while line := self._read_line(wait_ms):
            received_bytes += len(line)
            if received_bytes > MAX_TRAILER_BYTES or _TRAILER.fullmatch(line) is None:
                raise BodyError(STATUS_BAD_REQUEST, "malformed trailer")

    def _read_line(self, wait_ms: int) -> bytes:
        buffer = self.connection.buffer
        while (end := buffer.find(END_OF_LINE)) < 0:
            if len(buffer) > MAX_CHUNK_LINE_BYTES:
                raise BodyError(STATUS_BAD_REQUEST, "a chunk line is too long")
            self._fill_buffer(wait_ms)
        if end > MAX_CHUNK_LINE_BYTES:
            raise BodyError(STATUS_BAD_REQUEST, "a chunk line is too long")
        line = self.connection.take(end)
        del buffer[: len(END_OF_LINE)]
        return line
