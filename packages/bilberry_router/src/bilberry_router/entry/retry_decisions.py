"""Decide whether a request gets another attempt after one that failed."""

from bilberry_balance.outcomes import FailureDecision, FailurePoint, decide_on_failure
from bilberry_balance.placement.processing_times import Warmth

from .active_request import ActiveRequest
from .state import EntryState

# After these the upstream got nothing, so that another attempt is no retry.
UNSENT_POINTS = frozenset(
    {FailurePoint.DURING_CONNECT, FailurePoint.PLACEMENT_OUTDATED}
)


class RetryDecisions:
    """Grant attempts within the route's limit, the deadline and the budget."""

    __slots__ = ("state",)

    def __init__(self, state: EntryState) -> None:
        self.state = state

    def may_retry_error(self, active: ActiveRequest) -> bool:
        """Return whether to retry after a server error of an upstream."""
        if not active.idempotent:
            return False
        if not _has_attempts_left(active) or active.request.caller_gone:
            return False
        now_ms = self.state.clock.now_ms()
        processing_times = self.state.processing_times(active.rule, active.service)
        if active.remaining_ms(now_ms) < processing_times.expected_ms(Warmth.KNOWN):
            return False
        return self.state.retry_budget(active.service).try_take(now_ms)

    def decide(self, active: ActiveRequest, point: FailurePoint) -> FailureDecision:
        """Decide between a retry and an answer after a failed attempt.

        Without a socket to connect with, no other upstream can be tried.
        """
        now_ms = self.state.clock.now_ms()
        budget = self.state.retry_budget(active.service)
        granted = point in UNSENT_POINTS or budget.has_retry(now_ms)
        may_connect = point is not FailurePoint.BEFORE_CONNECT
        return decide_on_failure(
            point,
            active.idempotent,
            has_key=False,
            has_retry_budget=granted and may_connect and _has_attempts_left(active),
            deadline_left_ms=active.remaining_ms(now_ms),
            may_have_run=active.may_have_run,
        )

    def record_retry(self, active: ActiveRequest, point: FailurePoint) -> None:
        """Count an attempt that follows a failure at `point`."""
        if point not in UNSENT_POINTS:
            budget = self.state.retry_budget(active.service)
            budget.try_take(self.state.clock.now_ms())


def _has_attempts_left(active: ActiveRequest) -> bool:
    """Return whether the route allows another attempt."""
    return active.attempts < active.max_attempts
