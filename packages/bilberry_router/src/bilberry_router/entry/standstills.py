"""Notice when the process got no processor time for a while."""

import logging

from bilberry_core.clock import Clock

_LOGGER = logging.getLogger(__name__)

MIN_STANDSTILL_MS = 500


class StandstillMonitor:
    """Count the standstills of a task that wakes at regular intervals."""

    __slots__ = ("clock", "count", "interval_ms", "total_ms", "woke_at_ms")

    def __init__(self, clock: Clock, interval_ms: int) -> None:
        self.clock = clock
        self.interval_ms = interval_ms
        self.woke_at_ms = clock.now_ms()
        self.count = 0
        self.total_ms = 0

    def record_wake(self) -> None:
        """Count and log a standstill if this wake comes much too late."""
        now_ms = self.clock.now_ms()
        late_ms = now_ms - self.woke_at_ms - self.interval_ms
        self.woke_at_ms = now_ms
        if late_ms < MIN_STANDSTILL_MS:
            return
        self.count += 1
        self.total_ms += late_ms
        _LOGGER.warning("node: Stood still for %s ms.", late_ms)
