"""Send one request on one connection and receive its response."""

import logging

import gevent
from gevent import Greenlet

from bilberry_balance.outcomes import FailurePoint
from bilberry_core.clock import Clock
from bilberry_core.const import HEADER_REQUEST_ID, HEADER_REQUEST_TIMEOUT

from ..http.body import BodyError
from ..http.const import HEADER_CONTENT_LENGTH, LAST_CHUNK
from ..http.receive import ReadTimeoutError
from ..http.response_parser import ResponseParser
from .const import RESPONSE_BUFFER_BYTES
from .request import ForwardRequest
from .transport import UpstreamConnection

_LOGGER = logging.getLogger(__name__)


class Exchange:
    """One request and response on an upstream connection."""

    __slots__ = (
        "caller_error",
        "clock",
        "connection",
        "has_foreign_response",
        "has_sent_all",
        "has_sent_any",
        "is_id_confirmed",
        "parser",
        "received_bytes",
        "request",
        "send_failed",
        "send_greenlet",
        "sent_bytes",
    )

    def __init__(
        self, connection: UpstreamConnection, request: ForwardRequest, clock: Clock
    ) -> None:
        self.connection = connection
        self.request = request
        self.clock = clock
        self.parser = ResponseParser(request.method)
        self.send_greenlet: Greenlet | None = None
        self.caller_error: BodyError | None = None
        self.send_failed = False
        self.has_sent_any = False
        self.is_id_confirmed = False
        self.has_foreign_response = False
        self.has_sent_all = False
        self.sent_bytes = 0
        self.received_bytes = 0

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        if self.send_failed or self.has_foreign_response:
            return False
        return self.parser.is_reusable and self.has_sent_all

    def run(self) -> FailurePoint | None:
        """Send the request and receive the start of the response.

        Return None once the head has arrived, and the entire body if it
        is short; otherwise the point at which the attempt failed.
        """
        request = self.request
        if request.caller_gone:
            return FailurePoint.CALLER_GONE_BEFORE_SEND
        if self.time_left_ms() <= 0:
            return FailurePoint.DEADLINE_IN_QUEUE
        if request.body.is_fully_buffered:
            request.connection.watch(self.on_disconnect)
        if not self.send_buffered():
            return FailurePoint.BEFORE_FIRST_BYTE
        while not self.parser.is_head_complete or self.is_buffering():
            point = self.receive()
            if point is not None:
                return point
        return self.check_response()

    def send_buffered(self) -> bool:
        """Send the head and buffered body; False if nothing was sent."""
        body = self.request.body
        data = self.encode_head() + self.frame(body.prefix)
        if body.is_fully_buffered:
            data += self.body_terminator()
        self.connection.set_timeout(self.time_left_ms())
        try:
            sent = self.connection.sock.send(data)
            self.has_sent_any = True
            self.request.has_sent = True
            self.sent_bytes = len(data)
            if sent < len(data):
                self.connection.sock.sendall(memoryview(data)[sent:])
        except OSError:
            self.send_failed = True
            return self.has_sent_any
        if body.is_fully_buffered:
            self.has_sent_all = True
        else:
            self.send_greenlet = gevent.spawn(self.stream_body)
        return True

    def stream_body(self) -> None:
        """Stream the rest of the body; runs in its own greenlet."""
        request = self.request
        try:
            while data := request.body.read_rest():
                request.extend_deadline(self.clock.now_ms())
                self.connection.set_timeout(self.time_left_ms())
                self.connection.sock.sendall(self.frame(data))
                self.sent_bytes += len(data)
            if self.body_terminator():
                self.connection.sock.sendall(self.body_terminator())
        except BodyError as error:
            self.caller_error = error
            self.connection.shut_down()
        except OSError:
            self.send_failed = True
        else:
            self.has_sent_all = True
            request.connection.watch(self.on_disconnect)

    def receive(self) -> FailurePoint | None:
        """Receive once; return the point of failure, None on success."""
        left_ms = self.time_left_ms()
        if left_ms <= 0:
            return self.deadline_failure_point()
        try:
            data = self.connection.receive(left_ms)
        except ReadTimeoutError:
            return None
        except OSError:
            data = b""
        if not data:
            return self.closed_failure_point()
        self.received_bytes += len(data)
        body_bytes, chunks = self.parser.body_bytes, self.parser.chunk_count
        self.parser.feed(data)
        self.connection.work_budget.consume(0, self.parser.chunk_count - chunks)
        if self.parser.error:
            _LOGGER.info("forward: Malformed response: %s.", self.parser.error)
            return FailurePoint.MALFORMED_ANSWER
        if self.parser.is_complete or self.parser.body_bytes > body_bytes:
            self.request.extend_deadline(self.clock.now_ms())
        return None

    def is_buffering(self) -> bool:
        """Return whether to buffer more of a short response."""
        if self.parser.is_complete:
            return False
        length = self.parser.first(HEADER_CONTENT_LENGTH)
        return length is not None and int(length) <= RESPONSE_BUFFER_BYTES

    def check_response(self) -> FailurePoint | None:
        """Reject a response that belongs to another request.

        A missing id is accepted unless the upstream sent one before.
        """
        response_id = self.parser.first(HEADER_REQUEST_ID.lower())
        if response_id is None and not self.connection.expects_request_id:
            return None
        self.is_id_confirmed = response_id == self.request.request_id
        if self.is_id_confirmed:
            return None
        self.has_foreign_response = True
        _LOGGER.warning("forward: Dropped response to another request.")
        return FailurePoint.MALFORMED_ANSWER

    def on_disconnect(self) -> None:
        """Cancel the request at the upstream as the caller disconnected.

        Runs in the gevent hub, so it must not block.
        """
        self.request.caller_gone = True
        self.connection.shut_down()

    def stop(self) -> None:
        """Stop the sender and the watch for the caller's disconnect."""
        self.request.connection.unwatch()
        if self.send_greenlet is not None:
            self.send_greenlet.kill()
            self.send_greenlet = None

    def time_left_ms(self) -> int:
        """Return the time until the request's deadline."""
        return self.request.deadline.left_ms(self.clock.now_ms())

    def closed_failure_point(self) -> FailurePoint:
        """Return the failure point for a closed upstream connection."""
        if self.request.caller_gone:
            return FailurePoint.CALLER_GONE
        if self.caller_error is not None:
            return FailurePoint.CALLER_BODY_CUT
        if self.parser.has_started:
            return FailurePoint.MID_ANSWER
        if not self.has_sent_all:
            return FailurePoint.MID_BODY
        return FailurePoint.AWAITING_ANSWER

    def deadline_failure_point(self) -> FailurePoint:
        """Return the failure point for an expired deadline."""
        return FailurePoint.DEADLINE_AFTER_SEND

    def encode_head(self) -> bytes:
        """Return the encoded request head for the upstream."""
        request = self.request
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request.headers]
        left_ms = request.deadline.forwarded_ms(self.clock.now_ms()) or 1
        lines.append(f"{HEADER_REQUEST_TIMEOUT}: {left_ms}")
        if self.is_chunked():
            lines.append("Transfer-Encoding: chunked")
        elif request.head.content_length is not None or request.body.prefix:
            length = request.head.content_length
            if length is None:
                length = len(request.body.prefix)
            lines.append(f"Content-Length: {length}")
        lines.append("\r\n")
        return "\r\n".join(lines).encode("latin-1")

    def is_chunked(self) -> bool:
        """Return whether the body is sent with chunked encoding."""
        return self.request.head.chunked and not self.request.body.is_fully_buffered

    def frame(self, data: bytes) -> bytes:
        """Return a part of the body, framed as a chunk if needed."""
        if self.is_chunked() and data:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return data

    def body_terminator(self) -> bytes:
        """Return the last chunk, empty for a body that isn't chunked."""
        return LAST_CHUNK if self.is_chunked() else b""
