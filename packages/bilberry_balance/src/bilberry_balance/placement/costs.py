"""Estimate the cost, in ms, of a request at an upstream.

Upstreams cache only a few objects. A request for an evicted object takes
several times as long, and occupies its slot for that time.
"""

from dataclasses import dataclass

from .const import (
    COLD_PROCESSING_FACTOR,
    KNOWN_EVICTION_FRACTION,
    NEW_EVICTION_FRACTION,
)
from .processing_times import ProcessingTimes, Warmth
from .upstream import Upstream


@dataclass(slots=True, frozen=True)
class WaitState:
    """Represent how long a request has waited, and with how many others.

    A request that `is_late` misses its latency objective at any upstream.
    """

    queued: int = 0
    waited_ms: int = 0
    is_late: bool = False


NOT_QUEUED = WaitState()
INFINITE_COST_MS = float("inf")
ELAPSED_WAIT_FRACTION = 1 / 3


def processing_ms(
    upstream: Upstream,
    processing_times: ProcessingTimes,
    warmth: Warmth,
    is_local: bool,
    now_ms: int,
) -> float:
    """Return the expected processing time of a request in ms."""
    expected_ms = processing_times.expected_ms(warmth, is_local)
    expected_ms *= upstream.time_factor(now_ms)
    if upstream.is_cold(now_ms):
        expected_ms *= COLD_PROCESSING_FACTOR
    return expected_ms


def eviction_cost_ms(
    processing_times: ProcessingTimes, warmth: Warmth, belongs: bool
) -> float:
    """Return the cost of evicting another object from the cache, in ms.

    It is zero where the object belongs in that upstream's cache.
    """
    if belongs:
        return 0.0
    fraction = NEW_EVICTION_FRACTION
    if warmth is Warmth.KNOWN:
        fraction = KNOWN_EVICTION_FRACTION
    return fraction * processing_times.miss_ms()


def slot_interval_ms(
    upstream: Upstream, processing_times: ProcessingTimes, now_ms: int
) -> float:
    """Return the expected time until a slot of a full upstream is free."""
    known_ms = processing_times.expected_ms(Warmth.KNOWN)
    return known_ms * upstream.time_factor(now_ms) / upstream.spec.slots


def expected_wait_ms(
    upstream: Upstream,
    processing_times: ProcessingTimes,
    wait_state: WaitState,
    upstream_count: int,
    now_ms: int,
) -> float:
    """Return the expected remaining wait for a slot of a full upstream, in ms.

    The other waiting requests are assumed to be spread over `upstream_count`
    upstreams. A request that has waited long is expected to wait longer.
    """
    interval_ms = slot_interval_ms(upstream, processing_times, now_ms)
    wait = interval_ms * (1.0 + wait_state.queued / upstream_count)
    return max(wait, ELAPSED_WAIT_FRACTION * wait_state.waited_ms)
