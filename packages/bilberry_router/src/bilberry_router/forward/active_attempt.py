"""Attempts at endpoints and the streaming of their responses."""

from collections.abc import Callable, Iterator

from bilberry_balance.endpoint import AttemptOutcome
from bilberry_balance.outcomes import FailurePoint
from bilberry_core.clock import Clock
from bilberry_steering.routing_results import RequestResult

from ..http.handler import ResponseAbortedError
from .endpoints import SelectedEndpoint
from .exchange import Exchange
from .steering import Steering

FIRST_ERROR_STATUS = 500

ATTEMPT_OUTCOMES = {
    FailurePoint.SHED_NOT_RUN: AttemptOutcome.SHED,
    FailurePoint.DEADLINE_AFTER_SEND: AttemptOutcome.TIMED_OUT,
    FailurePoint.DEADLINE_MID_ANSWER: AttemptOutcome.TIMED_OUT,
    FailurePoint.DEADLINE_IN_QUEUE: AttemptOutcome.CANCELLED,
    FailurePoint.CALLER_BODY_CUT: AttemptOutcome.CANCELLED,
    FailurePoint.CALLER_GONE: AttemptOutcome.CANCELLED,
    FailurePoint.CALLER_GONE_BEFORE_SEND: AttemptOutcome.CANCELLED,
}
UNRECORDED_OUTCOMES = frozenset({AttemptOutcome.CANCELLED, AttemptOutcome.SHED})


def attempt_outcome(point: FailurePoint) -> AttemptOutcome:
    """Return the outcome of an attempt that failed at `point`."""
    return ATTEMPT_OUTCOMES.get(point, AttemptOutcome.FAILED)


class ActiveAttempt:
    """An attempt at an endpoint that has a connection."""

    __slots__ = ("clock", "endpoint", "exchange", "on_end", "outcome", "steering")

    def __init__(
        self,
        exchange: Exchange,
        endpoint: SelectedEndpoint,
        steering: Steering,
        clock: Clock,
    ) -> None:
        self.exchange = exchange
        self.endpoint = endpoint
        self.steering = steering
        self.clock = clock
        self.outcome: AttemptOutcome | None = None
        self.on_end: Callable[[ActiveAttempt], None] | None = None

    @property
    def latency_ms(self) -> int:
        """Return the time since the attempt started."""
        return self.clock.now_ms() - self.endpoint.started_at_ms

    def finish(self, outcome: AttemptOutcome) -> None:
        """Release or close the connection and record the outcome, once."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self.exchange.stop()
        connections = self.endpoint.connections
        if self.exchange.is_id_confirmed:
            connections.sends_request_id = True
        if self.exchange.is_reusable:
            connections.release(self.exchange.connection)
        else:
            connections.discard(self.exchange.connection)
        if self.exchange.parser.has_excess_bytes:
            connections.stop_reuse()
        self.endpoint.finish(outcome, self.clock.now_ms())
        if outcome not in UNRECORDED_OUTCOMES:
            self.record(outcome)
        if self.on_end is not None:
            self.on_end(self)

    def record(self, outcome: AttemptOutcome) -> None:
        """Report the attempt's result to the steering."""
        request = self.exchange.request
        assert request.route is not None, "request has no route"
        status = self.exchange.parser.status
        result = RequestResult(
            service=request.service_name,
            group=request.route.group,
            region=self.endpoint.region,
            ok=outcome is AttemptOutcome.ANSWERED and status < FIRST_ERROR_STATUS,
            latency_ms=self.latency_ms,
            request_bytes=self.exchange.sent_bytes,
            response_bytes=self.exchange.received_bytes,
        )
        self.steering.record_result(result, self.clock.wall_ms())


class ResponseStream:
    """Stream a response to the caller; abort if the upstream fails."""

    __slots__ = ("attempt", "on_response_closed")

    def __init__(
        self, attempt: ActiveAttempt, on_response_closed: Callable[[], None]
    ) -> None:
        self.attempt = attempt
        self.on_response_closed = on_response_closed

    def __iter__(self) -> Iterator[bytes]:
        exchange = self.attempt.exchange
        parser = exchange.parser
        while True:
            data = parser.pop_body()
            if parser.is_complete:
                self.attempt.finish(AttemptOutcome.ANSWERED)
            if data:
                yield data
            if parser.is_complete:
                return
            point = exchange.receive()
            if point is not None:
                self.attempt.finish(attempt_outcome(point))
                raise ResponseAbortedError

    def close(self) -> None:
        """Finish the attempt; the server always calls this."""
        self.attempt.finish(AttemptOutcome.CANCELLED)
        self.on_response_closed()
