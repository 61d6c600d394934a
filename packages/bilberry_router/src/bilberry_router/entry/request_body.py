"""Read the bodies of callers' requests as far as there is memory."""

from ..http.body import BodyReader
from .request_memory import HeldBody


def read_body(reader: BodyReader, held: HeldBody) -> bytearray | None:
    """Return the whole body, or None if it can't be held.

    A body of known length takes its memory at once, others as they arrive.
    A long one that others are refused for has to arrive within the reader's
    timeout. Raise BodyError as the reader does.
    """
    if not held.try_add(reader.remaining_bytes):
        return None
    clock = reader.connection.clock
    end_ms = clock.now_ms() + reader.timeout_ms
    body = bytearray(reader.remaining_bytes)
    offset = 0
    while data := reader.read_some():
        if reader.chunked and not held.try_add(len(data)):
            return None
        body[offset : offset + len(data)] = data
        offset += len(data)
        is_late = clock.now_ms() > end_ms and not reader.is_complete
        if is_late and held.has_displaced_others:
            return None
    return body


def unread_bytes(reader: BodyReader) -> int:
    """Return how many bytes of a body may still arrive, at most."""
    if reader.chunked:
        return reader.limit_bytes - reader.received_bytes
    return reader.remaining_bytes - len(reader.connection.buffer)
