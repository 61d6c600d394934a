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

SATURATION_WEIGHT = 0.5
ACTIVE_PART = 0.75
PROBE_EVERY = 100


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
        chosen = min(endpoints, key=self._filled)
        self.sent[chosen.name] = self.sent.get(chosen.name, 0) + 1
        return chosen

    def _filled(self, endpoint: Endpoint) -> float:
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
            if endpoint.in_flight < self._level(endpoint):
                return endpoint
        return max(ranked, key=self._available)

    def _level(self, endpoint: Endpoint) -> float:
        share = endpoint.share
        return share.weight * SATURATION_WEIGHT * max(1, share.slot_share)

    def _available(self, endpoint: Endpoint) -> float:
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
        needed = ACTIVE_PART * sum(e.share.weight for e in ranked)
        active: list[Endpoint] = []
        reached = 0.0
        for endpoint in ranked:
            active.append(endpoint)
            reached += endpoint.share.weight
            if reached >= needed:
                break
        return self.proportional.choose(active, now_ms, may_wait)


@POLICIES.register(POLICY_FASTEST)
class Fastest:
    """Choose the endpoint with the lowest moving average of latency."""

    __slots__ = ("rng", "turn")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.turn = 0

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return the fastest endpoint, or periodically a random one."""
        self.turn += 1
        if self.turn % PROBE_EVERY == 0:
            return self.rng.choice(endpoints)
        return min(endpoints, key=lambda e: (e.latency_ms or 0.0, self.rng.random()))
