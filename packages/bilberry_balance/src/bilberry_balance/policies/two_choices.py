"""Power of two choices, by own requests and delayed load reports."""

import random

from ..const import POLICY_TWO_CHOICES
from ..endpoint import Endpoint
from .registry import POLICIES


@POLICIES.register(POLICY_TWO_CHOICES)
class TwoChoices:
    """Choose the less loaded of two random endpoints."""

    __slots__ = ("rng",)

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return the less loaded of two random endpoints."""
        if len(endpoints) == 1:
            return endpoints[0]
        first, second = self.rng.sample(endpoints, 2)
        if estimated_load(second, now_ms) < estimated_load(first, now_ms):
            return second
        return first


def estimated_load(endpoint: Endpoint, now_ms: int) -> float:
    """Return the load per slot of own and reported requests.

    The load rises as slow start reduces the endpoint's slots.
    """
    share = endpoint.share
    own = (endpoint.in_flight + 1) / max(1, share.slot_share)
    report = endpoint.recent_load(now_ms)
    reported = 0.0
    if report is not None:
        reported = (report.in_flight + report.queued) / max(1, share.slots)
    return (own + min(reported, 2.0)) / endpoint.slow_start_factor(now_ms)
