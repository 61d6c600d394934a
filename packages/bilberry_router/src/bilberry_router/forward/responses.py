"""Build the responses to forwarded requests."""

from bilberry_balance.outcomes import FailureDecision, FailurePoint
from bilberry_core.const import (
    HEADER_OUTCOME,
    HEADER_REGION,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
    HEADER_UPSTREAM,
    MS_PER_SECOND,
)
from bilberry_core.outcome import RequestOutcome

from ..http.const import HEADER_CONTENT_LENGTH, METHOD_HEAD
from ..http.messages import Headers, Response, problem_response
from .active_attempt import ActiveAttempt
from .headers import response_headers
from .request import ForwardRequest

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
TITLE_QUARANTINED = "request quarantined"

FAILURE_DETAILS = {
    FailurePoint.NO_UPSTREAM: "no upstream can take the request",
    FailurePoint.DEADLINE_IN_QUEUE: "no time was left to run the request",
    FailurePoint.QUEUE_SHED: "the queue is too long for the time left",
    FailurePoint.BEFORE_FIRST_BYTE: "the upstream closed before the request",
    FailurePoint.DURING_CONNECT: "no connection to the upstream",
    FailurePoint.SHED_NOT_RUN: "the upstream shed the request",
    FailurePoint.MID_BODY: "the upstream closed during the request",
    FailurePoint.AWAITING_ANSWER: "the upstream closed before its answer",
    FailurePoint.MALFORMED_ANSWER: "the upstream's answer was malformed",
    FailurePoint.MID_ANSWER: "the upstream's answer was cut short",
    FailurePoint.DEADLINE_AFTER_SEND: "the upstream did not answer in time",
}


def retry_after_header(retry_after_ms: int) -> tuple[str, str]:
    """Return the Retry-After header, in seconds rounded up."""
    return HEADER_RETRY_AFTER, str(-(-retry_after_ms // MS_PER_SECOND))


def shed_response(
    request: ForwardRequest, reason: str, retry_after_ms: int
) -> Response:
    """Return the response to a request that was shed before it ran."""
    return problem_response(
        STATUS_UNAVAILABLE,
        reason,
        request_id=request.request_id,
        headers=[retry_after_header(retry_after_ms)],
    )


def quarantine_response(
    request: ForwardRequest, retry_after_ms: int, may_have_run: bool
) -> Response:
    """Return the response to a request that may have crashed upstreams."""
    return problem_response(
        STATUS_BAD_GATEWAY if may_have_run else STATUS_UNAVAILABLE,
        "upstreams died while they ran this request",
        title=TITLE_QUARANTINED,
        request_id=request.request_id,
        headers=[retry_after_header(retry_after_ms)],
    )


def failure_response(
    request: ForwardRequest, point: FailurePoint, decision: FailureDecision
) -> Response:
    """Return the error response for a request that failed at `point`."""
    headers = []
    if decision.retry_after_ms is not None:
        headers.append(retry_after_header(decision.retry_after_ms))
    return problem_response(
        decision.status,
        FAILURE_DETAILS.get(point, point.value),
        outcome=decision.outcome,
        request_id=request.request_id,
        headers=headers,
    )


def response_head(attempt: ActiveAttempt) -> tuple[str, Headers]:
    """Return the status line and headers of an upstream's response."""
    parser = attempt.exchange.parser
    request = attempt.exchange.request
    headers = response_headers(parser.headers)
    length = parser.first(HEADER_CONTENT_LENGTH)
    if length is None and parser.is_complete and request.method != METHOD_HEAD:
        length = str(len(parser.body))
    if length is not None:
        headers.append(("Content-Length", length))
    headers += [
        (HEADER_OUTCOME, RequestOutcome.RUN.value),
        (HEADER_UPSTREAM, attempt.endpoint.name),
        (HEADER_REGION, attempt.endpoint.region),
        (HEADER_REQUEST_ID, request.request_id),
    ]
    return f"{parser.status} {parser.reason}", headers
