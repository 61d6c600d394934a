"""Build the answers of the simulated upstream."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import msgspec

from bilberry_resources.codec import encode

from ..const import CHUNK_BYTES
from .messages import Control, Echo, Identity
from .request import UpstreamRequest

FILLER_HEAD = b'{"filler":"'
FILLER_TAIL = b'",'


class Answer(msgspec.Struct, kw_only=True):
    """Represent an answer whose body is generated in pieces.

    The body ends after `cut_bytes`, if set; `garbage` is sent after a
    complete answer.
    """

    status: int = HTTPStatus.OK
    headers: dict[str, str] = {}
    head: bytes = b""
    filler: str = ""
    filler_bytes: int = 0
    tail: bytes = b""
    chunked: bool = False
    keep_alive: bool = True
    with_body: bool = True
    cut_bytes: int | None = None
    garbage: bytes = b""

    @property
    def length(self) -> int:
        """Return the length of the complete body in bytes."""
        return len(self.head) + self.filler_bytes + len(self.tail)

    def encode_head(self) -> bytes:
        """Return the status line and the headers."""
        status = HTTPStatus(self.status)
        headers = {"Content-Type": "application/json", **self.headers}
        if self.chunked:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Content-Length"] = str(self.length)
        if not self.keep_alive:
            headers["Connection"] = "close"
        lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def iter_body(self) -> Iterator[bytes]:
        """Yield the body in pieces."""
        if self.head:
            yield self.head
        block = (self.filler * (CHUNK_BYTES // 64)).encode()
        left = self.filler_bytes
        while left > 0:
            yield block[:left]
            left -= min(left, len(block))
        if self.tail:
            yield self.tail


def message_answer(message: Any, status: int = HTTPStatus.OK, **headers: str) -> Answer:
    """Return an answer whose body is `message`."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Answer(status=status, headers=named, tail=encode(message))


def echo_answer(
    request: UpstreamRequest, identity: Identity, control: Control
) -> Answer:
    """Return an answer that repeats the request, padded if configured."""
    echo = Echo(
        upstream=identity.name,
        service=identity.service,
        region=identity.region,
        method=request.method,
        path=request.path,
        query=request.query,
        request_id=request.request_id,
        idempotency_key=request.idempotency_key,
        body_bytes=request.body_bytes,
        body_sha256=request.body_sha256,
        headers=request.headers,
    )
    data = encode(echo)
    size = request.query_int("response_bytes", control.response_bytes)
    answer = Answer(chunked=control.chunked, keep_alive=request.keep_alive)
    answer.with_body = request.method != "HEAD"
    wrapper_bytes = len(FILLER_HEAD) + len(FILLER_TAIL) + len(data) - 1
    answer.filler_bytes = max(size - wrapper_bytes, 0)
    if not answer.filler_bytes:
        answer.tail = data
        return answer
    answer.head = FILLER_HEAD
    answer.filler = request.body_sha256
    answer.tail = FILLER_TAIL + data[1:]
    return answer
