"""Choose the upstream at which a request is expected to end first.

Answers uneven regions and waves of load: own and peers' requests tell which
upstreams have room, the object's key which of them work fast, and a region
that is short of room spills into others before a queue builds up.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import StrEnum

from bilberry_core.ids import rendezvous_order

from .cold_turns import ColdTurns
from .const import (
    BUSY_PART,
    COLD_WORK_FACTOR,
    OTHER_REGION_MS,
    OTHER_REGION_RESERVE,
    SAME_DOMAIN_MS,
    SAME_REGION_MS,
)
from .peer_loads import PeerLoads
from .upstream import Upstream
from .work_times import Warmth, WorkTimes

MAX_CACHED_RANKS = 4_096
BALANCE_MS = 10.0

RegionPicker = Callable[[list[str], int], str | None]


@dataclass(slots=True, frozen=True)
class Place:
    """Name the failure domain and region of a node."""

    failure_domain: str
    region: str


@dataclass(slots=True, frozen=True)
class Need:
    """Describe what a request needs of its upstream.

    `excluded` names upstreams that it was sent to before. An empty
    `home_regions` allows every region.
    """

    service: str
    key: str
    work: WorkTimes
    home_regions: frozenset[str] = frozenset()
    excluded: Collection[str] = ()


@dataclass(slots=True, frozen=True)
class Choice:
    """Hold the chosen upstream and how long its work should take, in ms."""

    upstream: Upstream
    warmth: Warmth
    expected_ms: float


class NoChoice(StrEnum):
    """Say why no upstream was chosen."""

    NO_ROOM = "no room"
    NO_UPSTREAM = "no upstream"


class Chooser:
    """Choose upstreams for one node; pools map services to upstreams."""

    __slots__ = ("cold_turns", "loads", "place", "pools", "ranks")

    def __init__(
        self,
        place: Place,
        pools: dict[str, dict[str, Upstream]],
        loads: PeerLoads,
        cold_turns: ColdTurns,
    ) -> None:
        self.place = place
        self.pools = pools
        self.loads = loads
        self.cold_turns = cold_turns
        self.ranks: dict[tuple[str, str], dict[str, int]] = {}

    def choose(
        self,
        need: Need,
        usable: Callable[[Upstream], bool],
        pick_region: RegionPicker,
        now_ms: int,
    ) -> Choice | NoChoice:
        """Return the cheapest upstream with room, or why there is none.

        `pick_region` is given the regions with room, the cheapest first.
        """
        pool = self.pools.get(need.service, {})
        fitting = [u for u in pool.values() if usable(u) and _fits(u, need)]
        if not fitting:
            return NoChoice.NO_UPSTREAM
        loads = {
            u.name: u.load(self.loads.at(u.name), now_ms) / u.spec.slots
            for u in fitting
        }
        busy = self._is_home_busy(fitting, loads)
        best: dict[str, Choice] = {}
        costs: dict[str, float] = {}
        for upstream in fitting:
            if not self._has_room(upstream, loads[upstream.name], now_ms):
                continue
            warmth = _warmth(upstream, need.key, self._ranks(need), now_ms)
            if not self._keeps_affinity(upstream, warmth, busy):
                continue
            expected_ms = _expected_ms(upstream, need.work, warmth, now_ms)
            cost = expected_ms + self._distance_ms(upstream)
            cost += BALANCE_MS * loads[upstream.name]
            region = upstream.spec.region
            if region not in costs or cost < costs[region]:
                best[region] = Choice(upstream, warmth, expected_ms)
                costs[region] = cost
        picked = pick_region(sorted(best, key=costs.__getitem__), now_ms)
        return NoChoice.NO_ROOM if picked is None else best[picked]

    def forget_ranks(self) -> None:
        """Drop the cached ranks; call when a pool changes."""
        self.ranks.clear()

    def _is_home_busy(self, fitting: list[Upstream], loads: dict[str, float]) -> bool:
        """Tell whether this region has little room for unknown objects."""
        home = [loads[u.name] for u in fitting if u.spec.region == self.place.region]
        return bool(home) and sum(home) >= BUSY_PART * len(home)

    def _keeps_affinity(self, upstream: Upstream, warmth: Warmth, busy: bool) -> bool:
        """Tell whether the upstream may take an object it may not know.

        Work on an unknown object takes several times as long, and displaces
        another object: under load, or far away, only first ranks do it.
        """
        if warmth is Warmth.KNOWN or warmth is Warmth.FIRST_RANK:
            return True
        if upstream.spec.region != self.place.region:
            return False
        return warmth is Warmth.SECOND_RANK or not busy

    def _has_room(self, upstream: Upstream, load: float, now_ms: int) -> bool:
        if upstream.is_blocked(now_ms):
            return False
        if upstream.is_cold(now_ms) and not self.cold_turns.is_due(upstream, now_ms):
            return False
        most = 1.0
        if upstream.spec.region != self.place.region:
            most -= OTHER_REGION_RESERVE
        return load + 1 / upstream.spec.slots <= most

    def _distance_ms(self, upstream: Upstream) -> float:
        if upstream.spec.failure_domain == self.place.failure_domain:
            return SAME_DOMAIN_MS
        if upstream.spec.region == self.place.region:
            return SAME_REGION_MS
        return OTHER_REGION_MS

    def _ranks(self, need: Need) -> dict[str, int]:
        """Return each upstream's rank for the key among its region's."""
        if not need.key:
            return {}
        cached = self.ranks.get((need.service, need.key))
        if cached is None:
            if len(self.ranks) >= MAX_CACHED_RANKS:
                self.ranks.clear()
            cached = self._new_ranks(need)
            self.ranks[need.service, need.key] = cached
        return cached

    def _new_ranks(self, need: Need) -> dict[str, int]:
        pool = self.pools[need.service]
        counts: dict[str, int] = {}
        ranks: dict[str, int] = {}
        for name in rendezvous_order(need.key, pool):
            region = pool[name].spec.region
            ranks[name] = counts.get(region, 0)
            counts[region] = ranks[name] + 1
        return ranks


def _expected_ms(
    upstream: Upstream, work: WorkTimes, warmth: Warmth, now_ms: int
) -> float:
    expected_ms = work.expected_ms(warmth) * upstream.slow_factor(now_ms)
    if upstream.is_cold(now_ms):
        expected_ms *= COLD_WORK_FACTOR
    return expected_ms


def _fits(upstream: Upstream, need: Need) -> bool:
    if upstream.name in need.excluded:
        return False
    return not need.home_regions or upstream.spec.region in need.home_regions


def _warmth(upstream: Upstream, key: str, ranks: dict[str, int], now_ms: int) -> Warmth:
    if not key or upstream.is_warm(key, now_ms):
        return Warmth.KNOWN
    rank = ranks[upstream.name]
    return Warmth(min(Warmth.FIRST_RANK + rank, Warmth.OTHER_RANK))
