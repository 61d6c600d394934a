"""Serve one caller's connection; pipelined requests run concurrently."""

import logging
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import gevent
from gevent.event import Event

from bilberry_balance.placement.admission import spread_retry_after_ms
from bilberry_core.clock import Clock
from bilberry_core.outcome import Failure
from bilberry_resources.routing import CallerLimits

from ..http.body import BodyError, BodyReader
from ..http.connection import (
    Connection,
    ConnectionLostError,
    IdleInterruptedError,
)
from ..http.const import MAX_JOINED_WRITE_BYTES
from ..http.delivery import DeliveryBounds
from ..http.head import RequestError, RequestHead
from ..http.head_reader import read_head
from ..http.unread_closes import UnreadCloses
from .answer_memory import AnswerMemory, HeldAnswer
from .answers import refusal_answer
from .caller_exchange import Exchange, Handler, encode_answer
from .caller_refusals import CallerLimit, limit_of_status
from .const import (
    BODY_TIMEOUT_MS,
    CLOSE_LINGER_MS,
    GONE_MS,
    MAX_PIPELINED,
    REFUSED_BODY_LINGER_MS,
    REFUSED_BODY_RETRY_MS,
)
from .messages import EntryAnswer, EntryRequest, local_answer
from .request_body import read_body, unread_bytes
from .request_memory import HeldBody, RequestMemory

_LOGGER = logging.getLogger(__name__)


class CallerConnection:
    """Serve one accepted connection; answers are written in order."""

    __slots__ = (
        "answer_memory",
        "answer_ready",
        "clock",
        "connection",
        "handler",
        "has_served",
        "is_closing",
        "is_draining",
        "is_reading",
        "is_writing",
        "limits",
        "on_refusal",
        "pending",
        "refused_body_bytes",
        "request_memory",
        "unread_closes",
    )

    def __init__(
        self,
        sock: Any,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        clock: Clock,
        answer_memory: AnswerMemory,
        request_memory: RequestMemory,
        on_refusal: Callable[[CallerLimit], None],
        unread_closes: UnreadCloses,
    ) -> None:
        self.connection = Connection(sock, clock, self.delivery_bounds)
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.answer_memory = answer_memory
        self.request_memory = request_memory
        self.on_refusal = on_refusal
        self.unread_closes = unread_closes
        self.refused_body_bytes = 0
        self.pending: deque[Exchange] = deque()
        self.answer_ready = Event()
        self.is_reading = False
        self.has_served = False
        self.is_writing = False
        self.is_closing = False
        self.is_draining = False

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return self.is_reading or bool(self.pending)

    @property
    def is_ending(self) -> bool:
        """Return whether no request may follow but the caller may read on."""
        return self.is_closing or (self.is_draining and self.has_served)

    @property
    def has_unread_data(self) -> bool:
        """Return whether a caller has sent something that isn't read yet."""
        return not self.is_closing and self.connection.has_unread_data()

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while not self.is_closing and self.serve_next():
                pass
            self.wait_for_answers(0)
            self.close_gracefully()
        except (ConnectionLostError, OSError):
            self.notify_requests()
            self.wait_for_write()
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection; record what its caller had yet to take."""
        self.connection.close()
        self.unread_closes.record(self.connection.delivery, self.delivery_bounds())

    def drain(self) -> None:
        """Close the connection when no request is being read or answered.

        A connection without any request so far stays open, as its first
        request may be on its way.
        """
        self.is_draining = True
        if self.has_served and not self.is_busy:
            self.connection.interrupt_idle()

    def delivery_bounds(self) -> DeliveryBounds:
        """Return how long the caller may take to read its answers."""
        return DeliveryBounds(
            GONE_MS, self.limits().idle_timeout_ms, self.answer_memory.is_short
        )

    def serve_next(self) -> bool:
        """Read and start the next request; return False to stop reading."""
        parsed = self.read_head()
        if parsed is None or self.is_closing:
            return False
        if isinstance(parsed, RequestError):
            self.reject(parsed)
            return False
        if not self.handler.may_overlap(parsed):
            self.wait_for_answers(0)
            if self.is_closing:
                return False
        held_body = HeldBody(self.request_memory)
        request = None
        try:
            request = self.read_request(parsed, held_body)
        finally:
            if request is None:
                held_body.release()
        if request is None:
            return False
        if self.is_closing:
            held_body.release()
            return False
        exchange = Exchange(request, HeldAnswer(self.answer_memory), held_body)
        self.pending.append(exchange)
        self.is_reading = False
        self.has_served = True
        gevent.spawn(self.answer, exchange)
        self.wait_for_answers(MAX_PIPELINED - 1)
        return parsed.keep_alive

    def read_head(self) -> RequestHead | RequestError | None:
        """Return the next head, or None if the connection is to be closed."""
        while not self.connection.buffer:
            if not self.wait_for_data():
                return None
        self.is_reading = True
        limits = self.limits()
        parsed = read_head(
            self.connection, limits.max_header_bytes, limits.header_timeout_ms
        )
        return parsed.failure() if isinstance(parsed, Failure) else parsed.unwrap()

    def wait_for_data(self) -> bool:
        """Wait for data; return False if the connection is to be closed."""
        self.is_reading = False
        if self.is_closing:
            return False
        if self.is_draining and self.has_served and not self.pending:
            return self.connection.fill_from_arrived()
        try:
            has_data = self.connection.wait_idle(
                self.limits().idle_timeout_ms, lambda: bool(self.pending)
            )
        except IdleInterruptedError:
            return not self.is_closing and self.connection.fill_from_arrived()
        return has_data and not self.is_closing

    def read_request(self, head: RequestHead, held: HeldBody) -> EntryRequest | None:
        """Return the request with its whole body, or None if refused."""
        if not head.chunked and not head.content_length:
            return EntryRequest(head, b"", self.clock.now_ms())
        limits = self.limits()
        if (head.content_length or 0) > limits.max_body_bytes:
            self.reject(_body_too_large(limits))
            return None
        reader = BodyReader(
            self.connection,
            head,
            limit_bytes=limits.max_body_bytes,
            timeout_ms=BODY_TIMEOUT_MS,
        )
        try:
            body = read_body(reader, held)
        except BodyError as error:
            held.release()
            self.reject(RequestError(error.status, error.reason))
            return None
        if body is None:
            held.release()
            self.refuse_body(head, unread_bytes(reader))
            return None
        return EntryRequest(head, body, self.clock.now_ms())

    def answer(self, exchange: Exchange) -> None:
        """Handle one request, then write the answers that are due."""
        try:
            exchange.answer = self.handler.handle(exchange.request)
        except Exception:
            _LOGGER.exception("entry: Error while handling a request.")
            exchange.answer = local_answer(HTTPStatus.BAD_GATEWAY, "internal error")
        finally:
            exchange.request.body = b""
            exchange.held_body.release()
        exchange.held.add(len(exchange.answer.body))
        self.write_ready_answers()

    def write_ready_answers(self) -> None:
        """Write the finished answers at the head of the queue."""
        if self.is_writing:
            return
        self.is_writing = True
        try:
            while self.pending and self.pending[0].answer is not None:
                if not self.is_closing:
                    self.write_or_abort(self.pending[0])
                self.pending.popleft().held.release()
                self.answer_ready.set()
        finally:
            self.is_writing = False

    def write_or_abort(self, exchange: Exchange) -> None:
        """Write one answer; if that fails, reset the connection."""
        try:
            self.write(exchange)
        except OSError:
            self.is_closing = True
            self.notify_requests()
            self.connection.abort()
            self.close()

    def write(self, exchange: Exchange) -> None:
        """Write one answer, with `Connection: close` on the last."""
        answer, head = exchange.answer, exchange.request.head
        assert answer is not None
        is_last = len(self.pending) == 1 and not self.is_reading
        close = answer.close or not head.keep_alive or (self.is_draining and is_last)
        self.send(*encode_answer(answer, head, close))
        if close:
            self.shut_down_writing()

    def send(self, head: bytes, body: bytes) -> None:
        """Send an answer; a long body isn't copied to join it to the head."""
        if len(body) > MAX_JOINED_WRITE_BYTES:
            self.connection.send_all(head)
            self.connection.send_all(body)
        else:
            self.connection.send_all(head + body)

    def shut_down_writing(self) -> None:
        """Shut down the sending side; the caller then closes its own."""
        self.is_closing = True
        for exchange in list(self.pending)[1:]:
            exchange.request.mark_caller_gone()
        try:
            self.connection.shut_down_writing()
        except OSError:
            return
        self.connection.interrupt_idle()

    def wait_for_write(self) -> None:
        """Wait until no answer is being written.

        A caller that has shut down its sending side may still read one.
        """
        while self.is_writing:
            self.answer_ready.clear()
            self.answer_ready.wait()

    def wait_for_answers(self, max_pending: int) -> None:
        """Wait until at most `max_pending` requests are unanswered."""
        if len(self.pending) <= max_pending:
            return
        if not self.connection.is_aborted:
            self.connection.watch(self.notify_requests)
        while len(self.pending) > max_pending:
            self.answer_ready.clear()
            self.answer_ready.wait()
        self.connection.unwatch()

    def reject(self, error: RequestError) -> None:
        """Answer an invalid request with an error and close."""
        self.on_refusal(limit_of_status(error.status))
        self.answer_unread(local_answer(error.status, error.reason))

    def refuse_body(self, head: RequestHead, unread_bytes: int) -> None:
        """Refuse a request whose body can't be held, and close.

        Up to `unread_bytes` are then discarded, as a caller may send all of
        its body before it reads the refusal.
        """
        self.request_memory.refused_count += 1
        self.on_refusal(CallerLimit.MEMORY)
        self.refused_body_bytes = unread_bytes
        # The headers tell requests apart, also without the name of their id.
        retry_after_ms = spread_retry_after_ms(REFUSED_BODY_RETRY_MS, str(head.headers))
        self.answer_unread(refusal_answer("no memory for the body", retry_after_ms))
        self.is_reading = False

    def answer_unread(self, answer: EntryAnswer) -> None:
        """Answer a request that wasn't read whole, and close."""
        self.wait_for_answers(0)
        if self.is_closing:
            return
        head = RequestHead("GET", "/", 1, [], keep_alive=False)
        request = EntryRequest(head, b"", self.clock.now_ms())
        held = HeldAnswer(self.answer_memory)
        held_body = HeldBody(self.request_memory)
        self.pending.append(Exchange(request, held, held_body, answer))
        self.write_ready_answers()

    def close_gracefully(self) -> None:
        """Close gracefully, so that a reset can't cut the last answer."""
        self.is_closing = True
        if self.refused_body_bytes > 0:
            self.connection.linger(REFUSED_BODY_LINGER_MS, self.refused_body_bytes)
        else:
            self.connection.linger(CLOSE_LINGER_MS)

    def notify_requests(self) -> None:
        """Notify the requests in progress that the caller is gone."""
        for exchange in list(self.pending):
            exchange.request.mark_caller_gone()


def _body_too_large(limits: CallerLimits) -> RequestError:
    reason = f"the body is over {limits.max_body_bytes} bytes"
    return RequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason)
