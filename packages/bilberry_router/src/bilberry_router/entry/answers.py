"""Build the final answers that a node gives or passes on."""

from http import HTTPStatus

from bilberry_balance.outcomes import Verdict
from bilberry_core.const import HEADER_RETRY_AFTER, MS_PER_SECOND

from .heads import answer_headers
from .links import Outcome
from .messages import EntryAnswer, own_answer

LEAVING_RETRY_MS = 50


def refusal_answer(detail: str, retry_after_ms: int) -> EntryAnswer:
    """Return the answer to a request that has not run and never will."""
    seconds = f"{retry_after_ms / MS_PER_SECOND:.3f}"
    headers = [(HEADER_RETRY_AFTER, seconds)]
    return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, detail, headers)


def leaving_answer() -> EntryAnswer:
    """Return the answer to a request that this node can't end in time."""
    answer = refusal_answer("this node is leaving", LEAVING_RETRY_MS)
    answer.close = True
    return answer


def final_answer(outcome: Outcome, verdict: Verdict) -> EntryAnswer:
    """Return the node's own answer after a failed attempt."""
    assert outcome.point is not None
    detail = f"{outcome.point.value} {outcome.reason}".strip()
    if verdict.retry_after_ms is not None:
        return refusal_answer(detail, verdict.retry_after_ms)
    return own_answer(verdict.status, detail)


def passed_on(outcome: Outcome) -> EntryAnswer:
    """Return an upstream's whole answer as it goes to the caller."""
    parser = outcome.parser
    assert parser is not None
    headers = answer_headers(parser.headers)
    return EntryAnswer(parser.status, headers, outcome.body, parser.reason)
