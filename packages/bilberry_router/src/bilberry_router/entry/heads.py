"""Build the heads of forwarded requests and answers."""

from bilberry_balance.placement.upstream import Upstream

from ..http.const import HEADER_AUTHORIZATION, HEADER_CONTENT_LENGTH
from ..http.head import RequestHead
from ..http.header_filter import filter_headers
from ..http.messages import Headers
from .messages import EntryRequest, HeaderNames

HEADER_ENCODING = "content-encoding"
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
_REPLACED = frozenset({HEADER_CONTENT_LENGTH})


def encode_request_head(
    request: EntryRequest,
    upstream: Upstream,
    remaining_ms: int,
    header_names: HeaderNames,
    workspace: str | None = None,
) -> bytes:
    """Return the encoded head of the request for `upstream`.

    With a `workspace`, empty if it has none, the key isn't sent, and what the
    caller said of its workspace is replaced.
    """
    head = request.head
    replaced = _REPLACED | {
        header_names.timeout.lower(),
        header_names.expected_upstream.lower(),
    }
    if workspace is not None:
        replaced |= {HEADER_AUTHORIZATION, header_names.workspace.lower()}
    lines = [f"{head.method} {head.target} HTTP/1.1"]
    for name, value in filter_headers(head.headers, replaced):
        lines.append(f"{name}: {value}")
    lines.append(f"{header_names.timeout}: {max(1, remaining_ms)}")
    lines.append(f"{header_names.expected_upstream}: {upstream.name}")
    if workspace:
        lines.append(f"{header_names.workspace}: {workspace}")
    if request.body or _has_body(head):
        lines.append(f"Content-Length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's answer to forward."""
    return filter_headers(headers, _REPLACED)


def _has_body(head: RequestHead) -> bool:
    if head.chunked or head.content_length is not None:
        return True
    return head.method in BODY_METHODS
