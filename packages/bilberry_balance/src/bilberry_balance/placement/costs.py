"""Estimate, in ms, what a request costs at an upstream.

Answers upstreams that remember only few objects: work on an object that has
been displaced takes several times as long, and room with it.
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
    """Hold how a request has waited so far, and beside how many others.

    One that `is_late` misses its objective wherever it runs.
    """

    others: int = 0
    waited_ms: int = 0
    is_late: bool = False


NOT_WAITED = Waited()
NO_WAIT = float("inf")
LONGER_PART = 1 / 3


def work_ms(upstream: Upstream, work: WorkTimes, warmth: Warmth, now_ms: int) -> float:
    """Return how long the upstream should work on the request."""
    expected_ms = work.expected_ms(warmth) * upstream.slow_factor(now_ms)
    if upstream.is_cold(now_ms):
        expected_ms *= COLD_WORK_FACTOR
    return expected_ms


def displaced_ms(work: WorkTimes, warmth: Warmth, rank: int) -> float:
    """Return the work that others will lose to the object's memory.

    At rank 0 there is none: the memory there is meant for this object.
    """
    if rank == 0:
        return 0.0
    relearning_ms = work.expected_ms(Warmth.OTHER_RANK) - work.expected_ms(Warmth.KNOWN)
    part = DISPLACED_BY_NEW_PART
    if warmth is Warmth.KNOWN:
        part = DISPLACED_BY_KNOWN_PART
    return part * max(0.0, relearning_ms)


def wait_ms(upstream: Upstream, work: WorkTimes, waited: Waited, queues: int) -> float:
    """Return the further wait for a slot of a full upstream.

    The others that wait are spread over `queues` upstreams. The longer a
    request has waited, the longer it should have to wait still.
    """
    between_ms = work.expected_ms(Warmth.KNOWN) / upstream.spec.slots
    wait = between_ms * (1.0 + waited.others / queues)
    return max(wait, LONGER_PART * waited.waited_ms)
