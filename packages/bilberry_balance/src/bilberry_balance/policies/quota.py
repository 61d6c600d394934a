"""Policies that use the slots divided among the nodes."""

import random

from ..const import POLICY_QUOTA, POLICY_SOFT_QUOTA
from ..endpoint import Endpoint
from ..slowness import slowdown_ratios
from .registry import POLICIES
from .two_choices import TwoChoices


@POLICIES.register(POLICY_QUOTA)
class Quota:
    """Use only this node's slots and wait when none is free."""

    __slots__ = ("fallback", "rng")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.fallback = TwoChoices(rng)

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return an endpoint with a free slot of this node."""
        free = [e for e in endpoints if e.in_flight < e.slot_limit(now_ms)]
        if free:
            return min(free, key=self._sort_key)
        if may_wait:
            return None
        return self.fallback.choose(endpoints, now_ms, may_wait)

    def _sort_key(self, endpoint: Endpoint) -> tuple[float, float]:
        return _slot_utilization(endpoint), self.rng.random()


@POLICIES.register(POLICY_SOFT_QUOTA)
class SoftQuota:
    """Use this node's free slots first, then its least used endpoint.

    A request at a slow endpoint counts in proportion to the slowdown.
    """

    __slots__ = ("rng",)

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return an endpoint, preferring those with a free slot."""
        ratios = slowdown_ratios(endpoints, now_ms)
        ranked: list[tuple[float, float, Endpoint]] = []
        free: list[tuple[float, float, Endpoint]] = []
        for endpoint, ratio in zip(endpoints, ratios, strict=True):
            load = (endpoint.in_flight + 1) * ratio
            tie_breaker = self.rng.random()
            ranked.append((load, tie_breaker, endpoint))
            if endpoint.in_flight * ratio < endpoint.slot_limit(now_ms):
                free.append((load / endpoint.share.slot_share, tie_breaker, endpoint))
        return min(free or ranked)[2]


def _slot_utilization(endpoint: Endpoint) -> float:
    return endpoint.in_flight / endpoint.share.slot_share
