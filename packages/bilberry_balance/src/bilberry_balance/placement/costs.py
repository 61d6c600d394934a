"""Estimate the cost, in ms, of a request at an upstream.

Upstreams cache only a few objects. A request for an evicted object takes
several times as long, and occupies its slot for that time.
"""

from dataclasses import dataclass

from .const import (
    COLD_WORK_FACTOR,
    DISPLACED_BY_KNOWN_PART,
    DISPLACED_BY_NEW_PART,
)
from .upstream import Upstream
from .work_times import Warmth, WorkTimes


@dataclass(slots=True, frozen=True)
class Waited:
    """Represent how long a request has waited, and with how many others.

    A request that `is_late` misses its latency objective at any upstream.
    """

    others: int = 0
    waited_ms: int = 0
    is_late: bool = False


NOT_WAITED = Waited()
NO_WAIT = float("inf")
LONGER_PART = 1 / 3


def work_ms(upstream: Upstream, work: WorkTimes, warmth: Warmth, now_ms: int) -> float:
    """Return the expected processing time of a request in ms."""
    expected_ms = work.expected_ms(warmth) * upstream.slow_factor(now_ms)
    if upstream.is_cold(now_ms):
        expected_ms *= COLD_WORK_FACTOR
    return expected_ms


def displaced_ms(work: WorkTimes, warmth: Warmth, rank: int) -> float:
    """Return the cost of evicting another object from the cache, in ms.

    At rank 0 it is zero: the object belongs in that upstream's cache.
    """
    if rank == 0:
        return 0.0
    relearning_ms = work.expected_ms(Warmth.OTHER_RANK) - work.expected_ms(Warmth.KNOWN)
    part = DISPLACED_BY_NEW_PART
    if warmth is Warmth.KNOWN:
        part = DISPLACED_BY_KNOWN_PART
    return part * max(0.0, relearning_ms)


def wait_ms(upstream: Upstream, work: WorkTimes, waited: Waited, queues: int) -> float:
    """Return the expected remaining wait for a slot of a full upstream, in ms.

    The other waiting requests are assumed to be spread over `queues`
    upstreams. A request that has waited long is expected to wait longer.
    """
    between_ms = work.expected_ms(Warmth.KNOWN) / upstream.spec.slots
    wait = between_ms * (1.0 + waited.others / queues)
    return max(wait, LONGER_PART * waited.waited_ms)
