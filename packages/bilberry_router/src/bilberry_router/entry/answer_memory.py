"""Bound the memory that answers take while this node holds them."""

from .const import (
    MAX_ANSWER_BYTES,
    MAX_BUFFERED_BYTES,
    MAX_HELD_BYTES,
    SMALL_ANSWER_BYTES,
)


class AnswerMemory:
    """Count the bytes of all answers that this node holds.

    They are being received, or wait until their callers have read them.
    """

    __slots__ = ("held_bytes",)

    def __init__(self) -> None:
        self.held_bytes = 0

    @property
    def is_short(self) -> bool:
        """Return whether large answers are refused for want of memory."""
        return self.held_bytes > MAX_BUFFERED_BYTES

    def has_room(self, answer_bytes: int) -> bool:
        """Return whether an answer that has `answer_bytes` may be held.

        Once all answers together take much memory, only small ones may still
        be received, and beyond a further limit none.
        """
        if answer_bytes > MAX_ANSWER_BYTES or self.held_bytes > MAX_HELD_BYTES:
            return False
        is_small = answer_bytes <= SMALL_ANSWER_BYTES
        return is_small or not self.is_short


class HeldAnswer:
    """Count the bytes of one answer, and their part of all."""

    __slots__ = ("byte_count", "memory")

    def __init__(self, memory: AnswerMemory) -> None:
        self.memory = memory
        self.byte_count = 0

    @property
    def is_too_large(self) -> bool:
        """Return whether this answer takes too much memory."""
        return not self.memory.has_room(self.byte_count)

    def add(self, byte_count: int) -> None:
        """Count further bytes."""
        self.byte_count += byte_count
        self.memory.held_bytes += byte_count

    def release(self) -> None:
        """Take this answer's bytes off the total."""
        self.memory.held_bytes -= self.byte_count
        self.byte_count = 0
