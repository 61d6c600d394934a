"""Rank the upstreams of each region by rendezvous hashing of a key."""

import heapq
from dataclasses import dataclass, field

from bilberry_core.ids import HASH_SPACE, stable_hash

from .const import KEY_FRACTION_OF_SLOTS
from .upstream import Upstream

MAX_CACHED_KEYS = 4_096
# Upstreams that are ranked in each region; the others count as unranked.
RANKED_PER_REGION = 2


@dataclass(slots=True)
class ServicePool:
    """Store a service's upstreams by region."""

    by_region: dict[str, list[Upstream]] = field(default_factory=dict)

    def key_fractions(self) -> dict[str, float]:
        """Return the fraction of all keys that each region takes.

        A region with fewer slots than the mean takes only as many keys as its
        slots and caches can carry, if each region has the same demand.
        """
        slots = {
            region: sum(upstream.spec.slots for upstream in upstreams)
            for region, upstreams in self.by_region.items()
        }
        mean = sum(slots.values()) / max(1, len(slots))
        return {
            region: 1.0 if count >= mean else KEY_FRACTION_OF_SLOTS * count / mean
            for region, count in slots.items()
        }


@dataclass(slots=True, frozen=True)
class KeyPlaces:
    """Store where a key belongs: its ranks by upstream, and its regions."""

    ranks: dict[str, int] = field(default_factory=dict)
    regions: frozenset[str] = frozenset()


NO_PLACES = KeyPlaces()


class KeyRanks:
    """Compute and cache the places of keys, the same on all nodes.

    Rank 0 is the preferred upstream for the object in its region. Only the
    first ranks are kept. A short region takes some of the keys only.
    """

    __slots__ = ("cached", "pools", "service_pools")

    def __init__(self, pools: dict[str, dict[str, Upstream]]) -> None:
        self.pools = pools
        self.cached: dict[tuple[str, str], KeyPlaces] = {}
        self.service_pools: dict[str, ServicePool] = {}

    def for_key(self, service: str, key: str) -> KeyPlaces:
        """Return where a key belongs, nowhere without a key."""
        if not key:
            return NO_PLACES
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

    def _compute(self, service: str, key: str) -> KeyPlaces:
        ranks: dict[str, int] = {}
        pool = self.pool(service)
        for upstreams in pool.by_region.values():
            names = [upstream.name for upstream in upstreams]
            first = heapq.nsmallest(
                RANKED_PER_REGION,
                names,
                key=lambda name: (stable_hash(key, name), name),
            )
            ranks.update({name: rank for rank, name in enumerate(first)})
        regions = frozenset(
            region
            for region, fraction in pool.key_fractions().items()
            if stable_hash(key, region) < fraction * HASH_SPACE
        )
        return KeyPlaces(ranks, regions)
