"""Build the final answers to callers."""

from http import HTTPStatus

from bilberry_balance.outcomes import FailureDecision
from bilberry_core.const import HEADER_RETRY_AFTER, MS_PER_SECOND

from .active_request import ActiveRequest
from .attempt import ExchangeOutcome
from .const import NOT_RUN_STATUSES
from .heads import answer_headers
from .messages import EntryAnswer, local_answer

DRAINING_RETRY_MS = 50


def refusal_answer(detail: str, retry_after_ms: int) -> EntryAnswer:
    """Return a 503 answer to a request that has not run."""
    return retry_later_answer(HTTPStatus.SERVICE_UNAVAILABLE, detail, retry_after_ms)


def retry_later_answer(
    status: HTTPStatus, detail: str, retry_after_ms: int
) -> EntryAnswer:
    """Return an answer to a request that has not run, and may come back."""
    seconds = f"{retry_after_ms / MS_PER_SECOND:.3f}"
    return local_answer(status, detail, [(HEADER_RETRY_AFTER, seconds)])


def draining_answer() -> EntryAnswer:
    """Return the answer of a draining node, which closes the connection."""
    answer = refusal_answer("this node is leaving", DRAINING_RETRY_MS)
    answer.close = True
    return answer


def unplaced_answer(
    active: ActiveRequest, reason: str, retry_after_ms: int
) -> EntryAnswer:
    """Return the final answer if no upstream could be selected."""
    if active.upstream_error is not None:
        return active.upstream_error
    if active.may_have_run:
        return local_answer(HTTPStatus.BAD_GATEWAY, "the answer was lost")
    return refusal_answer(reason, retry_after_ms)


def failure_answer(
    outcome: ExchangeOutcome, decision: FailureDecision, retry_after_ms: int
) -> EntryAnswer:
    """Return this node's answer after a failed attempt.

    The caller may retry after `retry_after_ms` if nothing has run.
    """
    assert outcome.point is not None
    detail = f"{outcome.point.value} {outcome.reason}".strip()
    if decision.retry_after_ms is not None:
        return refusal_answer(detail, retry_after_ms)
    return local_answer(decision.status, detail)


def forwarded_answer(outcome: ExchangeOutcome) -> EntryAnswer:
    """Return an upstream's complete answer, to be sent to the caller.

    A status that promises "not run" is replaced, as the upstream's answer
    doesn't prove it.
    """
    parser = outcome.parser
    assert parser is not None
    if parser.status in NOT_RUN_STATUSES:
        return local_answer(HTTPStatus.BAD_GATEWAY, "the upstream proved nothing")
    headers = answer_headers(parser.headers)
    return EntryAnswer(parser.status, headers, outcome.body, parser.reason)
