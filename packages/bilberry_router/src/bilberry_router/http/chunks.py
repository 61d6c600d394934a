"""Decode chunked bodies, many chunks at a time."""

import re

from .const import (
    END_OF_LINE,
    MAX_CHUNK_DIGITS,
    MAX_CHUNK_LINE_BYTES,
    MAX_CHUNKS_PER_CALL,
    MAX_EXTENSION_BYTES,
    MAX_TRAILER_BYTES,
    MAX_TRAILER_LINES,
)

_SIZE_LINE = rb"([0-9A-Fa-f]+)([ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?)\r\n"
_CHUNK_LINE = re.compile(_SIZE_LINE)
_NEXT_CHUNK_LINE = re.compile(rb"\r\n" + _SIZE_LINE)
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")


class ChunkError(Exception):
    """Raised for malformed chunks, and for framing beyond a limit."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ChunkDecoder:
    """Decode one chunked body from the start of a buffer.

    `chunk_count` counts the chunks, `extension_bytes` what their lines hold
    beside their sizes.
    """

    __slots__ = (
        "chunk_count",
        "extension_bytes",
        "has_last_chunk",
        "is_at_chunk_end",
        "is_complete",
        "remaining_bytes",
        "trailer_bytes",
        "trailer_lines",
    )

    def __init__(self) -> None:
        self.chunk_count = 0
        self.extension_bytes = 0
        self.has_last_chunk = False
        self.is_at_chunk_end = False
        self.is_complete = False
        self.remaining_bytes = 0
        self.trailer_bytes = 0
        self.trailer_lines = 0

    def decode(self, buffer: bytearray, limit: int) -> bytes:
        """Remove chunks from `buffer` and return up to `limit` of their bytes.

        Return none if the buffer holds no further whole line or data. Raise
        ChunkError if the framing is malformed or too long.
        """
        data = bytearray()
        position = 0
        last_chunk = self.chunk_count + MAX_CHUNKS_PER_CALL
        while len(data) < limit and self.chunk_count < last_chunk:
            if self.remaining_bytes:
                wanted = min(self.remaining_bytes, limit - len(data))
                part = buffer[position : position + wanted]
                data += part
                position += len(part)
                self.remaining_bytes -= len(part)
                self.is_at_chunk_end = self.remaining_bytes == 0
                if len(part) < wanted:
                    break
                continue
            end = self._read_line(buffer, position)
            if end == position:
                break
            position = end
        # Removed at once, as each removal may copy the rest of the buffer.
        del buffer[:position]
        return bytes(data)

    def _read_line(self, buffer: bytearray, position: int) -> int:
        """Return the position after a line, `position` if it isn't whole."""
        if self.is_complete:
            return position
        if self.has_last_chunk:
            return self._read_trailer(buffer, position)
        line = _NEXT_CHUNK_LINE if self.is_at_chunk_end else _CHUNK_LINE
        match = line.match(buffer, position)
        if match is not None:
            self._start_chunk(match)
            return match.end()
        if self.is_at_chunk_end:
            return self._read_chunk_end(buffer, position)
        if _find_line_end(buffer, position) >= 0:
            raise ChunkError("malformed chunk size")
        return position

    def _read_chunk_end(self, buffer: bytearray, position: int) -> int:
        end = position + len(END_OF_LINE)
        if buffer.startswith(END_OF_LINE, position):
            self.is_at_chunk_end = False
            return end
        if len(buffer) >= end:
            raise ChunkError("a chunk passes its size")
        return position

    def _start_chunk(self, match: re.Match[bytes]) -> None:
        digits, extension = match.groups()
        if len(digits) > MAX_CHUNK_DIGITS:
            raise ChunkError("malformed chunk size")
        if extension:
            self._count_extension(match.start(1), match.end(2), extension)
        self.chunk_count += 1
        self.remaining_bytes = int(digits, 16)
        self.has_last_chunk = self.remaining_bytes == 0
        self.is_at_chunk_end = False

    def _count_extension(self, start: int, end: int, extension: bytes) -> None:
        _check_line(end - start + len(END_OF_LINE))
        self.extension_bytes += len(extension)
        if self.extension_bytes > MAX_EXTENSION_BYTES:
            raise ChunkError("the chunk extensions are too long")

    def _read_trailer(self, buffer: bytearray, position: int) -> int:
        end = _find_line_end(buffer, position)
        if end < 0:
            return position
        line = buffer[position:end]
        self.trailer_bytes += len(line)
        self.trailer_lines += 1
        if not line:
            self.is_complete = True
        elif self.trailer_lines > MAX_TRAILER_LINES:
            raise ChunkError("too many trailers")
        elif self.trailer_bytes > MAX_TRAILER_BYTES or not _TRAILER.fullmatch(line):
            raise ChunkError("malformed trailer")
        return end + len(END_OF_LINE)


def _find_line_end(buffer: bytearray, position: int) -> int:
    """Return where a line ends, -1 if it isn't whole yet."""
    end = buffer.find(END_OF_LINE, position)
    length = (len(buffer) if end < 0 else end) - position
    _check_line(length + len(END_OF_LINE))
    return end


def _check_line(byte_count: int) -> None:
    """Raise ChunkError if a line with its end is too long."""
    if byte_count > MAX_CHUNK_LINE_BYTES + len(END_OF_LINE):
        raise ChunkError("a chunk line is too long")
