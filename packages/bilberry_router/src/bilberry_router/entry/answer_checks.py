"""Classify the answers of upstreams."""

from http import HTTPStatus

from bilberry_balance.outcomes import FailurePoint

from ..http.response_parser import ResponseParser
from .attempt import ExchangeOutcome
from .heads import HEADER_ENCODING
from .messages import HeaderNames

STATUS_OK = range(200, 300)
# The upstream may have crashed while it ran the request.
LOST_ANSWER_POINTS = frozenset({FailurePoint.AWAITING_ANSWER, FailurePoint.MID_ANSWER})


def answer_failure_point(
    outcome: ExchangeOutcome, header_names: HeaderNames
) -> FailurePoint | None:
    """Return why an answer can't be forwarded, or None if it can.

    Only a statement of the upstream, or of the one that took over its
    address, proves that the request didn't run.
    """
    parser = outcome.parser
    if outcome.point is not None or parser is None:
        return outcome.point
    if is_refusal(parser, header_names):
        if belongs_to_request(outcome, parser, header_names):
            return FailurePoint.SHED_NOT_RUN
        return FailurePoint.MALFORMED_ANSWER
    if parser.first(header_names.digest.lower()) is None:
        return FailurePoint.MALFORMED_ANSWER
    if parser.first(header_names.request_id.lower()) != parser.request_id:
        return FailurePoint.MALFORMED_ANSWER
    if parser.first(HEADER_ENCODING) is not None and parser.status in STATUS_OK:
        return FailurePoint.MALFORMED_ANSWER
    return None


def is_refusal(parser: ResponseParser, header_names: HeaderNames) -> bool:
    """Return whether an answer says that a request didn't run."""
    if parser.status == HTTPStatus.MISDIRECTED_REQUEST:
        return True
    return parser.first(header_names.not_run.lower()) is not None


def belongs_to_request(
    outcome: ExchangeOutcome, parser: ResponseParser, header_names: HeaderNames
) -> bool:
    """Return whether a refusal is surely about the request just sent.

    Without an id it may be an earlier refusal that is sent once more, unless
    its connection carried no other request.
    """
    if parser.has_excess_bytes:
        return False
    request_id = parser.first(header_names.request_id.lower())
    if request_id is None:
        return outcome.is_first_use
    return request_id == parser.request_id


def is_server_error(outcome: ExchangeOutcome) -> bool:
    """Return whether an upstream answered with a server error."""
    parser = outcome.parser
    return parser is not None and parser.status >= HTTPStatus.INTERNAL_SERVER_ERROR
