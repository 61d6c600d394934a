"""Notice when the process got no processor time for a while."""

import logging

from bilberry_core.clock import Clock

_LOGGER = logging.getLogger(__name__)

MIN_STANDSTILL_MS = 500
# Standstills that follow each other within this time count together.
RECENT_MS = 2_000


class StandstillMonitor:
    """Count the standstills of a task that wakes at regular intervals."""

    __slots__ = (
        "clock",
        "count",
        "interval_ms",
        "recent_ms",
        "stood_at_ms",
        "total_ms",
        "woke_at_ms",
    )

    def __init__(self, clock: Clock, interval_ms: int) -> None:
        self.clock = clock
        self.interval_ms = interval_ms
        self.woke_at_ms = clock.now_ms()
        self.count = 0
        self.total_ms = 0
        self.recent_ms = 0
        self.stood_at_ms = self.woke_at_ms

    def start(self) -> None:
        """Begin to count from now on."""
        self.woke_at_ms = self.clock.now_ms()

    def late_ms(self) -> int:
        """Return by how much the next wake is late, negative if it isn't."""
        return self.clock.now_ms() - self.woke_at_ms - self.interval_ms

    def recent_standstill_ms(self) -> int:
        """Return how long it has stood still lately, up to now."""
        now_ms = self.clock.now_ms()
        late_ms = self.late_ms()
        recent_ms = self.recent_ms if self._is_recent(now_ms, late_ms) else 0
        return recent_ms + (late_ms if late_ms >= MIN_STANDSTILL_MS else 0)

    def record_wake(self) -> None:
        """Count and log a standstill if this wake comes much too late."""
        late_ms = self.late_ms()
        self.recent_ms = self.recent_standstill_ms()
        self.woke_at_ms = self.clock.now_ms()
        if late_ms < MIN_STANDSTILL_MS:
            return
        self.stood_at_ms = self.woke_at_ms
        self.count += 1
        self.total_ms += late_ms
        _LOGGER.warning("node: Stood still for %s ms.", late_ms)

    def forget_recent(self) -> None:
        """Forget the standstills up to now."""
        self.recent_ms = 0

    def _is_recent(self, now_ms: int, late_ms: int) -> bool:
        return now_ms - max(0, late_ms) - self.stood_at_ms <= RECENT_MS
