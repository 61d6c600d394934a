"""Rank the upstreams of each region by rendezvous hashing of a key."""

import heapq
from dataclasses import dataclass, field

from bilberry_core.ids import stable_hash

from .upstream import Upstream

MAX_CACHED_KEYS = 4_096
# Upstreams that are ranked in each region; the others count as unranked.
RANKED_PER_REGION = 2


@dataclass(slots=True)
class ServicePool:
    """Store a service's upstreams by region."""

    by_region: dict[str, list[Upstream]] = field(default_factory=dict)


class KeyRanks:
    """Compute and cache ranks, which are the same on all nodes.

    Rank 0 is the preferred upstream for the object in its region. Only the
    first ranks are kept.
    """

    __slots__ = ("cached", "pools", "service_pools")

    def __init__(self, pools: dict[str, dict[str, Upstream]]) -> None:
        self.pools = pools
        self.cached: dict[tuple[str, str], dict[str, int]] = {}
        self.service_pools: dict[str, ServicePool] = {}

    def for_key(self, service: str, key: str) -> dict[str, int]:
        """Return the first ranks by upstream name, empty without a key."""
        if not key:
            return {}
        found = self.cached.get((service, key))
        if found is None:
            if len(self.cached) >= MAX_CACHED_KEYS:
                self.cached.clear()
            found = self._compute(service, key)
            self.cached[service, key] = found
        return found

    def pool(self, service: str) -> ServicePool:
        """Return a service's upstreams by region."""
        found = self.service_pools.get(service)
        if found is None:
            found = ServicePool()
            for upstream in self.pools.get(service, {}).values():
                region = upstream.spec.region
                found.by_region.setdefault(region, []).append(upstream)
            self.service_pools[service] = found
        return found

    def clear(self) -> None:
        """Clear the cache; call when a pool changes."""
        self.cached.clear()
        self.service_pools.clear()

    def _compute(self, service: str, key: str) -> dict[str, int]:
        ranks: dict[str, int] = {}
        for upstreams in self.pool(service).by_region.values():
            names = [upstream.name for upstream in upstreams]
            first = heapq.nsmallest(
                RANKED_PER_REGION,
                names,
                key=lambda name: (stable_hash(key, name), name),
            )
            ranks.update({name: rank for rank, name in enumerate(first)})
        return ranks
