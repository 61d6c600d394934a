"""Track how much of the answer to a read of the store has arrived."""

import logging

from bilberry_core.clock import Clock

from .const import MAX_ARRIVAL_MS, MAX_ARRIVAL_PAUSE_MS

_LOGGER = logging.getLogger(__name__)

# Of an answer that takes a slow link a notable time.
LARGE_ANSWER_BYTES = 64_000
SLOW_ANSWER_MS = 300
# Longer than the parts of an answer are apart on a slow link.
ARRIVING_MS = 300


class ReadProgress:
    """Count the bytes of the answer to the latest call of a read.

    `last_ms` is when the latest of them arrived, None before the first, and
    `has_ended` is set once no more are due. An answer of more than
    `limit_bytes` is given up, one that announces it at once; with None any is
    read.
    """

    __slots__ = (
        "announced_bytes",
        "byte_count",
        "clock",
        "first_ms",
        "has_ended",
        "last_ms",
        "limit_bytes",
    )

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.limit_bytes: int | None = None
        self.announced_bytes = 0
        self.byte_count = 0
        self.first_ms: int | None = None
        self.last_ms: int | None = None
        self.has_ended = False

    @property
    def is_large(self) -> bool:
        """Return whether the answer is large, as far as it has arrived."""
        return self.byte_count >= LARGE_ANSWER_BYTES

    @property
    def is_too_large(self) -> bool:
        """Return whether the answer is over the limit."""
        if self.limit_bytes is None:
            return False
        return max(self.byte_count, self.announced_bytes) > self.limit_bytes

    @property
    def took_ms(self) -> int:
        """Return the time from the first bytes to the latest, in ms."""
        return (self.last_ms or 0) - (self.first_ms or 0)

    def is_arriving(self, now_ms: int) -> bool:
        """Return whether a large answer is arriving at present."""
        if self.has_ended or self.last_ms is None or not self.is_large:
            return False
        return now_ms - self.last_ms < ARRIVING_MS

    def log_if_slow(self, kind: str) -> None:
        """Log the size of an answer that took long to arrive."""
        if self.took_ms >= SLOW_ANSWER_MS:
            _LOGGER.info(
                "discovery: Read %s bytes of %s in %s ms.",
                self.byte_count,
                kind,
                self.took_ms,
            )

    def begin(self) -> None:
        """Forget the answer to the call before."""
        self.announced_bytes = 0
        self.byte_count = 0
        self.first_ms = None
        self.last_ms = None
        self.has_ended = False

    def end(self) -> None:
        """Record that the answer is complete, or given up."""
        self.has_ended = True

    def add(self, byte_count: int, announced_bytes: int = 0) -> int:
        """Count bytes that arrived; return until when to wait for more."""
        self.byte_count += byte_count
        self.announced_bytes = announced_bytes
        self.last_ms = self.clock.now_ms()
        if self.first_ms is None:
            self.first_ms = self.last_ms
        return min(self.last_ms + MAX_ARRIVAL_PAUSE_MS, self.first_ms + MAX_ARRIVAL_MS)
