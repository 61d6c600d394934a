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

from ..http.handler import AnswerAbortedError
from ..http.messages import Response, problem_response
from .const import DEFAULT_MAX_ATTEMPTS
from .endpoints import Endpoints, Target
from .exchange import Exchange
from .regions import Steering
from .request import ForwardRequest
from .responses import STATUS_UNAVAILABLE, failure_answer, quarantined_answer
from .running import Running, end_of
from .suspects import Suspects

_LOGGER = logging.getLogger(__name__)

STATUS_BAD_REQUEST = 400
NONE_TRIED: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Ended:
    """A failed attempt: the failure point and the endpoint."""

    point: FailurePoint
    endpoint: str = ""


@dataclass(slots=True, frozen=True)
class Held:
    """A request that quarantine blocks for `retry_after_ms`."""

    retry_after_ms: int


class Attempts:
    """Run requests against the endpoints, with retries."""

    __slots__ = ("budget", "clock", "endpoints", "steering", "suspects")

    def __init__(
        self,
        endpoints: Endpoints,
        steering: Steering,
        suspects: Suspects,
        clock: Clock,
    ) -> None:
        self.endpoints = endpoints
        self.steering = steering
        self.suspects = suspects
        self.clock = clock
        self.budget = RetryBudget()

    def run(self, request: ForwardRequest) -> Response | Running:
        """Return the upstream's response, or an error once attempts end."""
        self.budget.on_request(self.clock.now_ms())
        maybe_run = False
        tried = NONE_TRIED
        attempt = 1
        while True:
            result = self.try_next(request, tried)
            if isinstance(result, Running):
                return result
            if isinstance(result, Held):
                return quarantined_answer(request, result.retry_after_ms, maybe_run)
            tried |= {result.endpoint}
            if self.is_free(request, result.point, tried):
                continue
            verdict = self.judge(request, result.point, attempt, maybe_run)
            if not verdict.retry:
                return self.fail(request, result.point, verdict)
            self.budget.try_take(self.clock.now_ms())
            maybe_run = verdict.may_have_run
            attempt += 1

    def is_free(
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
    ) -> Running | Ended | Held:
        """Make one more attempt, if time and an endpoint are left."""
        if request.deadline.has_passed(self.clock.now_ms()):
            return Ended(FailurePoint.DEADLINE_IN_QUEUE)
        wait_ms = self.suspects.check(request)
        if wait_ms is not None:
            return Held(wait_ms)
        lost = self.suspects.lost_upstreams(request)
        target = self.choose(request, tried | lost)
        if target is None:
            return Ended(FailurePoint.NO_UPSTREAM)
        result = self.attempt(request, target)
        if isinstance(result, Running):
            return result
        self.suspects.on_failure(request, target.name, result)
        return Ended(result, target.name)

    def choose(self, request: ForwardRequest, tried: frozenset[str]) -> Target | None:
        """Return the endpoint for the next attempt, preferably untried."""
        for excluded in (tried, NONE_TRIED):
            for region in self.regions(request):
                target = self.endpoints.choose(
                    request.service_name, region, excluded, hold=False
                )
                if target is not None:
                    return target
        return None

    def regions(self, request: ForwardRequest) -> Iterator[str]:
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
            if self.steering.take(request.service_name, region, now_ms):
                request.regions.append(region)
                yield region

    def attempt(
        self, request: ForwardRequest, target: Target
    ) -> Running | FailurePoint:
        """Try one endpoint; return its response or the failure point."""
        left_ms = request.deadline.left_ms(self.clock.now_ms())
        if request.on_trial:
            acquired = target.connections.acquire_new(left_ms)
        else:
            acquired = target.connections.acquire(not request.idempotent, left_ms)
        if isinstance(acquired, Failure):
            reason = acquired.failure().reason
            _LOGGER.info("forward: Connection to %s failed: %s.", target.name, reason)
            target.finish(AttemptOutcome.FAILED, self.clock.now_ms())
            return FailurePoint.DURING_CONNECT
        exchange = Exchange(acquired.unwrap(), request, self.clock)
        running = Running(exchange, target, self.steering, self.clock)
        try:
            point = exchange.run()
        except BaseException:
            running.finish(AttemptOutcome.CANCELLED)
            raise
        if point is None and is_shed(exchange):
            point = FailurePoint.SHED_NOT_RUN
        if point is None:
            return running
        running.finish(end_of(point))
        request.caller_error = exchange.caller_error
        return point

    def judge(
        self,
        request: ForwardRequest,
        point: FailurePoint,
        attempt: int,
        maybe_run: bool,
    ) -> FailureDecision:
        """Return whether to retry a failed attempt, or how to fail."""
        now_ms = self.clock.now_ms()
        may_retry = (
            attempt < DEFAULT_MAX_ATTEMPTS
            and request.body.replayable
            and self.budget.has_token(now_ms)
        )
        return decide_on_failure(
            point,
            request.idempotent,
            request.key is not None,
            may_retry,
            request.deadline.left_ms(now_ms),
            maybe_run,
        )

    def fail(
        self, request: ForwardRequest, point: FailurePoint, verdict: FailureDecision
    ) -> Response:
        """Return the error response for a request that failed.

        Raise AnswerAbortedError if the caller's connection must be closed.
        """
        error = request.caller_error
        if error is not None and error.status != STATUS_BAD_REQUEST:
            return problem_response(
                error.status,
                error.reason,
                outcome=RequestOutcome.UNKNOWN,
                request_id=request.request_id,
            )
        if verdict.abort:
            raise AnswerAbortedError
        return failure_answer(request, point, verdict)


def is_shed(exchange: Exchange) -> bool:
    """Return whether the upstream shed the request without running it."""
    parser = exchange.parser
    if parser.status != STATUS_UNAVAILABLE:
        return False
    return parser.first(HEADER_NOT_RUN.lower()) == "true"
