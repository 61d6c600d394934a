"""Try endpoints until one responds or no further attempt is allowed."""

import logging
from collections.abc import Iterator
from dataclasses import dataclass

from bilberry_balance.endpoint import AttemptOutcome
from bilberry_balance.outcomes import FailureDecision, FailurePoint, decide_on_failure
from bilberry_balance.retry import RetryBudget
from bilberry_core.clock import Clock
from bilberry_core.const import HEADER_NOT_RUN
from bilberry_core.outcome import Failure, RequestOutcome

from ..http.handler import ResponseAbortedError
from ..http.messages import Response, problem_response
from .active_attempt import ActiveAttempt, attempt_outcome
from .const import DEFAULT_MAX_ATTEMPTS
from .endpoints import Endpoints, SelectedEndpoint
from .exchange import Exchange
from .request import ForwardRequest
from .responses import STATUS_UNAVAILABLE, failure_response, quarantine_response
from .steering import Steering
from .suspects import SuspectTracker

_LOGGER = logging.getLogger(__name__)

STATUS_BAD_REQUEST = 400
NO_ENDPOINTS: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class FailedAttempt:
    """A failed attempt: the failure point and the endpoint."""

    point: FailurePoint
    endpoint: str = ""


@dataclass(slots=True, frozen=True)
class QuarantinedRequest:
    """A request that quarantine blocks for `retry_after_ms`."""

    retry_after_ms: int


class AttemptRunner:
    """Run requests against the endpoints, with retries."""

    __slots__ = ("budget", "clock", "endpoints", "steering", "suspects")

    def __init__(
        self,
        endpoints: Endpoints,
        steering: Steering,
        suspects: SuspectTracker,
        clock: Clock,
    ) -> None:
        self.endpoints = endpoints
        self.steering = steering
        self.suspects = suspects
        self.clock = clock
        self.budget = RetryBudget()

    def run(self, request: ForwardRequest) -> Response | ActiveAttempt:
        """Return the upstream's response, or an error once attempts end."""
        self.budget.on_request(self.clock.now_ms())
        may_have_run = False
        tried = NO_ENDPOINTS
        attempt_number = 1
        while True:
            result = self.try_next(request, tried)
            if isinstance(result, ActiveAttempt):
                return result
            if isinstance(result, QuarantinedRequest):
                return quarantine_response(request, result.retry_after_ms, may_have_run)
            tried |= {result.endpoint}
            if self.is_free_retry(request, result.point, tried):
                continue
            decision = self.decide_retry(
                request, result.point, attempt_number, may_have_run
            )
            if not decision.retry:
                return self.respond_to_failure(request, result.point, decision)
            self.budget.try_take(self.clock.now_ms())
            may_have_run = decision.may_have_run
            attempt_number += 1

    def is_free_retry(
        self, request: ForwardRequest, point: FailurePoint, tried: frozenset[str]
    ) -> bool:
        """Return whether the next attempt needs no retry token.

        A failed connect caused no work at an upstream, so it isn't counted
        as an attempt as long as an endpoint is untried.
        """
        if point is not FailurePoint.DURING_CONNECT:
            return False
        return self.endpoints.has_untried(request.service_name, request.regions, tried)

    def try_next(
        self, request: ForwardRequest, tried: frozenset[str]
    ) -> ActiveAttempt | FailedAttempt | QuarantinedRequest:
        """Make one more attempt, if time and an endpoint are left."""
        if request.deadline.has_passed(self.clock.now_ms()):
            return FailedAttempt(FailurePoint.DEADLINE_IN_QUEUE)
        wait_ms = self.suspects.check(request)
        if wait_ms is not None:
            return QuarantinedRequest(wait_ms)
        crashed = self.suspects.upstreams_to_avoid(request)
        endpoint = self.choose(request, tried | crashed)
        if endpoint is None:
            return FailedAttempt(FailurePoint.NO_UPSTREAM)
        result = self.run_attempt(request, endpoint)
        if isinstance(result, ActiveAttempt):
            return result
        self.suspects.on_failure(request, endpoint.name, result)
        return FailedAttempt(result, endpoint.name)

    def choose(
        self, request: ForwardRequest, tried: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return the endpoint for the next attempt, preferably untried."""
        for excluded in (tried, NO_ENDPOINTS):
            for region in self.iter_regions(request):
                endpoint = self.endpoints.choose(
                    request.service_name, region, excluded, may_wait=False
                )
                if endpoint is not None:
                    return endpoint
        return None

    def iter_regions(self, request: ForwardRequest) -> Iterator[str]:
        """Yield the request's regions, then alternatives with free quota.

        Taking a further region consumes its quota and adds it to the
        request's regions.
        """
        yield from list(request.regions)
        route = request.route
        assert route is not None, "request has no route"
        now_ms = self.clock.wall_ms()
        for region in route.alternatives:
            if region in request.regions:
                continue
            if self.steering.take_quotas(request.service_name, region, now_ms):
                request.regions.append(region)
                yield region

    def run_attempt(
        self, request: ForwardRequest, endpoint: SelectedEndpoint
    ) -> ActiveAttempt | FailurePoint:
        """Try one endpoint; return its response or the failure point."""
        left_ms = request.deadline.left_ms(self.clock.now_ms())
        if request.is_trial or needs_new_connection(request, endpoint):
            acquired = endpoint.connections.acquire_new(left_ms)
        else:
            acquired = endpoint.connections.acquire(not request.is_idempotent, left_ms)
        if isinstance(acquired, Failure):
            reason = acquired.failure().reason
            _LOGGER.info("forward: Connection to %s failed: %s.", endpoint.name, reason)
            endpoint.finish(AttemptOutcome.FAILED, self.clock.now_ms())
            return FailurePoint.DURING_CONNECT
        exchange = Exchange(acquired.unwrap(), request, self.clock)
        attempt = ActiveAttempt(exchange, endpoint, self.steering, self.clock)
        try:
            point = exchange.run()
        except BaseException:
            attempt.finish(AttemptOutcome.CANCELLED)
            raise
        if point is None and is_refusal(exchange):
            point = refusal_point(exchange)
        if point is None:
            return attempt
        attempt.finish(attempt_outcome(point))
        request.caller_error = exchange.caller_error
        return point

    def decide_retry(
        self,
        request: ForwardRequest,
        point: FailurePoint,
        attempt_number: int,
        may_have_run: bool,
    ) -> FailureDecision:
        """Return whether to retry a failed attempt, or how to fail."""
        now_ms = self.clock.now_ms()
        may_retry = (
            attempt_number < DEFAULT_MAX_ATTEMPTS
            and request.body.is_replayable
            and self.budget.has_token(now_ms)
        )
        return decide_on_failure(
            point,
            request.is_idempotent,
            request.key is not None,
            may_retry,
            request.deadline.left_ms(now_ms),
            may_have_run,
        )

    def respond_to_failure(
        self, request: ForwardRequest, point: FailurePoint, decision: FailureDecision
    ) -> Response:
        """Return the error response for a request that failed.

        Raise ResponseAbortedError if the caller's connection must be closed.
        """
        error = request.caller_error
        if error is not None and error.status != STATUS_BAD_REQUEST:
            return problem_response(
                error.status,
                error.reason,
                outcome=RequestOutcome.UNKNOWN,
                request_id=request.request_id,
            )
        if decision.abort:
            raise ResponseAbortedError
        return failure_response(request, point, decision)


def needs_new_connection(request: ForwardRequest, endpoint: SelectedEndpoint) -> bool:
    """Return whether a refusal on a used connection would prove nothing.

    An upstream that sends no request ids may repeat an earlier refusal there.
    """
    return not request.is_idempotent and not endpoint.connections.sends_request_id


def refusal_point(exchange: Exchange) -> FailurePoint:
    """Return what a refusal proves about the request just sent.

    Without an id it may be an earlier refusal that is sent once more, unless
    its connection carried no other request.
    """
    is_certain = exchange.is_id_confirmed or not exchange.connection.is_reused
    if is_certain and not exchange.parser.has_excess_bytes:
        return FailurePoint.SHED_NOT_RUN
    return FailurePoint.MALFORMED_ANSWER


def is_refusal(exchange: Exchange) -> bool:
    """Return whether the upstream says that it didn't run the request."""
    parser = exchange.parser
    if parser.status != STATUS_UNAVAILABLE:
        return False
    return parser.first(HEADER_NOT_RUN.lower()) == "true"
