"""Decide what to do when a request or an attempt fails.

`docs/outcomes.md` lists the rules as a table. Times are in ms.
"""

from dataclasses import dataclass
from enum import StrEnum, auto

from bilberry_core.outcome import RequestOutcome

from .const import DEFAULT_RETRY_AFTER_MS, MIN_RETRY_LEFT_MS

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


class Proof(StrEnum):
    """List what a failure point proves about the attempt's execution."""

    NOT_RUN = auto()
    MAY_HAVE_RUN = auto()


class KeyAction(StrEnum):
    """List what to do with the request's idempotency key."""

    NONE = auto()
    RELEASE = auto()
    LOSE = auto()


@dataclass(slots=True, frozen=True)
class Rule:
    """Define what follows from one failure point.

    `abort` closes the caller's connection instead of sending `status`.
    """

    proof: Proof
    status: int
    retryable: bool = False
    abort: bool = False


@dataclass(slots=True, frozen=True)
class Verdict:
    """Tell the forwarder what to do after a failure.

    If `retry` is set, the other fields apply only when no retry is made.
    Pass `maybe_run` on to `judge` for the next attempt.
    """

    retry: bool
    outcome: RequestOutcome
    status: int
    abort: bool
    maybe_run: bool
    key_action: KeyAction
    retry_after_ms: int | None


RULES = {
    FailurePoint.REFUSED_AT_ENTRY: Rule(Proof.NOT_RUN, STATUS_BAD_REQUEST),
    FailurePoint.QUARANTINED: Rule(Proof.NOT_RUN, STATUS_UNAVAILABLE),
    FailurePoint.NO_UPSTREAM: Rule(Proof.NOT_RUN, STATUS_UNAVAILABLE),
    FailurePoint.QUEUE_SHED: Rule(Proof.NOT_RUN, STATUS_UNAVAILABLE),
    FailurePoint.RATE_SHED: Rule(Proof.NOT_RUN, STATUS_TOO_MANY_REQUESTS),
    FailurePoint.DEADLINE_IN_QUEUE: Rule(Proof.NOT_RUN, STATUS_UNAVAILABLE),
    FailurePoint.BEFORE_CONNECT: Rule(
        Proof.NOT_RUN, STATUS_UNAVAILABLE, retryable=True
    ),
    FailurePoint.DURING_CONNECT: Rule(
        Proof.NOT_RUN, STATUS_UNAVAILABLE, retryable=True
    ),
    FailurePoint.BEFORE_FIRST_BYTE: Rule(
        Proof.NOT_RUN, STATUS_UNAVAILABLE, retryable=True
    ),
    FailurePoint.SHED_NOT_RUN: Rule(Proof.NOT_RUN, STATUS_UNAVAILABLE, retryable=True),
    FailurePoint.MID_BODY: Rule(Proof.MAY_HAVE_RUN, STATUS_BAD_GATEWAY, retryable=True),
    FailurePoint.AWAITING_ANSWER: Rule(
        Proof.MAY_HAVE_RUN, STATUS_BAD_GATEWAY, retryable=True
    ),
    FailurePoint.MALFORMED_ANSWER: Rule(
        Proof.MAY_HAVE_RUN, STATUS_BAD_GATEWAY, retryable=True
    ),
    FailurePoint.MID_ANSWER: Rule(
        Proof.MAY_HAVE_RUN, STATUS_BAD_GATEWAY, retryable=True
    ),
    FailurePoint.DEADLINE_AFTER_SEND: Rule(Proof.MAY_HAVE_RUN, STATUS_GATEWAY_TIMEOUT),
    FailurePoint.MID_ANSWER_PASSED_ON: Rule(
        Proof.MAY_HAVE_RUN, STATUS_BAD_GATEWAY, abort=True
    ),
    FailurePoint.DEADLINE_MID_ANSWER: Rule(
        Proof.MAY_HAVE_RUN, STATUS_GATEWAY_TIMEOUT, abort=True
    ),
    FailurePoint.CALLER_BODY_CUT: Rule(
        Proof.MAY_HAVE_RUN, STATUS_BAD_REQUEST, abort=True
    ),
    FailurePoint.CALLER_GONE_BEFORE_SEND: Rule(
        Proof.NOT_RUN, STATUS_BAD_REQUEST, abort=True
    ),
    FailurePoint.CALLER_GONE: Rule(Proof.MAY_HAVE_RUN, STATUS_BAD_REQUEST, abort=True),
}


def judge(
    point: FailurePoint,
    idempotent: bool,
    keyed: bool,
    budget_left: bool,
    deadline_left_ms: int,
    maybe_run: bool = False,
) -> Verdict:
    """Return what to do when an attempt failed at `point`.

    `maybe_run` is set if an earlier attempt of the same request may have
    run, `budget_left` if the retry budget allows one more retry.
    """
    rule = RULES[point]
    maybe_run = maybe_run or rule.proof is Proof.MAY_HAVE_RUN
    safe = idempotent or not maybe_run
    in_time = deadline_left_ms >= MIN_RETRY_LEFT_MS
    retry = rule.retryable and safe and budget_left and in_time
    return Verdict(
        retry=retry,
        outcome=RequestOutcome.UNKNOWN if maybe_run else RequestOutcome.NOT_RUN,
        status=_final_status(rule, maybe_run),
        abort=rule.abort,
        maybe_run=maybe_run,
        key_action=_key_action(keyed, maybe_run),
        retry_after_ms=_retry_after(rule, maybe_run),
    )


def _final_status(rule: Rule, maybe_run: bool) -> int:
    unproven = rule.proof is Proof.NOT_RUN and maybe_run
    return STATUS_BAD_GATEWAY if unproven else rule.status


def _key_action(keyed: bool, maybe_run: bool) -> KeyAction:
    if not keyed:
        return KeyAction.NONE
    return KeyAction.LOSE if maybe_run else KeyAction.RELEASE


def _retry_after(rule: Rule, maybe_run: bool) -> int | None:
    if maybe_run or rule.status == STATUS_BAD_REQUEST:
        return None
    return DEFAULT_RETRY_AFTER_MS
