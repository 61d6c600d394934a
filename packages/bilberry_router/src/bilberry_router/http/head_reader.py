"""Read one request head from a connection, within its limits."""

from http import HTTPStatus

from bilberry_core.outcome import Failure, Result

from .connection import Connection
from .const import END_OF_HEAD, END_OF_LINE, HEAD_RECV_BYTES
from .head import RequestError, RequestHead, parse_head
from .receive import ReadTimeoutError


def read_head(
    connection: Connection, max_bytes: int, timeout_ms: int
) -> Result[RequestHead, RequestError]:
    """Return the next head, or why it is refused.

    The timeout is of the whole head, however often a part of it arrives.
    Raise ConnectionLostError if the caller has closed the connection.
    """
    connection.work_budget.yield_if_exhausted()
    buffer = connection.buffer
    if buffer.startswith(END_OF_LINE):
        del buffer[: len(END_OF_LINE)]
    end_ms = connection.clock.now_ms() + timeout_ms
    searched = 0
    while (end := buffer.find(END_OF_HEAD, searched)) < 0:
        if len(buffer) > max_bytes:
            return _too_large()
        searched = max(0, len(buffer) - len(END_OF_HEAD) + 1)
        remaining_ms = end_ms - connection.clock.now_ms()
        if remaining_ms <= 0:
            return _too_slow()
        try:
            connection.fill(remaining_ms, HEAD_RECV_BYTES)
        except ReadTimeoutError:
            return _too_slow()
    if end > max_bytes:
        return _too_large()
    data = connection.take(end)
    del buffer[: len(END_OF_HEAD)]
    connection.work_budget.consume(len(data), data.count(END_OF_LINE))
    return parse_head(data)


def _too_large() -> Failure[RequestError]:
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    return Failure(RequestError(status, "the head is too large"))


def _too_slow() -> Failure[RequestError]:
    status = HTTPStatus.REQUEST_TIMEOUT
    return Failure(RequestError(status, "the head came too slowly"))
