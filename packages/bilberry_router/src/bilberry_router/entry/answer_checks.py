"""Classify the answers of upstreams."""

from http import HTTPStatus

from bilberry_balance.outcomes import FailurePoint

from .connections import ExchangeOutcome
from .heads import HEADER_ENCODING
from .messages import HeaderNames

STATUS_OK = range(200, 300)


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
    if parser.status == HTTPStatus.MISDIRECTED_REQUEST:
        return FailurePoint.SHED_NOT_RUN
    if parser.first(header_names.not_run.lower()) is not None:
        return FailurePoint.SHED_NOT_RUN
    if parser.first(header_names.digest.lower()) is None:
        return FailurePoint.MALFORMED_ANSWER
    if parser.first(header_names.request_id.lower()) is None:
        return FailurePoint.MALFORMED_ANSWER
    if parser.first(HEADER_ENCODING) is not None and parser.status in STATUS_OK:
        return FailurePoint.MALFORMED_ANSWER
    return None


def is_server_error(outcome: ExchangeOutcome) -> bool:
    """Return whether an upstream answered with a server error."""
    parser = outcome.parser
    return parser is not None and parser.status >= HTTPStatus.INTERNAL_SERVER_ERROR
