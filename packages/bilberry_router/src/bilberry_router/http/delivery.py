"""Decide how long a connection stays open for answers that are still read."""

from dataclasses import dataclass
from enum import StrEnum, auto

from bilberry_core.const import MS_PER_SECOND

from ..const import DEFAULT_IDLE_TIMEOUT_MS
from .const import (
    DEFAULT_GONE_MS,
    DELIVERY_POLL_MS,
    MIN_BODY_BYTES_PER_S,
    SLOW_READER_BYTES_PER_S,
)
from .send_queue import SendQueue


class DeliveryEnd(StrEnum):
    """Enumerate why the rest of an answer is given up.

    The caller's system acknowledges nothing (GONE), the caller takes nothing
    for the idle timeout (IDLE), takes too little (SLOW), or others need the
    memory (MEMORY).
    """

    GONE = auto()
    IDLE = auto()
    SLOW = auto()
    MEMORY = auto()


@dataclass(slots=True, frozen=True)
class DeliveryBounds:
    """Bound the time for which a caller may read.

    `gone_ms` is how long its system may acknowledge nothing of what was sent,
    `idle_timeout_ms` how long it may take nothing.
    """

    gone_ms: int = DEFAULT_GONE_MS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS
    is_memory_short: bool = False


class Delivery:
    """Track how much of what was sent on a connection its caller has taken.

    Taken is what the caller's system has acknowledged. Whether the caller has
    read it can't be seen, so that a pace is assumed for it.
    """

    __slots__ = (
        "active_ms",
        "began_ms",
        "progress_ms",
        "queue",
        "read_until_ms",
        "sent_bytes",
        "taken_before_bytes",
        "taken_bytes",
    )

    def __init__(self, now_ms: int) -> None:
        self.queue = SendQueue()
        self.sent_bytes = 0
        self.taken_bytes = 0
        self.taken_before_bytes = 0
        self.began_ms = now_ms
        self.progress_ms = now_ms
        self.active_ms = now_ms
        self.read_until_ms = now_ms

    def record_sent(self, byte_count: int, now_ms: int) -> None:
        """Record bytes that were handed to the system after an `update`."""
        if not self.queue.unacknowledged_bytes:
            self.began_ms = now_ms
            self.progress_ms = now_ms
            self.taken_before_bytes = self.taken_bytes = self.sent_bytes
        self.sent_bytes += byte_count
        self.queue = SendQueue(self.queue.unacknowledged_bytes + byte_count)
        self.active_ms = now_ms
        reading_ms = byte_count * MS_PER_SECOND // SLOW_READER_BYTES_PER_S
        self.read_until_ms = max(self.read_until_ms, now_ms) + reading_ms

    def update(self, queue: SendQueue, taken_ms: int) -> None:
        """Record what the system holds, and when the caller took the rest."""
        taken_bytes = self.sent_bytes - queue.unacknowledged_bytes
        if taken_bytes > self.taken_bytes:
            self.taken_bytes = taken_bytes
            self.progress_ms = max(self.progress_ms, taken_ms)
            self.active_ms = max(self.active_ms, taken_ms)
        self.queue = queue

    def end(self, bounds: DeliveryBounds, now_ms: int) -> DeliveryEnd | None:
        """Return why the rest is given up, None while the caller takes it."""
        if not self.queue.unacknowledged_bytes:
            return None
        silent_ms = now_ms - self.progress_ms
        if self.queue.in_flight_bytes and silent_ms >= bounds.gone_ms:
            return DeliveryEnd.GONE
        if silent_ms >= bounds.idle_timeout_ms:
            return DeliveryEnd.IDLE
        elapsed_ms = now_ms - self.began_ms
        if elapsed_ms < bounds.gone_ms:
            return None
        if bounds.is_memory_short:
            return DeliveryEnd.MEMORY
        taken_bytes = self.taken_bytes - self.taken_before_bytes
        min_bytes = MIN_BODY_BYTES_PER_S * elapsed_ms // MS_PER_SECOND
        if elapsed_ms >= bounds.idle_timeout_ms and taken_bytes < min_bytes:
            return DeliveryEnd.SLOW
        return None

    def idle_left_ms(self, bounds: DeliveryBounds, now_ms: int) -> int:
        """Return how long the connection may stay idle, 0 if not at all.

        It is idle from when its caller had taken the last answer.
        """
        if self.queue.unacknowledged_bytes:
            return 0 if self.end(bounds, now_ms) else DELIVERY_POLL_MS
        return max(0, self.active_ms + bounds.idle_timeout_ms - now_ms)

    def linger_left_ms(self, bounds: DeliveryBounds, limit_ms: int, now_ms: int) -> int:
        """Return how long to wait for the caller's close, 0 if no longer.

        That is until `limit_ms` after the caller took the last bytes, and as
        long as it may still read them, up to the idle timeout.
        """
        if self.queue.unacknowledged_bytes:
            return 0 if self.end(bounds, now_ms) else DELIVERY_POLL_MS
        reading_ms = min(self.read_until_ms - self.active_ms, bounds.idle_timeout_ms)
        return max(0, self.active_ms + max(limit_ms, reading_ms) - now_ms)
