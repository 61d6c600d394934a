"""Detect slow endpoints by the latency that this node observes."""

from collections.abc import Sequence

from .const import DEFAULT_SLOW_RATIO
from .endpoint import Endpoint

NORMAL_RATIO = 1.0


def slowdown_ratios(endpoints: Sequence[Endpoint], now_ms: int) -> list[float]:
    """Return the ratio of each endpoint's latency to the median latency.

    Ratios up to `DEFAULT_SLOW_RATIO` are returned as 1, as is that of an
    endpoint of unknown latency, so that it is tried again.
    """
    latencies = [endpoint.recent_latency_ms(now_ms) for endpoint in endpoints]
    known = sorted(latency for latency in latencies if latency is not None)
    if not known:
        return [NORMAL_RATIO] * len(endpoints)
    median_ms = known[len(known) // 2]
    threshold_ms = median_ms * DEFAULT_SLOW_RATIO
    return [
        NORMAL_RATIO
        if latency is None or latency <= threshold_ms
        else latency / median_ms
        for latency in latencies
    ]
