"""Strict parser for request heads.

A head that two servers could frame differently is rejected, which prevents
request smuggling.
"""

import re
from dataclasses import dataclass, field

from bilberry_core.outcome import Failure, Result, Success

from .const import (
    CODING_CHUNKED,
    END_OF_LINE,
    EXPECT_CONTINUE,
    HEADER_CONNECTION,
    HEADER_CONTENT_LENGTH,
    HEADER_EXPECT,
    HEADER_HOST,
    HEADER_TRANSFER_ENCODING,
    MAX_LENGTH_DIGITS,
)

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST_LINE = re.compile(rb"(" + _TOKEN + rb") ([\x21\x24-\x7e]+) HTTP/1\.([01])")
_HEADER = re.compile(
    rb"(" + _TOKEN + rb"):[ \t]*((?:[\x21-\x7e\x80-\xff]"
    rb"(?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?)[ \t]*"
)
_ABSOLUTE = re.compile(r"https?://[^/?]+", re.IGNORECASE)

STATUS_BAD_REQUEST = 400


@dataclass(slots=True, frozen=True)
class RequestError:
    """Represent the reason and status of a rejected request."""

    status: int
    reason: str


@dataclass(slots=True)
class RequestHead:
    """Represent the head of a request.

    `target` is the path and query, byte for byte. `content_length` is
    None when no length was given.
    """

    method: str
    target: str
    minor_version: int
    headers: list[tuple[str, str]]
    content_length: int | None = None
    chunked: bool = False
    keep_alive: bool = True
    expects_continue: bool = False
    fields: dict[str, list[str]] = field(default_factory=dict)

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Return the query without its question mark."""
        return self.target.partition("?")[2]

    def first(self, name: str) -> str | None:
        """Return the first value of a header named in lower case."""
        values = self.fields.get(name)
        return values[0] if values else None


def parse_head(data: bytes) -> Result[RequestHead, RequestError]:
    """Return the parsed head; `data` excludes the final empty line."""
    lines = data.split(END_OF_LINE)
    match = _REQUEST_LINE.fullmatch(lines[0])
    if match is None:
        return _rejection("malformed request line")
    method, target, minor = match.groups()
    headers: list[tuple[str, str]] = []
    fields: dict[str, list[str]] = {}
    for line in lines[1:]:
        header = _HEADER.fullmatch(line)
        if header is None:
            return _rejection("malformed header line")
        name = header[1].decode("ascii")
        value = header[2].decode("latin-1")
        headers.append((name, value))
        fields.setdefault(name.lower(), []).append(value)
    head = RequestHead(
        method.decode(), target.decode(), int(minor), headers, fields=fields
    )
    return _determine_framing(head)


def _determine_framing(head: RequestHead) -> Result[RequestHead, RequestError]:
    """Determine the framing, or reject an ambiguous one."""
    reason = (
        _check_target(head)
        or _check_host(head)
        or _check_content_length(head)
        or _check_transfer_encoding(head)
        or _check_expect(head)
    )
    if reason:
        return _rejection(reason)
    options = connection_options(head.fields.get(HEADER_CONNECTION, []))
    if head.minor_version == 0:
        head.keep_alive = "keep-alive" in options and "close" not in options
    else:
        head.keep_alive = "close" not in options
    return Success(head)


def connection_options(values: list[str]) -> set[str]:
    """Return the options named by Connection headers, in lower case."""
    return {option.strip().lower() for value in values for option in value.split(",")}


def _rejection(reason: str) -> Result[RequestHead, RequestError]:
    return Failure(RequestError(STATUS_BAD_REQUEST, reason))


def _check_target(head: RequestHead) -> str:
    if head.target.startswith("/"):
        return ""
    if head.target == "*" and head.method == "OPTIONS":
        return ""
    absolute = _ABSOLUTE.match(head.target)
    if absolute is None:
        return "malformed request target"
    rest = head.target[absolute.end() :]
    head.target = rest if rest.startswith("/") else "/" + rest
    return ""


def _check_host(head: RequestHead) -> str:
    hosts = len(head.fields.get(HEADER_HOST, []))
    if hosts > 1:
        return "more than one Host"
    return "no Host" if hosts == 0 and head.minor_version == 1 else ""


def _check_content_length(head: RequestHead) -> str:
    lengths = head.fields.get(HEADER_CONTENT_LENGTH, [])
    if not lengths:
        return ""
    if len(lengths) > 1:
        return "more than one Content-Length"
    text = lengths[0]
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_LENGTH_DIGITS:
        return "invalid Content-Length"
    head.content_length = int(text)
    return ""


def _check_transfer_encoding(head: RequestHead) -> str:
    codings = head.fields.get(HEADER_TRANSFER_ENCODING, [])
    if not codings:
        return ""
    if head.content_length is not None:
        return "both Content-Length and Transfer-Encoding"
    if len(codings) > 1 or codings[0].lower() != CODING_CHUNKED:
        return "Transfer-Encoding must be exactly chunked"
    if head.minor_version == 0:
        return "Transfer-Encoding in HTTP/1.0"
    head.chunked = True
    return ""


def _check_expect(head: RequestHead) -> str:
    expectations = head.fields.get(HEADER_EXPECT, [])
    if not expectations:
        return ""
    if len(expectations) > 1 or expectations[0].lower() != EXPECT_CONTINUE:
        return "unknown Expect"
    head.expects_continue = head.minor_version == 1
    return ""
