"""Requests and answers as the applications see them."""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

from bilberry_core.const import HEADER_OUTCOME, HEADER_REQUEST_ID
from bilberry_core.outcome import FieldError, Problem, RequestOutcome
from bilberry_resources.codec import encode

from ..const import CONTENT_JSON

Environ = dict[str, Any]
Headers = list[tuple[str, str]]

STATUS_LINES = {
    status.value: f"{status.value} {status.phrase}" for status in HTTPStatus
}
PROBLEM_OUTCOMES = {502: RequestOutcome.UNKNOWN, 504: RequestOutcome.UNKNOWN}


@dataclass(slots=True)
class Response:
    """Hold an answer whose body is known in full."""

    status: int
    body: bytes = b""
    headers: Headers = field(default_factory=list)


def json_response(
    status: int, message: Any, headers: Headers | None = None
) -> Response:
    """Return `message` as a JSON answer."""
    head = [("Content-Type", CONTENT_JSON), *(headers or [])]
    return Response(status, encode(message), head)


def problem_response(
    status: int,
    detail: str,
    *,
    title: str = "",
    outcome: RequestOutcome | None = None,
    request_id: str = "",
    errors: list[FieldError] | None = None,
    headers: Headers | None = None,
) -> Response:
    """Return an answer made by the system itself.

    The outcome is `not-run` unless the status means that it is unknown.
    """
    chosen = outcome or PROBLEM_OUTCOMES.get(status, RequestOutcome.NOT_RUN)
    problem = Problem(
        title=title or HTTPStatus(status).phrase.lower(),
        status=status,
        detail=detail,
        outcome=chosen,
        request_id=request_id,
        errors=errors or [],
    )
    head = [(HEADER_OUTCOME, chosen.value), *(headers or [])]
    if request_id:
        head.append((HEADER_REQUEST_ID, request_id))
    return json_response(status, problem, head)


def query_of(environ: Environ) -> dict[str, str]:
    """Return the query of a request, the last of equal names."""
    return dict(parse_qsl(environ.get("QUERY_STRING", ""), keep_blank_values=True))


def read_body(environ: Environ, limit_bytes: int) -> bytes | None:
    """Return the body of a request, None when it passes the limit."""
    body: bytes = environ["wsgi.input"].read(limit_bytes + 1)
    return None if len(body) > limit_bytes else body


@dataclass(slots=True)
class Prepared:
    """Hold an answer as WSGI takes it; it may be sent many times."""

    status_line: str
    headers: Headers
    body: list[bytes]


def prepare(response: Response) -> Prepared:
    """Return `response` with its length, ready to be sent."""
    headers = [*response.headers, ("Content-Length", str(len(response.body)))]
    return Prepared(STATUS_LINES[response.status], headers, [response.body])


def send(prepared: Prepared, start_response: Any) -> list[bytes]:
    """Send a prepared answer through a WSGI `start_response`."""
    start_response(prepared.status_line, prepared.headers)
    return prepared.body


def respond(response: Response, start_response: Any) -> list[bytes]:
    """Send a whole answer through a WSGI `start_response`."""
    return send(prepare(response), start_response)
