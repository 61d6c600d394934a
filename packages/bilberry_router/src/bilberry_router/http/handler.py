"""Handler for the requests of one connection, in sequence."""

import logging
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote_to_bytes

from gevent import pywsgi

from bilberry_core.outcome import Failure, Result

from .body import BodyError, BodyReader
from .connection import Connection, ConnectionLostError, IdleInterruptedError
from .const import (
    BODILESS_STATUSES,
    ENV_CONNECTION,
    ENV_HEAD,
    HEADER_CONNECTION,
    HEADER_CONTENT_LENGTH,
    LAST_CHUNK,
    MAX_JOINED_WRITE_BYTES,
    METHOD_HEAD,
)
from .head import RequestError, RequestHead
from .head_reader import read_head
from .messages import STATUS_LINES, Headers, Response, problem_response

_LOGGER = logging.getLogger(__name__)

PROTOCOL_PREFIX = "HTTP/1."


class ResponseAbortedError(Exception):
    """Raised to make the handler cut the response and close."""


class Handler(pywsgi.WSGIHandler):
    """Parse requests strictly and write their responses.

    A response that cannot be completed is cut, so that the caller never takes
    it for a complete one.
    """

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        self.socket = sock
        self.client_address = address
        self.server = server
        self.connection = Connection(sock, server.clock, server.delivery_bounds)
        self.head: RequestHead | None = None
        self.headers_sent = False
        self.chunked = False
        self.remaining_length: int | None = None
        self.status_line = ""
        self.declared_headers: Headers = []

    def handle(self) -> None:
        """Serve requests until one side closes the connection."""
        self.server.connections.add(self.connection)
        try:
            while self.handle_one_request():
                pass
            self.connection.linger()
        finally:
            self.connection.close()
            self.server.record_close(self.connection)

    def handle_one_request(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            parsed = self.read_head()
        except (ConnectionLostError, OSError):
            return False
        if parsed is None:
            return False
        if isinstance(parsed, Failure):
            self.send_error(parsed.failure())
            return False
        self.server.in_flight += 1
        try:
            return self.serve(parsed.unwrap())
        finally:
            self.server.in_flight -= 1

    def read_head(self) -> Result[RequestHead, RequestError] | None:
        """Return the next request head, None if there is to be none."""
        limits = self.server.limits
        if not self.connection.buffer and not self.wait_idle(limits.idle_timeout_ms):
            return None
        return read_head(
            self.connection, limits.max_header_bytes, limits.header_timeout_ms
        )

    def wait_idle(self, timeout_ms: int) -> bool:
        """Wait for a request; return False at the timeout or a shutdown."""
        try:
            return self.connection.wait_idle(timeout_ms)
        except IdleInterruptedError:
            return self.connection.fill_from_arrived()

    def serve(self, head: RequestHead) -> bool:
        """Answer one request; return whether another may follow."""
        limits = self.server.limits
        if (head.content_length or 0) > limits.max_body_bytes:
            reason = f"the body is over {limits.max_body_bytes} bytes"
            self.send_error(RequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason))
            return False
        self.head = head
        self.headers_sent = False
        self.chunked = False
        self.remaining_length = None
        self.status_line = ""
        self.close_connection = not head.keep_alive or self.server.is_draining
        self.wsgi_input = BodyReader(
            self.connection,
            head,
            limit_bytes=limits.max_body_bytes,
            timeout_ms=limits.body_timeout_ms,
        )
        self.environ = self.get_environ()
        self.application = self.server.application
        self.result = None
        self.handle_one_response()
        if self.connection.is_aborted or not self.wsgi_input.is_complete:
            return False
        return not self.close_connection

    def handle_one_response(self) -> None:
        """Run the application and turn its exceptions into responses."""
        try:
            self.run_application()
        except BodyError as error:
            self.end_with_error(RequestError(error.status, error.reason))
        except ResponseAbortedError:
            self.cut_response()
        except (ConnectionLostError, OSError):
            self.connection.abort()
        except Exception:
            _LOGGER.exception("http: Request failed.")
            self.end_with_error(
                RequestError(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error")
            )

    def end_with_error(self, error: RequestError) -> None:
        """Send an error response, or cut the one that has begun."""
        if self.headers_sent:
            self.cut_response()
        else:
            self.send_error(error)

    def cut_response(self) -> None:
        """End an incomplete response so that it can't look complete.

        Only where its framing doesn't show that is the connection reset, as
        earlier responses may still be unread.
        """
        self.close_connection = True
        shows_end = self.chunked or self.remaining_length
        if self.headers_sent and not shows_end:
            self.connection.abort()

    def send_error(self, error: RequestError) -> None:
        """Send an error response and close the connection."""
        self.close_connection = True
        self.head = None
        response = problem_response(error.status, error.reason)
        self.send(response)

    def send(self, response: Response) -> None:
        """Write a complete response; ignore that the caller has gone."""
        length = str(len(response.body))
        headers = [*response.headers, ("Content-Length", length)]
        try:
            self.start_response(STATUS_LINES[response.status], headers)
            self.write(response.body)
        except (ResponseAbortedError, OSError):
            self.connection.abort()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of the current request."""
        head = self.head
        assert head is not None
        environ: dict[str, Any] = self.server.get_environ()
        environ["REQUEST_METHOD"] = head.method
        environ["SCRIPT_NAME"] = ""
        path, _, query = head.target.partition("?")
        if "%" in path:
            path = unquote_to_bytes(path).decode("latin-1")
        environ["PATH_INFO"] = path
        environ["QUERY_STRING"] = query
        environ["SERVER_PROTOCOL"] = f"{PROTOCOL_PREFIX}{head.minor_version}"
        environ["REMOTE_ADDR"] = self.client_address[0]
        environ["REMOTE_PORT"] = str(self.client_address[1])
        for name, values in head.fields.items():
            environ[_environ_name(name)] = ",".join(values)
        environ["wsgi.input"] = self.wsgi_input
        environ["wsgi.input_terminated"] = True
        environ[ENV_HEAD] = head
        environ[ENV_CONNECTION] = self.connection
        return environ

    def start_response(
        self, status: str, headers: Headers, exc_info: Any = None
    ) -> Any:
        """Store the response head until the first part of the body."""
        assert not self.headers_sent, "the response head was already sent"
        self.status_line = status
        self.declared_headers = headers
        return self.write

    def process_result(self) -> None:
        """Write the body from the application and check its length.

        Raise ResponseAbortedError if it is shorter than its Content-Length.
        """
        parts: Iterable[bytes] = self.result or ()
        for data in parts:
            if data:
                self.write(data)
        if not self.headers_sent:
            self.write(b"")
        if self.chunked:
            self.connection.send_all(LAST_CHUNK)
        if self.remaining_length:
            raise ResponseAbortedError

    def write(self, data: bytes) -> None:
        """Write a part of the body, preceded by the head if it is the first.

        Raise ResponseAbortedError if the body exceeds its Content-Length.
        """
        head = b"" if self.headers_sent else self.build_response_head()
        if self.remaining_length is not None:
            if len(data) > self.remaining_length:
                raise ResponseAbortedError
            self.remaining_length -= len(data)
        elif self.chunked and data:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        elif self.has_no_body():
            data = b""
        if head and len(data) > MAX_JOINED_WRITE_BYTES:
            self.connection.send_all(head)
            head = b""
        self.connection.send_all(head + data if head else data)

    def has_no_body(self) -> bool:
        """Return whether the method or status rules out a body."""
        if self.head is not None and self.head.method == METHOD_HEAD:
            return True
        return int(self.status_line[:3]) in BODILESS_STATUSES

    def build_response_head(self) -> bytes:
        """Return the response head and choose the framing of the body."""
        self.headers_sent = True
        lines = [f"HTTP/1.1 {self.status_line}"]
        length: int | None = None
        for name, value in self.declared_headers:
            assert "\n" not in value and "\r" not in value, f"line break in {name}"
            lines.append(f"{name}: {value}")
            lower_name = name.lower()
            if lower_name == HEADER_CONTENT_LENGTH:
                length = int(value)
            elif lower_name == HEADER_CONNECTION:
                self.close_connection = True
        if not self.has_no_body():
            self.choose_body_framing(length, lines)
        if self.has_unread_body() or self.server.is_draining:
            self.close_connection = True
        if self.close_connection:
            lines.append("Connection: close")
        elif self.head is not None and self.head.minor_version == 0:
            lines.append("Connection: keep-alive")
        lines.append("\r\n")
        return "\r\n".join(lines).encode("latin-1")

    def choose_body_framing(self, length: int | None, lines: list[str]) -> None:
        """Choose how the end of the body is marked.

        That is by its length, by chunked encoding, or by closing.
        """
        if length is not None:
            self.remaining_length = length
        elif self.head is None or self.head.minor_version == 1:
            self.chunked = True
            lines.append("Transfer-Encoding: chunked")
        else:
            self.close_connection = True

    def has_unread_body(self) -> bool:
        """Return whether a part of the request body is unread."""
        return self.head is not None and not self.wsgi_input.is_complete


def _environ_name(name: str) -> str:
    upper = name.upper().replace("-", "_")
    if upper in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        return upper
    return f"HTTP_{upper}"
