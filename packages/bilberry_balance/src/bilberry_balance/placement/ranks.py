"""Rank the upstreams of each region by rendezvous hashing of a key."""

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from bilberry_core.ids import HASH_SPACE, stable_hash

from .key_regions import KeyRegions
from .rendezvous import RankedUpstreams
from .upstream import Upstream

MAX_CACHED_KEYS = 4_096
# Upstreams that are ranked in each region; the others count as unranked.
RANKED_PER_REGION = 2


@dataclass(slots=True)
class ServicePool:
    """Store a service's upstreams that accept requests, by region.

    `fractions` are the parts of all keys that regions take, and `generation`
    tells the pool from earlier ones.
    """

    generation: int = 0
    by_region: dict[str, list[Upstream]] = field(default_factory=dict)
    ranked: dict[str, RankedUpstreams] = field(default_factory=dict)
    fractions: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class KeyPlaces:
    """Store where a key belongs: its ranks by upstream, and its regions."""

    ranks: dict[str, int] = field(default_factory=dict)
    regions: frozenset[str] = frozenset()
    generation: int = field(default=0, compare=False)

    def first_ranked(self) -> set[str]:
        """Return the first-ranked upstream of each region."""
        return {name for name, rank in self.ranks.items() if rank == 0}


NO_PLACES = KeyPlaces()


class KeyRanks:
    """Compute and cache the places of keys, the same on all nodes.

    Rank 0 is the preferred upstream for the object in its region. Only the
    first ranks are kept. A short region takes some of the keys only.
    Upstreams that accept no requests have no rank. Those in service count
    for the parts of regions, whether or not they accept requests now.
    `moved` and `kept` count keys by service that were ranked again after a
    change, with another first-ranked upstream in any region or the same.
    """

    __slots__ = (
        "accepts_requests",
        "cached",
        "generation",
        "is_in_service",
        "kept",
        "key_regions",
        "moved",
        "pools",
        "service_pools",
    )

    def __init__(self, pools: dict[str, dict[str, Upstream]]) -> None:
        self.pools = pools
        self.accepts_requests: Callable[[Upstream], bool] = _is_staying
        self.is_in_service: Callable[[Upstream], bool] = _is_staying
        self.cached: OrderedDict[tuple[str, str], KeyPlaces] = OrderedDict()
        self.service_pools: dict[str, ServicePool] = {}
        self.key_regions = KeyRegions()
        self.generation = 0
        self.moved: Counter[str] = Counter()
        self.kept: Counter[str] = Counter()

    def for_key(self, service: str, key: str) -> KeyPlaces:
        """Return where a key belongs, nowhere without a key."""
        if not key:
            return NO_PLACES
        pool = self.pool(service)
        cached = self.cached.get((service, key))
        if cached is not None and cached.generation == pool.generation:
            return cached
        found = self._compute(pool, key)
        if cached is not None:
            is_kept = cached.first_ranked() == found.first_ranked()
            (self.kept if is_kept else self.moved)[service] += 1
        elif len(self.cached) >= MAX_CACHED_KEYS:
            self.cached.popitem(last=False)
        self.cached[service, key] = found
        return found

    def pool(self, service: str) -> ServicePool:
        """Return a service's upstreams by region."""
        found = self.service_pools.get(service)
        if found is None:
            found = self.service_pools[service] = self._make_pool(service)
        return found

    def clear(self, service: str | None = None) -> None:
        """Outdate the places of a service's keys, by default of all.

        Call when a pool changes, or which of its upstreams accept requests.
        """
        if service is None:
            self.service_pools.clear()
        else:
            self.service_pools.pop(service, None)

    def _make_pool(self, service: str) -> ServicePool:
        self.generation += 1
        pool = ServicePool(self.generation)
        slots: dict[str, int] = {}
        for upstream in self.pools.get(service, {}).values():
            region = upstream.spec.region
            if self.is_in_service(upstream):
                slots[region] = slots.get(region, 0) + upstream.spec.slots
            if self.accepts_requests(upstream):
                pool.by_region.setdefault(region, []).append(upstream)
        for region, upstreams in pool.by_region.items():
            pool.ranked[region] = RankedUpstreams(upstreams)
        pool.fractions = self.key_regions.fractions(service, slots)
        return pool

    def _compute(self, pool: ServicePool, key: str) -> KeyPlaces:
        ranks: dict[str, int] = {}
        for upstreams in pool.ranked.values():
            first = upstreams.first(key, RANKED_PER_REGION)
            ranks.update({name: rank for rank, name in enumerate(first)})
        regions = frozenset(
            region
            for region, fraction in pool.fractions.items()
            if stable_hash(key, region) < fraction * HASH_SPACE
        )
        return KeyPlaces(ranks, regions, pool.generation)


def _is_staying(upstream: Upstream) -> bool:
    return not upstream.draining and not upstream.leaving
