"""Filter the headers of forwarded requests and responses."""

import re

from bilberry_core.clock import Clock
from bilberry_core.const import (
    HEADER_IDEMPOTENCY_REPLAYED,
    HEADER_OUTCOME,
    HEADER_REGION,
    HEADER_REQUEST_ID,
    HEADER_REQUEST_TIMEOUT,
    HEADER_UPSTREAM,
)
from bilberry_core.ids import new_uuid7

from ..http.head import RequestHead, connection_options
from ..http.messages import Headers
from .const import (
    HEADER_CONNECTION,
    HEADER_CONTENT_LENGTH,
    HEADER_FORWARDED_FOR,
    HOP_BY_HOP_HEADERS,
    MAX_REQUEST_ID_LENGTH,
)

_REQUEST_ID = re.compile(r"[\x21-\x7e]+")
_NEVER_NAMED = frozenset({"host", HEADER_CONTENT_LENGTH})
_REPLACED_IN_REQUEST = frozenset(
    {
        HEADER_CONTENT_LENGTH,
        HEADER_FORWARDED_FOR.lower(),
        HEADER_REQUEST_ID.lower(),
        HEADER_REQUEST_TIMEOUT.lower(),
    }
)
_REPLACED_IN_ANSWER = frozenset(
    {
        HEADER_CONTENT_LENGTH,
        HEADER_IDEMPOTENCY_REPLAYED.lower(),
        HEADER_OUTCOME.lower(),
        HEADER_REGION.lower(),
        HEADER_REQUEST_ID.lower(),
        HEADER_UPSTREAM.lower(),
    }
)
_DROPPED_IN_REQUEST = HOP_BY_HOP_HEADERS | _REPLACED_IN_REQUEST
_DROPPED_IN_ANSWER = HOP_BY_HOP_HEADERS | _REPLACED_IN_ANSWER


def request_headers(head: RequestHead, client: str, request_id: str) -> Headers:
    """Return the headers to forward, without length and timeout."""
    named = head.fields.get(HEADER_CONNECTION, [])
    headers = end_to_end(head.headers, named, _DROPPED_IN_REQUEST)
    hops = head.fields.get(HEADER_FORWARDED_FOR.lower(), [])
    headers.append((HEADER_FORWARDED_FOR, ", ".join([*hops, client])))
    headers.append((HEADER_REQUEST_ID, request_id))
    return headers


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's response to forward."""
    named = [value for name, value in headers if name.lower() == HEADER_CONNECTION]
    return end_to_end(headers, named, _DROPPED_IN_ANSWER)


def request_id_of(head: RequestHead, clock: Clock) -> str:
    """Return the caller's request id, or a new one."""
    given = head.first(HEADER_REQUEST_ID.lower())
    if given is None or len(given) > MAX_REQUEST_ID_LENGTH:
        return new_uuid7(clock)
    return given if _REQUEST_ID.fullmatch(given) else new_uuid7(clock)


def end_to_end(headers: Headers, named: list[str], dropped: frozenset[str]) -> Headers:
    """Return the headers without `dropped` and those in `named`.

    `named` holds the values of the Connection header.
    """
    if named:
        dropped = dropped | (connection_options(named) - _NEVER_NAMED)
    return [(name, value) for name, value in headers if name.lower() not in dropped]
