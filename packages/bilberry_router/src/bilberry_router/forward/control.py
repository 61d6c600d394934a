"""HTTP client for control calls to one address, without retries."""

from dataclasses import dataclass

from bilberry_core.clock import Clock
from bilberry_core.outcome import Failure, Result, Success

from ..http.receive import ReadTimeoutError
from ..http.response_parser import ResponseParser
from .const import MAX_CONTROL_RESPONSE_BYTES
from .transport import EndpointConnections, UpstreamConnection

STATUS_OK = 200


@dataclass(slots=True, frozen=True)
class ControlError:
    """Reason why a control call failed; `refused` if nothing was sent."""

    reason: str
    refused: bool = False


class ControlClient:
    """Make control calls to one address over pooled connections."""

    __slots__ = ("clock", "connections")

    def __init__(self, address: str, limit: int, clock: Clock) -> None:
        self.clock = clock
        self.connections = EndpointConnections(address, limit, clock)

    @property
    def address(self) -> str:
        """Return the address of the called host."""
        return self.connections.address

    def close(self) -> None:
        """Close the connections."""
        self.connections.close()

    def call(
        self,
        method: str,
        path: str,
        timeout_ms: int,
        body: bytes = b"",
        headers: list[tuple[str, str]] | None = None,
    ) -> Result[bytes, ControlError]:
        """Send a request once and return the body of its 200 response.

        Fail if the response is not complete within `timeout_ms`.
        """
        acquired = self.connections.acquire(True, timeout_ms)
        if isinstance(acquired, Failure):
            return Failure(ControlError(acquired.failure().reason, refused=True))
        connection = acquired.unwrap()
        parser = ResponseParser(method)
        request = self.encode_request(method, path, body, headers or [])
        is_complete = False
        try:
            is_complete = self.send_request(connection, parser, request, timeout_ms)
        finally:
            if is_complete and parser.is_reusable:
                self.connections.release(connection)
            else:
                self.connections.discard(connection)
        if not is_complete:
            return Failure(ControlError(parser.error or "incomplete response"))
        if parser.status != STATUS_OK:
            return Failure(ControlError(f"status {parser.status}"))
        return Success(parser.pop_body())

    def encode_request(
        self, method: str, path: str, body: bytes, headers: list[tuple[str, str]]
    ) -> bytes:
        """Return the encoded request."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.address}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "\r\n"]).encode() + body

    def send_request(
        self,
        connection: UpstreamConnection,
        parser: ResponseParser,
        request: bytes,
        timeout_ms: int,
    ) -> bool:
        """Send a request; return whether its response completed in time."""
        ends_at_ms = self.clock.now_ms() + timeout_ms
        received_bytes = 0
        try:
            connection.set_timeout(timeout_ms)
            connection.sock.sendall(request)
            while not parser.is_complete and not parser.error:
                data = connection.receive(ends_at_ms - self.clock.now_ms())
                if not data:
                    return False
                received_bytes += len(data)
                if received_bytes > MAX_CONTROL_RESPONSE_BYTES:
                    parser.error = "the response is too large"
                    return False
                parser.feed(data)
        except (OSError, ReadTimeoutError):
            return False
        return parser.is_complete
