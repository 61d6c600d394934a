"""Load balancing algorithms of LDAP directory proxies.

See Oracle Directory Server Enterprise Edition Reference, section 16.2:
proportional, saturation, adaptive failover and fastest server.
"""

import random

from ..const import (
    POLICY_ADAPTIVE_FAILOVER,
    POLICY_FASTEST,
    POLICY_PROPORTIONAL,
    POLICY_SATURATION,
)
from ..endpoint import Endpoint
from .registry import POLICIES

SATURATION_FRACTION = 0.5
ACTIVE_WEIGHT_FRACTION = 0.75
REQUESTS_PER_PROBE = 100


@POLICIES.register(POLICY_PROPORTIONAL)
class Proportional:
    """Keep the total of requests sent in proportion to the weights."""

    __slots__ = ("sent",)

    def __init__(self, rng: random.Random) -> None:
        self.sent: dict[str, int] = {}

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return the endpoint with the fewest requests for its weight."""
        chosen = min(endpoints, key=self._requests_per_weight)
        self.sent[chosen.name] = self.sent.get(chosen.name, 0) + 1
        return chosen

    def _requests_per_weight(self, endpoint: Endpoint) -> float:
        sent = self.sent.get(endpoint.name, 0)
        return (sent + 1) / max(endpoint.share.weight, 1e-9)


@POLICIES.register(POLICY_SATURATION)
class Saturation:
    """Fill endpoints one by one, by weight, up to their saturation level."""

    __slots__ = ()

    def __init__(self, rng: random.Random) -> None:
        pass

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return the first endpoint below its saturation level.

        If there is none, return that with the most weighted connections free.
        """
        ranked = sorted(endpoints, key=lambda e: (-e.share.weight, e.name))
        for endpoint in ranked:
            if endpoint.in_flight < self._saturation_level(endpoint):
                return endpoint
        return max(ranked, key=self._weighted_free_connections)

    def _saturation_level(self, endpoint: Endpoint) -> float:
        share = endpoint.share
        return share.weight * SATURATION_FRACTION * max(1, share.slot_share)

    def _weighted_free_connections(self, endpoint: Endpoint) -> float:
        share = endpoint.share
        return share.weight * (share.connection_share - endpoint.in_flight)


@POLICIES.register(POLICY_ADAPTIVE_FAILOVER)
class AdaptiveFailover:
    """Use the fewest endpoints that reach a fraction of the total weight."""

    __slots__ = ("proportional",)

    def __init__(self, rng: random.Random) -> None:
        self.proportional = Proportional(rng)

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return an endpoint of the active group, in proportion to weight."""
        ranked = sorted(endpoints, key=lambda e: (-e.share.weight, e.name))
        needed_weight = ACTIVE_WEIGHT_FRACTION * sum(e.share.weight for e in ranked)
        active: list[Endpoint] = []
        reached_weight = 0.0
        for endpoint in ranked:
            active.append(endpoint)
            reached_weight += endpoint.share.weight
            if reached_weight >= needed_weight:
                break
        return self.proportional.choose(active, now_ms, may_wait)


@POLICIES.register(POLICY_FASTEST)
class Fastest:
    """Choose the endpoint with the lowest moving average of latency."""

    __slots__ = ("request_count", "rng")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.request_count = 0

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return the fastest endpoint, or periodically a random one."""
        self.request_count += 1
        if self.request_count % REQUESTS_PER_PROBE == 0:
            return self.rng.choice(endpoints)
        return min(endpoints, key=lambda e: (e.latency_ms or 0.0, self.rng.random()))
