"""Read HTTP/1.1 requests from a socket."""

import hashlib
from collections.abc import Iterator
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from bilberry_core.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    HEADER_REQUEST_TIMEOUT,
)

from ..const import CHUNK_BYTES, MAX_HEADER_BYTES, MAX_KEPT_BODY_BYTES

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BadRequestError(Exception):
    """Signal a request that is not valid HTTP/1.1."""


class UpstreamRequest(msgspec.Struct, kw_only=True):
    """Represent one request; a large body is kept as its digest only."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = b""
    body_bytes: int = 0
    body_sha256: str = ""

    @property
    def request_id(self) -> str:
        """Return the request's id, or an empty string."""
        return self.headers.get(HEADER_REQUEST_ID.lower(), "")

    @property
    def idempotency_key(self) -> str:
        """Return the idempotency key, or an empty string."""
        return self.headers.get(HEADER_IDEMPOTENCY_KEY.lower(), "")

    @property
    def timeout_ms(self) -> int | None:
        """Return the time left for the answer in ms, None if unlimited."""
        text = self.headers.get(HEADER_REQUEST_TIMEOUT.lower(), "")
        return int(text) if text.isdigit() else None

    @property
    def keep_alive(self) -> bool:
        """Return whether the caller keeps the connection open."""
        return self.headers.get("connection", "").lower() != "close"

    def query_int(self, name: str, default: int) -> int:
        """Return an integer from the query, or `default`."""
        if name not in self.query:
            return default
        text = parse_qs(self.query).get(name, [""])[0]
        return int(text) if text.isdigit() else default


class RequestReader:
    """Read successive requests from a socket."""

    __slots__ = ("buffer", "sock")

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.buffer = b""

    def read(self) -> UpstreamRequest | None:
        """Return the next request, None if the connection was closed."""
        head = self.read_head()
        if head is None:
            return None
        request = _parse_head(head)
        if request.headers.get("expect", "").lower() == "100-continue":
            self.sock.sendall(CONTINUE)
        self.read_body(request)
        return request

    def read_head(self) -> bytes | None:
        """Return the bytes before the empty line, None at end of stream."""
        while b"\r\n\r\n" not in self.buffer:
            if len(self.buffer) > MAX_HEADER_BYTES:
                raise BadRequestError("headers too large")
            if not self.receive():
                return None
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        return head

    def read_body(self, request: UpstreamRequest) -> None:
        """Read the body and store its size, digest and a short body itself."""
        digest = hashlib.sha256()
        kept: list[bytes] = []
        for piece in self.iter_body(request.headers):
            digest.update(piece)
            request.body_bytes += len(piece)
            if request.body_bytes <= MAX_KEPT_BODY_BYTES:
                kept.append(piece)
        request.body = b"".join(kept)
        request.body_sha256 = digest.hexdigest()

    def iter_body(self, headers: dict[str, str]) -> Iterator[bytes]:
        """Yield the body in pieces, decoded from its transfer encoding."""
        if "chunked" in headers.get("transfer-encoding", "").lower():
            yield from self.iter_chunked_body()
            return
        length = headers.get("content-length", "0")
        if not length.isdigit():
            raise BadRequestError("bad Content-Length")
        yield from self.iter_exactly(int(length))

    def iter_chunked_body(self) -> Iterator[bytes]:
        """Yield the data of a chunked body."""
        while True:
            size = int(self.read_line().split(b";")[0], 16)
            if size == 0:
                while self.read_line():
                    pass
                return
            yield from self.iter_exactly(size)
            self.read_line()

    def read_line(self) -> bytes:
        """Return the next line without its line break."""
        while b"\r\n" not in self.buffer:
            if not self.receive():
                raise BadRequestError("cut short")
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def iter_exactly(self, count: int) -> Iterator[bytes]:
        """Yield the next `count` bytes in pieces."""
        while count > 0:
            if not self.buffer and not self.receive():
                raise BadRequestError("cut short")
            piece = self.buffer[:count]
            self.buffer = self.buffer[count:]
            count -= len(piece)
            yield piece

    def receive(self) -> bool:
        """Receive more bytes; return False at end of stream."""
        data = self.sock.recv(CHUNK_BYTES)
        self.buffer += data
        return bool(data)


def _parse_head(head: bytes) -> UpstreamRequest:
    lines = head.decode("latin-1").split("\r\n")
    words = lines[0].split(" ")
    if len(words) != 3 or not words[2].startswith("HTTP/1."):
        raise BadRequestError("bad request line")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    target = urlsplit(words[1])
    return UpstreamRequest(
        method=words[0], path=unquote(target.path), query=target.query, headers=headers
    )
