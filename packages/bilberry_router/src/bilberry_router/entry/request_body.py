"""Read the bodies of callers' requests as far as there is memory."""

from ..http.body import BodyReader
from .const import BODY_PART_BYTES
from .request_memory import HeldBody


class BodyDeadline:
    """Bound the time of a long body that others are refused for."""

    __slots__ = ("clock", "end_ms", "held", "reader")

    def __init__(self, reader: BodyReader, held: HeldBody) -> None:
        self.reader = reader
        self.held = held
        self.clock = reader.connection.clock
        self.end_ms = self.clock.now_ms() + reader.timeout_ms

    def has_passed(self) -> bool:
        """Return whether the body takes too long."""
        is_late = self.clock.now_ms() > self.end_ms and not self.reader.is_complete
        return is_late and self.held.has_displaced_others


class BodyParts:
    """Hold a body of unknown length in parts of about the same size.

    Long buffers that grow beside each other would leave gaps between them.
    """

    __slots__ = ("parts",)

    def __init__(self) -> None:
        self.parts: list[bytearray] = []

    def add(self, data: bytes) -> int:
        """Append the next bytes; return their number."""
        if not self.parts or len(self.parts[-1]) >= BODY_PART_BYTES:
            self.parts.append(bytearray())
        self.parts[-1] += data
        return len(data)

    def join(self) -> bytearray:
        """Return the whole body, and release each part once it is copied."""
        self.parts.reverse()
        body = self.parts.pop() if self.parts else bytearray()
        while self.parts:
            body += self.parts.pop()
        return body


def read_body(reader: BodyReader, held: HeldBody) -> bytearray | None:
    """Return the whole body, or None if it can't be held.

    A body of known length takes its memory at once, others as they arrive.
    A long one that others are refused for has to arrive within the reader's
    timeout. Raise BodyError as the reader does.
    """
    if not held.try_add(reader.remaining_bytes):
        return None
    if reader.chunked:
        return _read_chunked(reader, held)
    deadline = BodyDeadline(reader, held)
    body = bytearray(reader.remaining_bytes)
    offset = 0
    while count := _read_into(reader, body, offset):
        offset += count
        if deadline.has_passed():
            return None
    return body


def _read_into(reader: BodyReader, body: bytearray, offset: int) -> int:
    """Read the next bytes; nothing else refers to them afterwards.

    What a caller's greenlet refers to while it waits counts in no limit.
    """
    data = reader.read_some()
    body[offset : offset + len(data)] = data
    return len(data)


def _read_chunked(reader: BodyReader, held: HeldBody) -> bytearray | None:
    deadline = BodyDeadline(reader, held)
    parts = BodyParts()
    while count := parts.add(reader.read_some()):
        if not held.try_add(count):
            return None
        if deadline.has_passed():
            return None
    return parts.join()


def unread_bytes(reader: BodyReader) -> int:
    """Return how many bytes of a body may still arrive, at most."""
    if reader.chunked:
        return reader.limit_bytes - reader.received_bytes
    return reader.remaining_bytes - len(reader.connection.buffer)
