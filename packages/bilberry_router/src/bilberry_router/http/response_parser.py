"""Parse an upstream's response and detect its end."""

import re

import httptools

from .const import (
    BODILESS_STATUSES,
    CODING_CHUNKED,
    HEADER_CONNECTION,
    HEADER_CONTENT_LENGTH,
    HEADER_TRANSFER_ENCODING,
    MAX_CHUNK_FRAMING_BYTES,
    MAX_RESPONSE_HEAD_BYTES,
    MAX_SKIPPED_BODY_BYTES,
    MAX_SKIPPED_RESPONSES,
    METHOD_HEAD,
)
from .head import connection_options

_LENGTH = re.compile(r"[0-9]{1,18}")
STATUS_SWITCHING_PROTOCOLS = 101
FIRST_STATUS, FIRST_FINAL_STATUS, LAST_STATUS = 100, 200, 599


class ResponseError(Exception):
    """Raised for a response that this node must not forward."""


class ResponseParser:
    """Parse one HTTP response from the bytes of a connection.

    `error` holds the reason why the response is invalid. `has_excess_bytes`
    is set when bytes arrived after its end, `has_interim` once a 1xx response
    arrived. With `id_header`, in lower case, responses that carry another id
    than `request_id` are skipped and counted in `skipped`. With
    `ends_with_connection` a response of unknown length ends when the
    connection closes.

    All bytes outside of bodies count towards one limit, whether or not they
    end a line, so that endless heads and chunk framing are detected early.
    """

    def __init__(
        self,
        method: str,
        id_header: str = "",
        request_id: str = "",
        ends_with_connection: bool = False,
    ) -> None:
        self.method = method
        self.id_header = id_header
        self.request_id = request_id
        self.ends_with_connection = ends_with_connection
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[str, str]] = []
        self.status = 0
        self.reason = ""
        self.body = bytearray()
        self.is_head_complete = False
        self.is_complete = False
        self.has_known_length = True
        self.has_excess_bytes = False
        self.has_started = False
        self.has_interim = False
        self.allows_keep_alive = False
        self.is_skipping = False
        self.skipped = 0
        self.skipped_body_bytes = 0
        self.error = ""
        self.fed_bytes = 0
        self.body_bytes = 0
        self.chunk_count = 0

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        if not self.is_complete or self.has_excess_bytes or self.error:
            return False
        return self.allows_keep_alive and self.has_known_length

    @property
    def announced_bytes(self) -> int:
        """Return the length of the body that the head tells, or 0."""
        text = self.first(HEADER_CONTENT_LENGTH) if self.is_head_complete else None
        return int(text) if text and _LENGTH.fullmatch(text) else 0

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection."""
        if self.is_complete:
            self.has_excess_bytes = True
            return
        self.has_started = True
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._set_error("unasked switch of protocols")
        except httptools.HttpParserError as error:
            cause = error.__context__
            self._set_error(str(cause if isinstance(cause, ResponseError) else error))
        else:
            self._check_framing()

    def feed_eof(self) -> None:
        """Complete a response that ends when its connection closes."""
        if self.has_known_length or self.is_skipping or self.error:
            return
        if self.is_head_complete:
            self.is_complete = True

    def pop_body(self) -> bytes:
        """Return the body bytes received since the last call."""
        data = bytes(self.body)
        self.body.clear()
        return data

    def values(self, name: str) -> list[str]:
        """Return all values of a header; `name` is in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    def first(self, name: str) -> str | None:
        """Return the first value of a header; `name` is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    def on_message_begin(self) -> None:
        """Detect a second response; called by the parser."""
        if self.is_complete:
            self.has_excess_bytes = True

    def on_status(self, reason: bytes) -> None:
        """Store the reason phrase; called by the parser."""
        if not self.is_complete:
            self.reason += reason.decode("latin-1")

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Store a header; called by the parser."""
        if self.is_complete or self.is_head_complete:
            return
        value = value or b""
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the response head; called by the parser."""
        if self.is_complete:
            return
        status: int = self.parser.get_status_code()
        if status == STATUS_SWITCHING_PROTOCOLS:
            raise ResponseError("unasked switch of protocols")
        if not FIRST_STATUS <= status <= LAST_STATUS:
            raise ResponseError(f"invalid status {status:03}")
        if status < FIRST_FINAL_STATUS:
            self.has_interim = True
            return
        self.is_head_complete = True
        self.status = status
        self.allows_keep_alive = self.parser.should_keep_alive()
        if "close" in connection_options(self.values(HEADER_CONNECTION)):
            self.allows_keep_alive = False
        bodiless = self.method == METHOD_HEAD or status in BODILESS_STATUSES
        self.has_known_length = bodiless or self._declares_length()
        if not self.has_known_length and not self.ends_with_connection:
            raise ResponseError("the answer's length is not told")
        self.is_skipping = self._is_for_other_request()
        if self.is_skipping and self.method == METHOD_HEAD:
            # The parser would take the next response for this one's body.
            raise ResponseError("the answer is to another request")
        if bodiless and not self.is_skipping:
            self.is_complete = True

    def on_chunk_header(self) -> None:
        """Count a chunk; called by the parser."""
        self.chunk_count += 1

    def on_body(self, data: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self.body_bytes += len(data)
        if self.is_complete:
            self.has_excess_bytes = True
        elif self.is_skipping:
            self.skipped_body_bytes += len(data)
            if self.skipped_body_bytes > MAX_SKIPPED_BODY_BYTES:
                raise ResponseError("answers to other requests are too large")
        else:
            self.body += data

    def on_message_complete(self) -> None:
        """Finish a response, or skip it; called by the parser."""
        if self.is_complete:
            return
        if self.is_head_complete and not self.is_skipping:
            self.is_complete = True
            return
        if self.is_skipping:
            self.skipped += 1
        if self.skipped > MAX_SKIPPED_RESPONSES:
            raise ResponseError("too many answers to other requests")
        self._reset()

    def _reset(self) -> None:
        self.headers.clear()
        self.body.clear()
        self.reason = ""
        self.is_head_complete = False
        self.is_skipping = False
        self.has_known_length = True

    def _check_framing(self) -> None:
        """Set an error if too many bytes belong to no body."""
        if self.is_complete:
            return
        framing_bytes = self.fed_bytes - self.body_bytes
        allowed_bytes = MAX_RESPONSE_HEAD_BYTES
        allowed_bytes += MAX_CHUNK_FRAMING_BYTES * self.chunk_count
        if framing_bytes > allowed_bytes:
            self._set_error("the answer's head or framing is too large")

    def _is_for_other_request(self) -> bool:
        if not self.id_header:
            return False
        response_id = self.first(self.id_header)
        return response_id is not None and response_id != self.request_id

    def _set_error(self, reason: str) -> None:
        if self.is_complete:
            self.has_excess_bytes = True
        else:
            self.error = self.error or reason

    def _declares_length(self) -> bool:
        codings = self.values(HEADER_TRANSFER_ENCODING)
        if codings:
            return len(codings) == 1 and codings[0].lower() == CODING_CHUNKED
        return bool(self.values(HEADER_CONTENT_LENGTH))
