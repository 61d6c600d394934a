"""Build the heads of forwarded requests and answers."""

from bilberry_balance.placement.upstream import Upstream

from ..forward.headers import filter_headers
from ..http.const import HEADER_CONNECTION, HEADER_CONTENT_LENGTH, HOP_BY_HOP_HEADERS
from ..http.head import RequestHead
from ..http.messages import Headers
from .messages import EntryRequest, HeaderNames

HEADER_ENCODING = "content-encoding"
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
_DROPPED = HOP_BY_HOP_HEADERS | {HEADER_CONTENT_LENGTH}


def encode_request(
    request: EntryRequest,
    upstream: Upstream,
    remaining_ms: int,
    header_names: HeaderNames,
) -> bytes:
    """Return the encoded request for `upstream`, with its body."""
    head = request.head
    dropped = _DROPPED | {
        header_names.timeout.lower(),
        header_names.expected_upstream.lower(),
    }
    lines = [f"{head.method} {head.target} HTTP/1.1"]
    named = head.fields.get(HEADER_CONNECTION, [])
    for name, value in filter_headers(head.headers, named, dropped):
        lines.append(f"{name}: {value}")
    lines.append(f"{header_names.timeout}: {max(1, remaining_ms)}")
    lines.append(f"{header_names.expected_upstream}: {upstream.name}")
    if request.body or _has_body(head):
        lines.append(f"Content-Length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + request.body


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's answer to forward."""
    named = [value for name, value in headers if name.lower() == HEADER_CONNECTION]
    return filter_headers(headers, named, _DROPPED)


def _has_body(head: RequestHead) -> bool:
    if head.chunked or head.content_length is not None:
        return True
    return head.method in BODY_METHODS
