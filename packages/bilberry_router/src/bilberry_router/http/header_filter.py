"""Filter the headers that a proxy forwards."""

from .const import HEADER_CONNECTION, HEADER_CONTENT_LENGTH, HOP_BY_HOP_HEADERS
from .head import connection_options
from .messages import Headers

_NEVER_HOP_BY_HOP = frozenset({"host", HEADER_CONTENT_LENGTH})


def filter_headers(headers: Headers, replaced: frozenset[str]) -> Headers:
    """Return the end-to-end headers but for those `replaced`, in lower case.

    Those that the Connection header names concern one connection only.
    """
    dropped = HOP_BY_HOP_HEADERS | replaced
    named = [value for name, value in headers if name.lower() == HEADER_CONNECTION]
    if named:
        dropped |= connection_options(named) - _NEVER_HOP_BY_HOP
    return [(name, value) for name, value in headers if name.lower() not in dropped]
