"""Send single HTTP requests without retries."""

import http.client
import socket
from typing import Any
from urllib.parse import urlsplit

import gevent.socket
import msgspec

from bilberry_core.const import MS_PER_SECOND
from bilberry_resources.codec import encode

DEFAULT_CALL_TIMEOUT_MS = 10_000

CALL_ERRORS = (OSError, http.client.HTTPException)


class Reply(msgspec.Struct, frozen=True):
    """Represent a complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return msgspec.json.decode(self.body)

    def header(self, name: str) -> str | None:
        """Return a header by its case-insensitive name."""
        return self.headers.get(name.lower())


def connect(
    url: str, timeout_ms: int = DEFAULT_CALL_TIMEOUT_MS, source: str | None = None
) -> Any:
    """Return an HTTP connection on a gevent socket with TCP_NODELAY."""
    parts = urlsplit(url)
    sock = gevent.socket.create_connection(
        (parts.hostname, parts.port),
        timeout_ms / MS_PER_SECOND,
        (source, 0) if source else None,
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection = http.client.HTTPConnection(parts.hostname or "", parts.port)
    connection.sock = sock
    return connection


def call(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_ms: int = DEFAULT_CALL_TIMEOUT_MS,
    source: str | None = None,
) -> Reply:
    """Send one request on a new connection and return its answer.

    `source` is the IP address to send from. Raise one of CALL_ERRORS
    without a complete answer.
    """
    parts = urlsplit(url)
    target = parts.path or "/"
    if parts.query:
        target = f"{target}?{parts.query}"
    data = body if body is None or isinstance(body, bytes) else encode(body)
    connection = connect(url, timeout_ms, source)
    try:
        connection.request(method, target, data, headers or {})
        response = connection.getresponse()
        content = response.read()
        found = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, found, content)
    finally:
        connection.close()
