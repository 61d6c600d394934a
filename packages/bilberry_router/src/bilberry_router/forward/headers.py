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

from ..http.const import HEADER_CONNECTION, HEADER_CONTENT_LENGTH, HOP_BY_HOP_HEADERS
from ..http.head import RequestHead, connection_options
from ..http.messages import Headers
from .const import HEADER_FORWARDED_FOR, MAX_REQUEST_ID_LENGTH

_REQUEST_ID_PATTERN = re.compile(r"[\x21-\x7e]+")
_NEVER_HOP_BY_HOP = frozenset({"host", HEADER_CONTENT_LENGTH})
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
_DROPPED_IN_REQUEST = HOP_BY_HOP_HEADERS | _REPLACED_IN_REQUEST
_DROPPED_IN_RESPONSE = HOP_BY_HOP_HEADERS | _REPLACED_IN_RESPONSE


def request_headers(head: RequestHead, client_ip: str, request_id: str) -> Headers:
    """Return the headers to forward, without length and timeout."""
    connection_values = head.fields.get(HEADER_CONNECTION, [])
    headers = filter_headers(head.headers, connection_values, _DROPPED_IN_REQUEST)
    hops = head.fields.get(HEADER_FORWARDED_FOR.lower(), [])
    headers.append((HEADER_FORWARDED_FOR, ", ".join([*hops, client_ip])))
    headers.append((HEADER_REQUEST_ID, request_id))
    return headers


def response_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's response to forward."""
    connection_values = [
        value for name, value in headers if name.lower() == HEADER_CONNECTION
    ]
    return filter_headers(headers, connection_values, _DROPPED_IN_RESPONSE)


def get_request_id(head: RequestHead, clock: Clock) -> str:
    """Return the caller's request id, or a new one."""
    given = head.first(HEADER_REQUEST_ID.lower())
    if given is None or len(given) > MAX_REQUEST_ID_LENGTH:
        return new_uuid7(clock)
    return given if _REQUEST_ID_PATTERN.fullmatch(given) else new_uuid7(clock)


def filter_headers(
    headers: Headers, connection_values: list[str], dropped: frozenset[str]
) -> Headers:
    """Return the headers without `dropped` and those in `connection_values`.

    `connection_values` holds the values of the Connection header.
    """
    if connection_values:
        dropped = dropped | (connection_options(connection_values) - _NEVER_HOP_BY_HOP)
    return [(name, value) for name, value in headers if name.lower() not in dropped]
