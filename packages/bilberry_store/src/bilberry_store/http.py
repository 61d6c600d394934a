"""HTTP client that returns failures as values.

`geventhttpclient` resends an idempotent request when the connection is
closed before the response arrives. That is harmless for reads. A
conditional write must be sent at most once per call, as its outcome would
otherwise be ambiguous, so each write uses a pool of its own that opens
only one connection.
"""

from enum import StrEnum
from typing import Any

import gevent
import gevent.socket
import msgspec
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.header import Headers
from geventhttpclient.response import HTTPParseError

from bilberry_core.address import split_address
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.compression import (
    ENCODING_DEFLATE,
    HEADER_CONTENT_ENCODING,
    decompress,
)

from .byte_counter import ByteCounter, CountingSocket, ResponseTooLargeError
from .const import (
    DEFAULT_CALL_TIMEOUT_MS,
    DEFAULT_CONNECT_TIMEOUT_MS,
    DEFAULT_MAX_CONNECTIONS,
    MAX_RESPONSE_HEADERS,
)

MAX_DECOMPRESSED_BYTES = 16_000_000
REASON_RESEND = "refused to send a write twice"


class CallFailure(StrEnum):
    """Define whether a failed call may have reached the server."""

    NOT_SENT = "not-sent"
    MAYBE_SENT = "lost"


class CallError(msgspec.Struct, frozen=True):
    """Describe a call that got no complete response."""

    failure: CallFailure
    reason: str


class HttpResponse(msgspec.Struct, frozen=True):
    """Represent a complete response."""

    status: int
    body: bytes
    not_run: bool = False


class LimitedHeaders(Headers):
    """Hold the headers of one response, at most MAX_RESPONSE_HEADERS lines.

    Each line takes far more memory than it has bytes.
    """

    line_count = 0

    def add(self, field: str, value: Any) -> None:
        """Add one line, or raise ResponseTooLargeError."""
        self.line_count += 1
        if self.line_count > MAX_RESPONSE_HEADERS:
            raise ResponseTooLargeError(f"over {MAX_RESPONSE_HEADERS} headers")
        super().add(field, value)


class NoDelayPool(ConnectionPool):
    """Open connections with Nagle's algorithm disabled."""

    size: int
    byte_counter: ByteCounter

    def _create_tcp_socket(self, family: Any, socktype: Any, protocol: int) -> Any:
        sock = CountingSocket(family, socktype, protocol)
        sock.byte_counter = self.byte_counter
        return sock

    def after_connect(self, sock: Any) -> None:
        """Set TCP_NODELAY."""
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)


class SingleConnectionPool(NoDelayPool):
    """Open one connection and reject any further one."""

    has_connected = False

    def _create_socket(self) -> Any:
        if self.has_connected:
            raise ConnectionAbortedError(REASON_RESEND)
        sock = super()._create_socket()
        self.has_connected = True
        return sock


class HttpSession:
    """Call one server; reads share connections, writes don't."""

    __slots__ = (
        "byte_counter",
        "connect_timeout_ms",
        "host",
        "max_connections",
        "port",
        "read_client",
    )

    def __init__(
        self,
        address: str,
        connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        byte_counter: ByteCounter | None = None,
    ) -> None:
        self.host, self.port = split_address(address)
        self.connect_timeout_ms = connect_timeout_ms
        self.max_connections = max_connections
        self.byte_counter = byte_counter or ByteCounter()
        self.read_client: HTTPClient | None = None

    def close(self) -> None:
        """Close the idle connections."""
        if self.read_client is not None:
            self.read_client.close()
            self.read_client = None

    def read(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_ms: int = DEFAULT_CALL_TIMEOUT_MS,
    ) -> Result[HttpResponse, CallError]:
        """Send a request that may be resent on a connection failure."""
        if self.read_client is None:
            self.read_client = self.create_client(
                NoDelayPool, self.max_connections, timeout_ms
            )
        client = self.read_client
        result = _send_request(client, method, path, body, headers, timeout_ms)
        if isinstance(result, Failure):
            self.discard_connections(client)
        return result

    def write(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_ms: int = DEFAULT_CALL_TIMEOUT_MS,
    ) -> Result[HttpResponse, CallError]:
        """Send a request at most once, on a new connection."""
        client = self.create_client(SingleConnectionPool, 1, timeout_ms)
        result = _send_request(client, method, path, body, headers, timeout_ms)
        client.close()
        return result

    def discard_connections(self, client: HTTPClient) -> None:
        """Close the shared connections after a failed call."""
        client.close()
        if self.read_client is client:
            self.read_client = None

    def create_client(
        self, pool_type: type[NoDelayPool], max_connections: int, timeout_ms: int
    ) -> HTTPClient:
        """Return an HTTP client with a pool of the given type."""
        client = HTTPClient(self.host, self.port, headers_type=LimitedHeaders)
        client.default_headers.clear()
        pool = pool_type(
            self.host,
            self.port,
            self.host,
            self.port,
            size=max_connections,
            connection_timeout=self.connect_timeout_ms / MS_PER_SECOND,
            network_timeout=None,  # type: ignore[arg-type]
        )
        pool.byte_counter = self.byte_counter
        # The library resends a read up to `size + 1` times: once here.
        pool.size = 0
        client._connection_pool = pool
        return client


def _send_request(
    client: HTTPClient,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str] | None,
    timeout_ms: int,
) -> Result[HttpResponse, CallError]:
    timeout = gevent.Timeout(timeout_ms / MS_PER_SECOND)
    timeout.start()
    try:
        response = client.request(method, path, body=body, headers=headers)
        content = bytes(response.read())
        if not response.message_complete:
            return Failure(CallError(CallFailure.MAYBE_SENT, "answer cut short"))
        not_run = response.get("X-Not-Run") == "true"
        if response.get(HEADER_CONTENT_ENCODING) == ENCODING_DEFLATE:
            decompressed = decompress(content, MAX_DECOMPRESSED_BYTES)
            if isinstance(decompressed, Failure):
                return Failure(
                    CallError(CallFailure.MAYBE_SENT, str(decompressed.failure()))
                )
            content = decompressed.unwrap()
        return Success(HttpResponse(response.status_code, content, not_run))
    except gevent.Timeout as error:
        if error is not timeout:
            raise
        return Failure(_to_call_error(client, f"no answer in {timeout_ms} ms"))
    except (OSError, HTTPParseError, RuntimeError) as error:
        return Failure(_to_call_error(client, str(error) or type(error).__name__))
    finally:
        timeout.close()


def _to_call_error(client: HTTPClient, reason: str) -> CallError:
    pool = client._connection_pool
    if isinstance(pool, SingleConnectionPool) and not pool.has_connected:
        return CallError(CallFailure.NOT_SENT, reason)
    return CallError(CallFailure.MAYBE_SENT, reason)
