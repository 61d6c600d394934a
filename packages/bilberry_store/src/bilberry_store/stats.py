"""Counters of the store client's calls and outages."""

from bisect import bisect_left
from dataclasses import dataclass, field

from .const import LATENCY_BUCKETS_MS


@dataclass(slots=True)
class StoreStats:
    """Count calls, latencies in ms and outages."""

    calls: dict[str, int] = field(default_factory=dict)
    failures: dict[str, int] = field(default_factory=dict)
    latency_counts: list[int] = field(
        default_factory=lambda: [0] * (len(LATENCY_BUCKETS_MS) + 1)
    )
    latency_sum_ms: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0
    outage_since_ms: int | None = None
    outages: int = 0
    outage_total_ms: int = 0

    def count_call(self, operation: str, sent_bytes: int) -> None:
        """Count a call and its request body."""
        self.calls[operation] = self.calls.get(operation, 0) + 1
        self.sent_bytes += sent_bytes

    def count_failure(self, reason: str) -> None:
        """Count a failed call by its reason."""
        self.failures[reason] = self.failures.get(reason, 0) + 1

    def record_response(self, latency_ms: int, received_bytes: int) -> None:
        """Record a response's latency and size."""
        self.latency_counts[bisect_left(LATENCY_BUCKETS_MS, latency_ms)] += 1
        self.latency_sum_ms += latency_ms
        self.received_bytes += received_bytes

    def begin_outage(self, now_ms: int) -> bool:
        """Start an outage; return whether none was in progress."""
        if self.outage_since_ms is not None:
            return False
        self.outage_since_ms = now_ms
        self.outages += 1
        return True

    def end_outage(self, now_ms: int) -> int | None:
        """End the outage; return its length in ms, None if there was none."""
        if self.outage_since_ms is None:
            return None
        length_ms = now_ms - self.outage_since_ms
        self.outage_since_ms = None
        self.outage_total_ms += length_ms
        return length_ms
