"""A node's view of one endpoint. Times are monotonic ms."""

import math
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from .const import (
    DEFAULT_LATENCY_MAX_AGE_MS,
    DEFAULT_LATENCY_WEIGHT,
    DEFAULT_LOAD_MAX_AGE_MS,
    DEFAULT_SLOW_START_MIN_FACTOR,
    DEFAULT_SLOW_START_MS,
    DEFAULT_STALE_LATENCY_WEIGHT,
    MIN_LATENCY_SAMPLES,
)


class HealthState(StrEnum):
    """List the states that a health check reports."""

    UNTRIED = "untried"
    READY = "ready"
    WARMING = "warming"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"


class AttemptOutcome(StrEnum):
    """List the ways in which an attempt at an endpoint ends."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class LoadReport(msgspec.Struct, frozen=True):
    """Store the load that an upstream reports for itself; may be wrong."""

    slots: int
    in_flight: int
    queued: int
    measured_at_ms: int


@dataclass(slots=True, frozen=True)
class EndpointShare:
    """Describe an endpoint's capacity and this node's share of it.

    `slots` and `connections` are totals over all nodes; `slot_share` and
    `connection_share` are the parts that this node may use.
    """

    name: str
    slots: int
    connections: int
    slot_share: int
    connection_share: int
    weight: float = 1.0
    draining: bool = False


@dataclass(slots=True)
class Endpoint:
    """Track an endpoint's health, load and requests as this node sees them.

    `consecutive_failures` and `ejections` are reset by an answered request.
    `latency_ms` is a moving average of `latency_samples` samples.
    """

    share: EndpointShare
    health: HealthState = HealthState.UNTRIED
    draining: bool = False
    in_flight: int = 0
    slow_start_from_ms: int | None = None
    ejected_until_ms: int = 0
    ejections: int = 0
    consecutive_failures: int = 0
    latency_ms: float | None = None
    latency_updated_ms: int = 0
    latency_samples: int = 0
    load: LoadReport | None = None
    load_received_ms: int = 0

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.share.name

    def accepts_requests(self) -> bool:
        """Return whether new requests may be sent to the endpoint."""
        if self.draining or self.share.draining:
            return False
        return self.health not in (HealthState.DRAINING, HealthState.UNREACHABLE)

    def has_free_connection(self) -> bool:
        """Return whether this node may open another connection to it."""
        return self.in_flight < self.share.connection_share

    def slow_start_factor(self, now_ms: int) -> float:
        """Return the fraction of its slots that slow start allows."""
        if self.health is HealthState.WARMING:
            return DEFAULT_SLOW_START_MIN_FACTOR
        if self.slow_start_from_ms is None:
            return 1.0
        elapsed_fraction = (now_ms - self.slow_start_from_ms) / DEFAULT_SLOW_START_MS
        return min(1.0, max(DEFAULT_SLOW_START_MIN_FACTOR, elapsed_fraction))

    def slot_limit(self, now_ms: int) -> int:
        """Return how many requests this node may run on it at once."""
        if self.share.slot_share == 0:
            return 0
        return max(1, math.ceil(self.share.slot_share * self.slow_start_factor(now_ms)))

    def recent_load(self, now_ms: int) -> LoadReport | None:
        """Return the last load report, None if it is too old."""
        if now_ms - self.load_received_ms > DEFAULT_LOAD_MAX_AGE_MS:
            return None
        return self.load

    def recent_latency_ms(self, now_ms: int) -> float | None:
        """Return the mean latency in ms, None with too few samples.

        Also return None when the last sample is old and nothing is in
        flight, so that a request is sent to measure it again.
        """
        if self.latency_samples < MIN_LATENCY_SAMPLES:
            return None
        if self._is_latency_old(now_ms) and self.in_flight == 0:
            return None
        return self.latency_ms

    def observe_latency(self, latency_ms: float, now_ms: int) -> None:
        """Add the latency of a complete response to the moving average."""
        is_old = self._is_latency_old(now_ms)
        weight = DEFAULT_STALE_LATENCY_WEIGHT if is_old else DEFAULT_LATENCY_WEIGHT
        self.latency_updated_ms = now_ms
        self.latency_samples += 1
        if self.latency_ms is None:
            self.latency_ms = latency_ms
            return
        self.latency_ms += weight * (latency_ms - self.latency_ms)

    def _is_latency_old(self, now_ms: int) -> bool:
        return now_ms - self.latency_updated_ms > DEFAULT_LATENCY_MAX_AGE_MS
