"""A node's view of one endpoint. Times are monotonic ms."""

import math
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from .const import (
    DEFAULT_LATENCY_MAX_AGE_MS,
    DEFAULT_LATENCY_WEIGHT,
    DEFAULT_LOAD_MAX_AGE_MS,
    DEFAULT_SLOW_START_FLOOR,
    DEFAULT_SLOW_START_MS,
    DEFAULT_STALE_LATENCY_WEIGHT,
    MIN_ANSWERS_TO_JUDGE,
)


class HealthState(StrEnum):
    """List the states that a health check reports."""

    UNTRIED = "untried"
    READY = "ready"
    WARMING = "warming"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"


class AttemptEnd(StrEnum):
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

    `failures` counts consecutive failures, `ejections` those since the last
    answer. `answers` counts the samples in the mean `latency_ms`.
    """

    share: EndpointShare
    health: HealthState = HealthState.UNTRIED
    draining: bool = False
    in_flight: int = 0
    ramp_from_ms: int | None = None
    ejected_until_ms: int = 0
    ejections: int = 0
    failures: int = 0
    latency_ms: float | None = None
    latency_at_ms: int = 0
    answers: int = 0
    load: LoadReport | None = None
    load_at_ms: int = 0

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.share.name

    def takes_work(self) -> bool:
        """Return whether new requests may be sent to the endpoint."""
        if self.draining or self.share.draining:
            return False
        return self.health not in (HealthState.DRAINING, HealthState.UNREACHABLE)

    def has_connection(self) -> bool:
        """Return whether this node may open another connection to it."""
        return self.in_flight < self.share.connection_share

    def ramp(self, now_ms: int) -> float:
        """Return the fraction of its slots that slow start allows."""
        if self.health is HealthState.WARMING:
            return DEFAULT_SLOW_START_FLOOR
        if self.ramp_from_ms is None:
            return 1.0
        part = (now_ms - self.ramp_from_ms) / DEFAULT_SLOW_START_MS
        return min(1.0, max(DEFAULT_SLOW_START_FLOOR, part))

    def slot_limit(self, now_ms: int) -> int:
        """Return how many requests this node may run on it at once."""
        if self.share.slot_share == 0:
            return 0
        return max(1, math.ceil(self.share.slot_share * self.ramp(now_ms)))

    def fresh_load(self, now_ms: int) -> LoadReport | None:
        """Return the last load report, None if it is too old."""
        if now_ms - self.load_at_ms > DEFAULT_LOAD_MAX_AGE_MS:
            return None
        return self.load

    def known_latency_ms(self, now_ms: int) -> float | None:
        """Return the mean latency in ms, None with too few samples.

        Also return None when the last sample is old and nothing is in
        flight, so that a request is sent to measure it again.
        """
        if self.answers < MIN_ANSWERS_TO_JUDGE:
            return None
        if self._is_latency_old(now_ms) and self.in_flight == 0:
            return None
        return self.latency_ms

    def observe_latency(self, latency_ms: float, now_ms: int) -> None:
        """Add the latency of a complete response to the moving average."""
        old = self._is_latency_old(now_ms)
        weight = DEFAULT_STALE_LATENCY_WEIGHT if old else DEFAULT_LATENCY_WEIGHT
        self.latency_at_ms = now_ms
        self.answers += 1
        if self.latency_ms is None:
            self.latency_ms = latency_ms
            return
        self.latency_ms += weight * (latency_ms - self.latency_ms)

    def _is_latency_old(self, now_ms: int) -> bool:
        return now_ms - self.latency_at_ms > DEFAULT_LATENCY_MAX_AGE_MS
