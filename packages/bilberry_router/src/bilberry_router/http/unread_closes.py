"""Count and log connections that close before their answers are taken."""

import logging
from collections import Counter

from bilberry_core.clock import Clock

from .delivery import Delivery, DeliveryBounds

_LOGGER = logging.getLogger(__name__)

LOG_INTERVAL_MS = 1_000
CAUSE_CLOSED = "closed"


class UnreadCloses:
    """Count closed connections whose callers had not taken all, by cause.

    The cause is why the rest was given up, or that the caller or this process
    closed.
    """

    __slots__ = ("clock", "counts", "logged_at_ms")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.counts: Counter[str] = Counter()
        self.logged_at_ms: int | None = None

    def record(self, delivery: Delivery, bounds: DeliveryBounds) -> None:
        """Count a connection that closed early; log once in an interval."""
        queue = delivery.queue
        if not queue.unacknowledged_bytes:
            return
        now_ms = self.clock.now_ms()
        cause = delivery.end(bounds, now_ms) or CAUSE_CLOSED
        self.counts[cause] += 1
        last_ms = self.logged_at_ms
        if last_ms is not None and now_ms - last_ms < LOG_INTERVAL_MS:
            return
        self.logged_at_ms = now_ms
        _LOGGER.info(
            "http: Closed a connection, cause %s, of whose answers %s bytes were not"
            " acknowledged, %s of them in flight, %s ms after the last that were;"
            " closed like this so far: %s.",
            cause,
            queue.unacknowledged_bytes,
            queue.in_flight_bytes,
            now_ms - delivery.progress_ms,
            dict(self.counts),
        )
