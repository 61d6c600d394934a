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

from ..http.const import HEADER_CONTENT_LENGTH
from ..http.head import RequestHead
from ..http.header_filter import filter_headers
from ..http.messages import Headers
from .const import HEADER_FORWARDED_FOR, MAX_REQUEST_ID_LENGTH

_REQUEST_ID_PATTERN = re.compile(r"[\x21-\x7e]+")
_REPLACED_IN_REQUEST = frozenset(
    {
        HEADER_CONTENT_LENGTH,
        HEADER_FORWARDED_FOR.lower(),
        HEADER_REQUEST_ID.lower(),
        HEADER_REQUEST_TIMEOUT.lower(),
    }
)
_REPLACED_IN_RESPONSE = frozenset(
    {
        HEADER_CONTENT_LENGTH,
        HEADER_IDEMPOTENCY_REPLAYED.lower(),
        HEADER_OUTCOME.lower(),
        HEADER_REGION.lower(),
        HEADER_REQUEST_ID.lower(),
        HEADER_UPSTREAM.lower(),
    }
)


def request_headers(head: RequestHead, client_ip: str, request_id: str) -> Headers:
    """Return the headers to forward, without length and timeout."""
    headers = filter_headers(head.headers, _REPLACED_IN_REQUEST)
    hops = head.fields.get(HEADER_FORWARDED_FOR.lower(), [])
    headers.append((HEADER_FORWARDED_FOR, ", ".join([*hops, client_ip])))
    headers.append((HEADER_REQUEST_ID, request_id))
    return headers


def response_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's response to forward."""
    return filter_headers(headers, _REPLACED_IN_RESPONSE)


def get_request_id(head: RequestHead, clock: Clock) -> str:
    """Return the caller's request id, or a new one."""
    given = head.first(HEADER_REQUEST_ID.lower())
    if given is None or len(given) > MAX_REQUEST_ID_LENGTH:
        return new_uuid7(clock)
    return given if _REQUEST_ID_PATTERN.fullmatch(given) else new_uuid7(clock)
