"""Decide what to do when a request or an attempt fails.

`docs/outcomes.md` lists the rules as a table. Times are in ms.
"""

from dataclasses import dataclass
from enum import StrEnum, auto

from bilberry_core.outcome import RequestOutcome

from .const import DEFAULT_RETRY_AFTER_MS, MIN_RETRY_REMAINING_MS

STATUS_BAD_REQUEST = 400
STATUS_TOO_MANY_REQUESTS = 429
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


class FailurePoint(StrEnum):
    """List the points at which a request or an attempt can fail."""

    REFUSED_AT_ENTRY = auto()
    QUARANTINED = auto()
    NO_UPSTREAM = auto()
    QUEUE_SHED = auto()
    RATE_SHED = auto()
    DEADLINE_IN_QUEUE = auto()
    BEFORE_CONNECT = auto()
    DURING_CONNECT = auto()
    PLACEMENT_OUTDATED = auto()
    BEFORE_FIRST_BYTE = auto()
    SHED_NOT_RUN = auto()
    MID_BODY = auto()
    AWAITING_ANSWER = auto()
    MALFORMED_ANSWER = auto()
    MID_ANSWER = auto()
    DEADLINE_AFTER_SEND = auto()
    MID_ANSWER_PASSED_ON = auto()
    DEADLINE_MID_ANSWER = auto()
    CALLER_BODY_CUT = auto()
    CALLER_GONE_BEFORE_SEND = auto()
    CALLER_GONE = auto()


class ExecutionEvidence(StrEnum):
    """List what a failure point proves about the attempt's execution."""

    NOT_RUN = auto()
    MAY_HAVE_RUN = auto()


class KeyAction(StrEnum):
    """List what to do with the request's idempotency key."""

    NONE = auto()
    RELEASE = auto()
    LOSE = auto()


@dataclass(slots=True, frozen=True)
class FailureRule:
    """Define what follows from one failure point.

    `abort` closes the caller's connection instead of sending `status`.
    """

    evidence: ExecutionEvidence
    status: int
    is_retryable: bool = False
    abort: bool = False


@dataclass(slots=True, frozen=True)
class FailureDecision:
    """Represent what the forwarder does after a failure.

    If `retry` is set, the other fields apply only when no retry is made.
    Pass `may_have_run` on to `decide_on_failure` for the next attempt.
    """

    retry: bool
    outcome: RequestOutcome
    status: int
    abort: bool
    may_have_run: bool
    key_action: KeyAction
    retry_after_ms: int | None


FAILURE_RULES = {
    FailurePoint.REFUSED_AT_ENTRY: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_BAD_REQUEST
    ),
    FailurePoint.QUARANTINED: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_UNAVAILABLE
    ),
    FailurePoint.NO_UPSTREAM: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_UNAVAILABLE
    ),
    FailurePoint.QUEUE_SHED: FailureRule(ExecutionEvidence.NOT_RUN, STATUS_UNAVAILABLE),
    FailurePoint.RATE_SHED: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_TOO_MANY_REQUESTS
    ),
    FailurePoint.DEADLINE_IN_QUEUE: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_UNAVAILABLE
    ),
    FailurePoint.BEFORE_CONNECT: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_UNAVAILABLE, is_retryable=True
    ),
    FailurePoint.DURING_CONNECT: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_UNAVAILABLE, is_retryable=True
    ),
    FailurePoint.PLACEMENT_OUTDATED: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_UNAVAILABLE, is_retryable=True
    ),
    FailurePoint.BEFORE_FIRST_BYTE: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_UNAVAILABLE, is_retryable=True
    ),
    FailurePoint.SHED_NOT_RUN: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_UNAVAILABLE, is_retryable=True
    ),
    FailurePoint.MID_BODY: FailureRule(
        ExecutionEvidence.MAY_HAVE_RUN, STATUS_BAD_GATEWAY, is_retryable=True
    ),
    FailurePoint.AWAITING_ANSWER: FailureRule(
        ExecutionEvidence.MAY_HAVE_RUN, STATUS_BAD_GATEWAY, is_retryable=True
    ),
    FailurePoint.MALFORMED_ANSWER: FailureRule(
        ExecutionEvidence.MAY_HAVE_RUN, STATUS_BAD_GATEWAY, is_retryable=True
    ),
    FailurePoint.MID_ANSWER: FailureRule(
        ExecutionEvidence.MAY_HAVE_RUN, STATUS_BAD_GATEWAY, is_retryable=True
    ),
    FailurePoint.DEADLINE_AFTER_SEND: FailureRule(
        ExecutionEvidence.MAY_HAVE_RUN, STATUS_GATEWAY_TIMEOUT
    ),
    FailurePoint.MID_ANSWER_PASSED_ON: FailureRule(
        ExecutionEvidence.MAY_HAVE_RUN, STATUS_BAD_GATEWAY, abort=True
    ),
    FailurePoint.DEADLINE_MID_ANSWER: FailureRule(
        ExecutionEvidence.MAY_HAVE_RUN, STATUS_GATEWAY_TIMEOUT, abort=True
    ),
    FailurePoint.CALLER_BODY_CUT: FailureRule(
        ExecutionEvidence.MAY_HAVE_RUN, STATUS_BAD_REQUEST, abort=True
    ),
    FailurePoint.CALLER_GONE_BEFORE_SEND: FailureRule(
        ExecutionEvidence.NOT_RUN, STATUS_BAD_REQUEST, abort=True
    ),
    FailurePoint.CALLER_GONE: FailureRule(
        ExecutionEvidence.MAY_HAVE_RUN, STATUS_BAD_REQUEST, abort=True
    ),
}


def decide_on_failure(
    failure_point: FailurePoint,
    idempotent: bool,
    has_key: bool,
    has_retry_budget: bool,
    deadline_left_ms: int,
    may_have_run: bool = False,
) -> FailureDecision:
    """Return what to do when an attempt failed at `failure_point`.

    `may_have_run` is set if an earlier attempt of the same request may have
    run, `has_retry_budget` if the retry budget allows one more retry.
    """
    rule = FAILURE_RULES[failure_point]
    may_have_run = may_have_run or rule.evidence is ExecutionEvidence.MAY_HAVE_RUN
    is_safe = idempotent or not may_have_run
    is_in_time = deadline_left_ms >= MIN_RETRY_REMAINING_MS
    retry = rule.is_retryable and is_safe and has_retry_budget and is_in_time
    return FailureDecision(
        retry=retry,
        outcome=RequestOutcome.UNKNOWN if may_have_run else RequestOutcome.NOT_RUN,
        status=_final_status(rule, may_have_run),
        abort=rule.abort,
        may_have_run=may_have_run,
        key_action=_key_action(has_key, may_have_run),
        retry_after_ms=_retry_after(rule, may_have_run),
    )


def _final_status(rule: FailureRule, may_have_run: bool) -> int:
    earlier_may_have_run = rule.evidence is ExecutionEvidence.NOT_RUN and may_have_run
    return STATUS_BAD_GATEWAY if earlier_may_have_run else rule.status


def _key_action(has_key: bool, may_have_run: bool) -> KeyAction:
    if not has_key:
        return KeyAction.NONE
    return KeyAction.LOSE if may_have_run else KeyAction.RELEASE


def _retry_after(rule: FailureRule, may_have_run: bool) -> int | None:
    if may_have_run or rule.status == STATUS_BAD_REQUEST:
        return None
    return DEFAULT_RETRY_AFTER_MS
