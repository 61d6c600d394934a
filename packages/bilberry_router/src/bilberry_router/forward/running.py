"""Own an attempt whose answer is being passed on."""

from collections.abc import Callable, Iterator

from bilberry_balance.endpoint import AttemptOutcome
from bilberry_balance.outcomes import FailurePoint
from bilberry_core.clock import Clock
from bilberry_steering.routes import RequestResult

from ..http.handler import ResponseAbortedError
from .endpoints import Target
from .exchange import Exchange
from .regions import Steering

FIRST_ERROR_STATUS = 500

ENDS = {
    FailurePoint.SHED_NOT_RUN: AttemptOutcome.SHED,
    FailurePoint.DEADLINE_AFTER_SEND: AttemptOutcome.TIMED_OUT,
    FailurePoint.DEADLINE_MID_ANSWER: AttemptOutcome.TIMED_OUT,
    FailurePoint.DEADLINE_IN_QUEUE: AttemptOutcome.CANCELLED,
    FailurePoint.CALLER_BODY_CUT: AttemptOutcome.CANCELLED,
    FailurePoint.CALLER_GONE: AttemptOutcome.CANCELLED,
    FailurePoint.CALLER_GONE_BEFORE_SEND: AttemptOutcome.CANCELLED,
}
UNRECORDED_ENDS = frozenset({AttemptOutcome.CANCELLED, AttemptOutcome.SHED})


def end_of(point: FailurePoint) -> AttemptOutcome:
    """Return how an attempt ended for its endpoint."""
    return ENDS.get(point, AttemptOutcome.FAILED)


class Running:
    """Own one attempt at an endpoint until it ends."""

    __slots__ = ("clock", "ended", "exchange", "on_end", "steering", "target")

    def __init__(
        self, exchange: Exchange, target: Target, steering: Steering, clock: Clock
    ) -> None:
        self.exchange = exchange
        self.target = target
        self.steering = steering
        self.clock = clock
        self.ended: AttemptOutcome | None = None
        self.on_end: Callable[[Running], None] | None = None

    @property
    def latency_ms(self) -> int:
        """Return the time since the attempt began."""
        return self.clock.now_ms() - self.target.started_ms

    def finish(self, end: AttemptOutcome) -> None:
        """Give the connection back or close it; count the end, once."""
        if self.ended is not None:
            return
        self.ended = end
        self.exchange.end()
        connections = self.target.connections
        if self.exchange.is_named:
            connections.names_requests = True
        if self.exchange.reusable:
            connections.release(self.exchange.connection)
        else:
            connections.discard(self.exchange.connection)
        if self.exchange.parser.leftover:
            connections.distrust()
        self.target.finish(end, self.clock.now_ms())
        if end not in UNRECORDED_ENDS:
            self.record(end)
        if self.on_end is not None:
            self.on_end(self)

    def record(self, end: AttemptOutcome) -> None:
        """Tell the steering what became of the attempt."""
        request = self.exchange.request
        assert request.route is not None, "a request is routed before its attempts"
        status = self.exchange.parser.status
        result = RequestResult(
            service=request.service_name,
            group=request.route.group,
            region=self.target.region,
            ok=end is AttemptOutcome.ANSWERED and status < FIRST_ERROR_STATUS,
            latency_ms=self.latency_ms,
            request_bytes=self.exchange.sent_bytes,
            response_bytes=self.exchange.received_bytes,
        )
        self.steering.record(result, self.clock.wall_ms())


class AnswerStream:
    """Pass an answer on as it comes; abort when it is cut."""

    __slots__ = ("on_close", "running")

    def __init__(self, running: Running, on_close: Callable[[], None]) -> None:
        self.running = running
        self.on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        exchange = self.running.exchange
        parser = exchange.parser
        while True:
            data = parser.take_parts()
            if parser.complete:
                self.running.finish(AttemptOutcome.ANSWERED)
            if data:
                yield data
            if parser.complete:
                return
            point = exchange.receive()
            if point is not None:
                self.running.finish(end_of(point))
                raise ResponseAbortedError

    def close(self) -> None:
        """End the request; called by the server in every case."""
        self.running.finish(AttemptOutcome.CANCELLED)
        self.on_close()
