"""Notice when the process got no processor time for a while."""

import logging

from bilberry_core.clock import Clock

_LOGGER = logging.getLogger(__name__)

MIN_STANDSTILL_MS = 500
# From this on, what the node knows may be outdated.
MIN_REREAD_MS = 1_000


class StandstillMonitor:
    """Count the standstills of a task that wakes at regular intervals."""

    __slots__ = ("clock", "count", "interval_ms", "total_ms", "woke_at_ms")

    def __init__(self, clock: Clock, interval_ms: int) -> None:
        self.clock = clock
        self.interval_ms = interval_ms
        self.woke_at_ms = clock.now_ms()
        self.count = 0
        self.total_ms = 0

    def start(self) -> None:
        """Begin to count from now on."""
        self.woke_at_ms = self.clock.now_ms()

    def late_ms(self) -> int:
        """Return by how much the next wake is late, negative if it isn't."""
        return self.clock.now_ms() - self.woke_at_ms - self.interval_ms

    def record_wake(self) -> int:
        """Return how late this wake comes; count and log a standstill."""
        late_ms = self.late_ms()
        self.woke_at_ms = self.clock.now_ms()
        if late_ms >= MIN_STANDSTILL_MS:
            self.count += 1
            self.total_ms += late_ms
            _LOGGER.warning("node: Stood still for %s ms.", late_ms)
        return late_ms
