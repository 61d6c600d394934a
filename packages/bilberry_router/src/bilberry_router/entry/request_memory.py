"""Bound the memory that the bodies of requests in progress take."""

from .const import (
    DEFAULT_MEMORY_BYTES,
    MAX_HELD_BYTES,
    MAX_PROCESS_BYTES,
    SMALL_BODIES_BYTES,
    SMALL_BODY_BYTES,
    SOFT_LIMIT_FRACTION,
)


class RequestMemory:
    """Count the bytes of all bodies that this node holds or has accepted."""

    __slots__ = ("held_bytes", "limit_bytes", "refused_count", "soft_limit_bytes")

    def __init__(self) -> None:
        self.held_bytes = 0
        self.refused_count = 0
        self.set_limit(DEFAULT_MEMORY_BYTES)

    def set_limit(self, memory_bytes: int) -> None:
        """Bound the bodies by the memory that this process may use."""
        others_bytes = MAX_PROCESS_BYTES + MAX_HELD_BYTES
        self.limit_bytes = max(SMALL_BODIES_BYTES, memory_bytes - others_bytes)
        soft_limit_bytes = int(memory_bytes * SOFT_LIMIT_FRACTION) - MAX_PROCESS_BYTES
        self.soft_limit_bytes = max(SMALL_BODIES_BYTES, soft_limit_bytes)

    def has_room(self, body_bytes: int, added_bytes: int) -> bool:
        """Return whether a body that grows to `body_bytes` may be held.

        A part of the memory is kept for small bodies. One long body may take
        all of the rest, several only as much as the aim.
        """
        total_bytes = self.held_bytes + added_bytes
        if body_bytes <= SMALL_BODY_BYTES:
            return total_bytes <= self.limit_bytes
        if total_bytes > self.limit_bytes - SMALL_BODIES_BYTES:
            return False
        others_are_small = total_bytes - body_bytes <= SMALL_BODIES_BYTES
        return others_are_small or total_bytes <= self.soft_limit_bytes


class HeldBody:
    """Count the bytes of one body, and their part of all."""

    __slots__ = ("byte_count", "memory", "refused_before")

    def __init__(self, memory: RequestMemory) -> None:
        self.memory = memory
        self.byte_count = 0
        self.refused_before = memory.refused_count

    @property
    def has_displaced_others(self) -> bool:
        """Return whether bodies were refused while this long one is held."""
        if self.byte_count <= SMALL_BODY_BYTES:
            return False
        return self.memory.refused_count > self.refused_before

    def try_add(self, byte_count: int) -> bool:
        """Count further bytes; return False if there is no room for them."""
        if not self.memory.has_room(self.byte_count + byte_count, byte_count):
            return False
        self.byte_count += byte_count
        self.memory.held_bytes += byte_count
        return True

    def release(self) -> None:
        """Take this body's bytes off the total."""
        self.memory.held_bytes -= self.byte_count
        self.byte_count = 0
