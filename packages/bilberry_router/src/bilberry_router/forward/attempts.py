"""Try endpoints until one answers or nothing more may be tried."""

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
from .answers import STATUS_UNAVAILABLE, failure_answer, quarantined_answer
from .const import DEFAULT_MAX_ATTEMPTS
from .endpoints import Endpoints, Target
from .exchange import Exchange
from .regions import Steering
from .request import ForwardRequest
from .running import Running, end_of
from .suspects import Suspects

_LOGGER = logging.getLogger(__name__)

STATUS_BAD_REQUEST = 400
NONE_TRIED: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Ended:
    """Tell where an attempt ended, and at which endpoint."""

    point: FailurePoint
    endpoint: str = ""


@dataclass(slots=True, frozen=True)
class Held:
    """Tell that the request may not be tried for some time."""

    retry_after_ms: int


class Attempts:
    """Run the attempts at requests over the node's pools."""

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
        """Return an upstream's answer, or ours once nothing else is left."""
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
        """Tell whether the next attempt costs no upstream any work.

        That holds for a failed connect while an endpoint is untried.
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
        """Return the endpoint to use, an untried one if there is any."""
        for excluded in (tried, NONE_TRIED):
            for region in self.regions(request):
                target = self.endpoints.choose(
                    request.service_name, region, excluded, hold=False
                )
                if target is not None:
                    return target
        return None

    def regions(self, request: ForwardRequest) -> Iterator[str]:
        """Yield the regions drawn for, then draw for further ones."""
        yield from list(request.regions)
        route = request.route
        assert route is not None, "a request is routed before its attempts"
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
        """Try one endpoint; return its answer or where it ended."""
        left_ms = request.deadline.left_ms(self.clock.now_ms())
        if request.on_trial:
            dialled = target.connections.acquire_new(left_ms)
        else:
            dialled = target.connections.acquire(not request.idempotent, left_ms)
        if isinstance(dialled, Failure):
            reason = dialled.failure().reason
            _LOGGER.info("forward: No connection to %s: %s.", target.name, reason)
            target.finish(AttemptOutcome.FAILED, self.clock.now_ms())
            return FailurePoint.DURING_CONNECT
        exchange = Exchange(dialled.unwrap(), request, self.clock)
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
        """Return what follows after a failed attempt."""
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
        """Return the answer for a request that no upstream answered."""
        error = request.caller_error
        if error is not None and error.status != STATUS_BAD_REQUEST:
            return problem_response(
                error.status,
                error.reason,
                outcome=RequestOutcome.UNKNOWN,
                request_id=request.request_id,
            )
        if verdict.abort:
            raise ResponseAbortedError
        return failure_answer(request, point, verdict)


def is_shed(exchange: Exchange) -> bool:
    """Tell whether the upstream proved that it did not run the request."""
    parser = exchange.parser
    if parser.status != STATUS_UNAVAILABLE:
        return False
    return parser.first(HEADER_NOT_RUN.lower()) == "true"
