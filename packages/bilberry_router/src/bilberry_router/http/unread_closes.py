"""Count and log connections that close before their answers are taken."""

import logging

from bilberry_core.clock import Clock

from .send_queue import SendQueue

_LOGGER = logging.getLogger(__name__)

LOG_INTERVAL_MS = 1_000
# The end of the answers counts as one.
END_BYTES = 1


class UnreadCloses:
    """Count the closed connections whose callers had not taken all."""

    __slots__ = ("clock", "count", "logged_at_ms")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.count = 0
        self.logged_at_ms: int | None = None

    def record(self, queue: SendQueue) -> None:
        """Count a connection that closed early; log once in an interval."""
        if queue.unacknowledged_bytes <= END_BYTES:
            return
        self.count += 1
        now_ms = self.clock.now_ms()
        last_ms = self.logged_at_ms
        if last_ms is not None and now_ms - last_ms < LOG_INTERVAL_MS:
            return
        self.logged_at_ms = now_ms
        _LOGGER.warning(
            "http: Closed a connection of whose answers %s bytes were not"
            " acknowledged, %s of them in flight; closed like this so far: %s.",
            queue.unacknowledged_bytes,
            queue.in_flight_bytes,
            self.count,
        )
