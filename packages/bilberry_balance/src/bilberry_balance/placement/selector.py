"""Select the upstream at which a request is expected to finish first.

The load of this node and its peers shows which upstreams have free slots.
The object's key shows which of them are likely to have the object cached
and so to be fast. A region short of capacity sends requests to other
regions before its queue gets long. It is designed for uneven regions and waves
of load.
"""

from collections.abc import Callable

from .candidates import (
    AvailabilityCounts,
    NoSelection,
    RegionCandidates,
    Selection,
    UpstreamRequirements,
)
from .cold_rate_limiter import ColdRateLimiter
from .const import (
    BUSY_LOAD,
    LIGHT_LOAD,
    MAX_SCANNED_UPSTREAMS,
    OTHER_REGION_COST_MS,
    SAME_REGION_COST_MS,
    SAMPLED_IN_OTHER_REGION,
    SAMPLED_IN_OWN_REGION,
)
from .costs import (
    NOT_QUEUED,
    WaitState,
    eviction_cost_ms,
    expected_wait_ms,
    processing_ms,
    slot_interval_ms,
)
from .distances import Distance, Distances, Location
from .peer_loads import PeerLoads
from .processing_times import Warmth
from .ranks import RANKED_PER_REGION, KeyPlaces, KeyRanks
from .rate_limiter import RateLimiter
from .upstream import Upstream
from .warm_index import WarmIndex

FULL_LOAD_COST_MS = 10.0

BOUNDARY_COSTS_MS = {
    Distance.SAME_DOMAIN: 0.0,
    Distance.SAME_REGION: SAME_REGION_COST_MS,
    Distance.OTHER_REGION: OTHER_REGION_COST_MS,
}

RegionPicker = Callable[[list[str], int], str | None]


class UpstreamSelector:
    """Select upstreams for one node; pools map services to upstreams.

    Of a large pool, a request is compared only at the first-ranked upstreams
    of its key, those that had the key lately, and some others in turns.
    `is_connected` tells whether a connection to an upstream is idle.
    """

    __slots__ = (
        "cold_rate_limiter",
        "distances",
        "is_connected",
        "location",
        "peer_loads",
        "pools",
        "ranks",
        "rate_limiter",
        "sample_starts",
        "warm_index",
    )

    def __init__(
        self,
        location: Location,
        pools: dict[str, dict[str, Upstream]],
        peer_loads: PeerLoads,
        cold_rate_limiter: ColdRateLimiter,
        rate_limiter: RateLimiter,
    ) -> None:
        self.location = location
        self.distances = Distances(location)
        self.is_connected: Callable[[Upstream], bool] = _assume_connected
        self.pools = pools
        self.peer_loads = peer_loads
        self.cold_rate_limiter = cold_rate_limiter
        self.rate_limiter = rate_limiter
        self.ranks = KeyRanks(pools)
        self.warm_index = WarmIndex()
        self.sample_starts: dict[str, int] = {}

    def select(
        self,
        requirements: UpstreamRequirements,
        usable: Callable[[Upstream], bool],
        pick_region: RegionPicker,
        now_ms: int,
        wait_state: WaitState = NOT_QUEUED,
    ) -> Selection | NoSelection:
        """Return the cheapest upstream that can take the request, or a reason.

        Return NO_FREE_SLOT also if it should cost less to wait for a slot of
        an upstream that has the object cached. `pick_region` gets the regions
        with free slots, cheapest first, unless all eligible upstreams are in
        one region.
        """
        eligible = self._eligible_upstreams(requirements, usable)
        if not eligible:
            return NoSelection.NO_UPSTREAM
        candidates = self._evaluate(requirements, eligible, now_ms, wait_state)
        if len({upstream.spec.region for upstream in eligible}) == 1:
            return candidates.only_selection()
        picked = pick_region(candidates.regions(), now_ms)
        return NoSelection.NO_FREE_SLOT if picked is None else candidates.best[picked]

    def has_free_slot(
        self,
        requirements: UpstreamRequirements,
        usable: Callable[[Upstream], bool],
        now_ms: int,
    ) -> bool:
        """Return whether any upstream has a free slot, whatever its cost."""
        eligible = self._eligible_upstreams(requirements, usable)
        return bool(self._evaluate(requirements, eligible, now_ms, NOT_QUEUED).costs)

    def open_slots(
        self,
        requirements: UpstreamRequirements,
        usable: Callable[[Upstream], bool],
        now_ms: int,
    ) -> int:
        """Return the slots, free or not, of the upstreams that work now.

        Of an upstream with a rate limit, only those that its rate keeps busy.
        """
        pool = self.pools.get(requirements.service, {})
        known_ms = requirements.processing_times.expected_ms(Warmth.KNOWN)
        return sum(
            upstream.rate_limit.busy_slots(upstream.spec.slots, known_ms)
            for upstream in pool.values()
            if usable(upstream)
            and _is_eligible(upstream, requirements)
            and not upstream.is_blocked(now_ms)
        )

    def refused_until_ms(
        self,
        requirements: UpstreamRequirements,
        usable: Callable[[Upstream], bool],
    ) -> int:
        """Return until when each upstream wants nothing from this node."""
        pool = self.pools.get(requirements.service, {})
        return min(
            (
                upstream.refuses_until_ms
                for upstream in pool.values()
                if usable(upstream) and _is_eligible(upstream, requirements)
            ),
            default=0,
        )

    def count_availability(
        self,
        requirements: UpstreamRequirements,
        usable: Callable[[Upstream], bool],
        now_ms: int,
    ) -> AvailabilityCounts:
        """Return how many upstreams can't take a request now, by reason."""
        counts = AvailabilityCounts()
        for upstream in self.pools.get(requirements.service, {}).values():
            load = upstream.load(self.peer_loads.total(upstream.name), now_ms)
            counts.known += 1
            if not usable(upstream) or not _is_eligible(upstream, requirements):
                counts.closed += 1
            elif self._is_held_back(upstream, requirements, NOT_QUEUED, now_ms):
                counts.held_back += 1
            elif load + 1 > upstream.spec.slots + upstream.max_waiting(now_ms):
                counts.full += 1
        return counts

    def record_key(self, upstream: Upstream, key: str, now_ms: int) -> None:
        """Record that an upstream gets a request for a key."""
        upstream.record_key(key, now_ms)
        self.warm_index.record(upstream.spec.service, key, upstream.name)

    def _eligible_upstreams(
        self, requirements: UpstreamRequirements, usable: Callable[[Upstream], bool]
    ) -> list[Upstream]:
        pool = self.pools.get(requirements.service, {})
        if len(pool) > MAX_SCANNED_UPSTREAMS:
            sampled = self._sample(requirements, pool)
            found = [u for u in sampled if usable(u) and _is_eligible(u, requirements)]
            if found:
                return found
        return [u for u in pool.values() if usable(u) and _is_eligible(u, requirements)]

    def _sample(
        self, requirements: UpstreamRequirements, pool: dict[str, Upstream]
    ) -> list[Upstream]:
        """Return the upstreams of a large pool at which to compare."""
        service, key = requirements.service, requirements.key
        names = dict.fromkeys(self.ranks.for_key(service, key).ranks)
        names |= dict.fromkeys(self.warm_index.upstreams(service, key))
        start = self.sample_starts.get(service, 0)
        self.sample_starts[service] = start + SAMPLED_IN_OWN_REGION
        for region, upstreams in self.ranks.pool(service).by_region.items():
            count = 0 if key else SAMPLED_IN_OTHER_REGION
            if region == self.location.region:
                count = SAMPLED_IN_OWN_REGION
            size = len(upstreams)
            for index in range(min(count, size)):
                names[upstreams[(start + index) % size].name] = None
        return [pool[name] for name in names if name in pool]

    def _evaluate(
        self,
        requirements: UpstreamRequirements,
        eligible: list[Upstream],
        now_ms: int,
        wait_state: WaitState,
    ) -> RegionCandidates:
        """Estimate the cost of each eligible upstream.

        A late request may evict cached objects only at a lightly loaded
        upstream: under load, the cache misses would make others late.
        """
        loads = {
            u.name: u.load(self.peer_loads.total(u.name), now_ms) / u.spec.slots
            for u in eligible
        }
        local = [u for u in eligible if self._is_local(u)]
        busy = sum(loads[u.name] for u in local) >= BUSY_LOAD * max(1, len(local))
        places = self.ranks.for_key(requirements.service, requirements.key)
        unranked = RANKED_PER_REGION if requirements.key else 0
        local_count = self._local_count(requirements.service)
        candidates = RegionCandidates()
        for upstream in eligible:
            if self._is_held_back(upstream, requirements, wait_state, now_ms):
                continue
            rank = places.ranks.get(upstream.name, unranked)
            belongs = self._belongs(requirements, places, upstream)
            warmth = _warmth(upstream, requirements.key, rank, now_ms)
            expected_ms = processing_ms(
                upstream,
                requirements.processing_times,
                warmth,
                self._is_local(upstream),
                now_ms,
            )
            cost_ms = expected_ms + self._distance_cost_ms(upstream)
            cost_ms += eviction_cost_ms(
                requirements.processing_times, warmth, belongs and rank == 0
            )
            load = loads[upstream.name]
            ahead = self._requests_ahead(upstream, warmth, belongs, load, now_ms)
            if ahead is None:
                if self._is_worth_waiting_for(upstream, warmth, now_ms):
                    cost_ms += expected_wait_ms(
                        upstream,
                        requirements.processing_times,
                        wait_state,
                        local_count,
                        now_ms,
                    )
                    candidates.wait_cost_ms = min(candidates.wait_cost_ms, cost_ms)
            elif self._accepts_object(upstream, warmth, busy):
                cost_ms += ahead * slot_interval_ms(
                    upstream, requirements.processing_times, now_ms
                )
                pace = upstream.pace.at(now_ms)
                selection = Selection(upstream, warmth, expected_ms, pace=pace)
                candidates.add(selection, cost_ms + FULL_LOAD_COST_MS * load)
                if wait_state.is_late and load < LIGHT_LOAD:
                    candidates.lightly_loaded.add(upstream.spec.region)
        return candidates

    def _local_count(self, service: str) -> int:
        by_region = self.ranks.pool(service).by_region
        return max(1, len(by_region.get(self.location.region, ())))

    def _is_local(self, upstream: Upstream) -> bool:
        return upstream.spec.region == self.location.region

    def _belongs(
        self, requirements: UpstreamRequirements, places: KeyPlaces, upstream: Upstream
    ) -> bool:
        """Return whether the key belongs in the upstream's region.

        A request that is bound to some regions belongs in all of them.
        """
        if not requirements.key or requirements.home_regions:
            return True
        return upstream.spec.region in places.regions

    def _accepts_object(self, upstream: Upstream, warmth: Warmth, busy: bool) -> bool:
        """Return whether the upstream may take an object of this warmth.

        A cache miss takes several times as long and evicts another object.
        In other regions only the first-ranked upstream may take one, here
        also the second-ranked, and any upstream unless the region is busy.
        """
        if warmth is Warmth.KNOWN or warmth is Warmth.FIRST_RANK:
            return True
        if not self._is_local(upstream):
            return False
        return warmth is Warmth.SECOND_RANK or not busy

    def _is_held_back(
        self,
        upstream: Upstream,
        requirements: UpstreamRequirements,
        wait_state: WaitState,
        now_ms: int,
    ) -> bool:
        """Return whether failures, a limit or a cold start block it now."""
        if upstream.is_blocked(now_ms):
            return True
        if not self.rate_limiter.is_allowed(
            upstream, requirements.key, wait_state.waited_ms, now_ms
        ):
            return True
        takes_turns = upstream.takes_turns(now_ms)
        return takes_turns and not self.cold_rate_limiter.is_allowed(upstream, now_ms)

    def _is_worth_waiting_for(
        self, upstream: Upstream, warmth: Warmth, now_ms: int
    ) -> bool:
        """Return whether a request may wait for this full upstream."""
        if not self._is_local(upstream) or upstream.is_cold(now_ms):
            return False
        return warmth is Warmth.KNOWN or warmth is Warmth.FIRST_RANK

    def _requests_ahead(
        self,
        upstream: Upstream,
        warmth: Warmth,
        belongs: bool,
        load: float,
        now_ms: int,
    ) -> float | None:
        """Return how many requests wait there before it, None if too many.

        Only a request that is likely to be fast there waits at an upstream:
        it gets a slot the moment one is free, wherever its node is.
        """
        ahead = (load - 1.0) * upstream.spec.slots + 1
        if ahead <= 0:
            return 0.0
        if warmth is Warmth.KNOWN or (warmth is Warmth.FIRST_RANK and belongs):
            return ahead if ahead <= upstream.max_waiting(now_ms) else None
        return None

    def _distance_cost_ms(self, upstream: Upstream) -> float:
        """Return the cost of the way to an upstream, and of a connect."""
        cost_ms = self.distances.round_trip_ms(upstream.spec)
        if not self.is_connected(upstream):
            cost_ms *= 2
        return cost_ms + BOUNDARY_COSTS_MS[self.distances.between(upstream.spec)]


def _assume_connected(upstream: Upstream) -> bool:
    return True


def _is_eligible(upstream: Upstream, requirements: UpstreamRequirements) -> bool:
    if upstream.name in requirements.excluded:
        return False
    return (
        not requirements.home_regions
        or upstream.spec.region in requirements.home_regions
    )


def _warmth(upstream: Upstream, key: str, rank: int, now_ms: int) -> Warmth:
    if not key or upstream.is_warm(key, now_ms):
        return Warmth.KNOWN
    return Warmth(min(Warmth.FIRST_RANK + rank, Warmth.OTHER_RANK))
