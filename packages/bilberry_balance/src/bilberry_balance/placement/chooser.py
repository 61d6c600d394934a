"""Select the upstream at which a request is expected to finish first.

The load of this node and its peers shows which upstreams have free slots.
The object's key shows which of them are likely to have the object cached
and so to be fast. A region short of capacity sends requests to other
regions before its queue gets long.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import StrEnum

from .cold_turns import ColdTurns
from .const import (
    BUSY_PART,
    CALM_PART,
    OTHER_REGION_MS,
    OTHER_REGION_RESERVE,
    SAME_DOMAIN_MS,
    SAME_REGION_MS,
)
from .costs import NO_WAIT, NOT_WAITED, Waited, displaced_ms, wait_ms, work_ms
from .peer_loads import PeerLoads
from .ranks import KeyRanks
from .upstream import Upstream
from .work_times import Warmth, WorkTimes

BALANCE_MS = 10.0

RegionPicker = Callable[[list[str], int], str | None]


@dataclass(slots=True, frozen=True)
class Place:
    """Represent the location of a node."""

    failure_domain: str
    region: str


@dataclass(slots=True, frozen=True)
class Need:
    """Describe the requirements of a request on its upstream.

    `excluded` names upstreams that have already been tried. An empty
    `home_regions` allows every region.
    """

    service: str
    key: str
    work: WorkTimes
    home_regions: frozenset[str] = frozenset()
    excluded: Collection[str] = ()


@dataclass(slots=True, frozen=True)
class Choice:
    """Represent a selected upstream and its expected processing time."""

    upstream: Upstream
    warmth: Warmth
    expected_ms: float


@dataclass(slots=True)
class Offers:
    """Store the cheapest candidate of each region and the cost of waiting.

    `calm` names the regions with lightly loaded upstreams, which a late
    request may use whatever they cost.
    """

    best: dict[str, Choice] = field(default_factory=dict)
    costs: dict[str, float] = field(default_factory=dict)
    wait_cost_ms: float = NO_WAIT
    calm: set[str] = field(default_factory=set)

    def add(self, choice: Choice, cost_ms: float) -> None:
        """Add a candidate if it is the cheapest of its region."""
        region = choice.upstream.spec.region
        if region not in self.costs or cost_ms < self.costs[region]:
            self.best[region] = choice
            self.costs[region] = cost_ms

    def regions(self) -> list[str]:
        """Return the regions to use rather than wait, cheapest first."""
        worth = [
            region
            for region, cost_ms in self.costs.items()
            if cost_ms <= self.wait_cost_ms or region in self.calm
        ]
        return sorted(worth, key=self.costs.__getitem__)


@dataclass(slots=True)
class Survey:
    """Count a service's upstreams by why they can't take a request.

    `closed` upstreams are draining, evacuated or not eligible; `held_back`
    ones are failing or cold; `full` ones have no free slot.
    """

    known: int = 0
    closed: int = 0
    held_back: int = 0
    full: int = 0


class NoChoice(StrEnum):
    """Enumerate the reasons why no upstream was selected."""

    NO_ROOM = "no room"
    NO_UPSTREAM = "no upstream"


class Chooser:
    """Select upstreams for one node; pools map services to upstreams."""

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
        self.ranks = KeyRanks(pools)

    def choose(
        self,
        need: Need,
        usable: Callable[[Upstream], bool],
        pick_region: RegionPicker,
        now_ms: int,
        waited: Waited = NOT_WAITED,
    ) -> Choice | NoChoice:
        """Return the cheapest upstream with a free slot, or a reason.

        Return NO_ROOM also if it should cost less to wait for a slot of an
        upstream that has the object cached. `pick_region` gets the regions
        with free slots, cheapest first.
        """
        fitting = self._fitting(need, usable)
        if not fitting:
            return NoChoice.NO_UPSTREAM
        offers = self._offers(need, fitting, now_ms, waited)
        picked = pick_region(offers.regions(), now_ms)
        return NoChoice.NO_ROOM if picked is None else offers.best[picked]

    def has_room(
        self, need: Need, usable: Callable[[Upstream], bool], now_ms: int
    ) -> bool:
        """Return whether any upstream has a free slot, whatever its cost."""
        fitting = self._fitting(need, usable)
        return bool(self._offers(need, fitting, now_ms, NOT_WAITED).costs)

    def survey(
        self, need: Need, usable: Callable[[Upstream], bool], now_ms: int
    ) -> Survey:
        """Return how many upstreams can't take a request now, by reason."""
        survey = Survey()
        for upstream in self.pools.get(need.service, {}).values():
            load = upstream.load(self.loads.at(upstream.name), now_ms)
            survey.known += 1
            if not usable(upstream) or not _fits(upstream, need):
                survey.closed += 1
            elif self._is_held_back(upstream, now_ms):
                survey.held_back += 1
            elif not self._has_room(upstream, load / upstream.spec.slots):
                survey.full += 1
        return survey

    def _fitting(
        self, need: Need, usable: Callable[[Upstream], bool]
    ) -> list[Upstream]:
        pool = self.pools.get(need.service, {})
        return [u for u in pool.values() if usable(u) and _fits(u, need)]

    def _offers(
        self, need: Need, fitting: list[Upstream], now_ms: int, waited: Waited
    ) -> Offers:
        """Estimate the cost of each eligible upstream.

        A late request may evict cached objects only at a lightly loaded
        upstream: under load, the cache misses would make others late.
        """
        loads = {
            u.name: u.load(self.loads.at(u.name), now_ms) / u.spec.slots
            for u in fitting
        }
        home = [u for u in fitting if self._is_home(u)]
        busy = sum(loads[u.name] for u in home) >= BUSY_PART * max(1, len(home))
        ranks = self.ranks.of(need.service, need.key) if fitting else {}
        offers = Offers()
        for upstream in fitting:
            if self._is_held_back(upstream, now_ms):
                continue
            rank = ranks.get(upstream.name, 0)
            warmth = _warmth(upstream, need.key, rank, now_ms)
            expected_ms = work_ms(upstream, need.work, warmth, now_ms)
            cost_ms = expected_ms + self._distance_ms(upstream)
            cost_ms += displaced_ms(need.work, warmth, rank)
            load = loads[upstream.name]
            if self._has_room(upstream, load):
                if self._keeps_affinity(upstream, warmth, busy):
                    choice = Choice(upstream, warmth, expected_ms)
                    offers.add(choice, cost_ms + BALANCE_MS * load)
                    if waited.is_late and load < CALM_PART:
                        offers.calm.add(upstream.spec.region)
            elif self._is_worth_a_wait(upstream, warmth, now_ms):
                cost_ms += wait_ms(upstream, need.work, waited, len(home))
                offers.wait_cost_ms = min(offers.wait_cost_ms, cost_ms)
        return offers

    def _is_home(self, upstream: Upstream) -> bool:
        return upstream.spec.region == self.place.region

    def _keeps_affinity(self, upstream: Upstream, warmth: Warmth, busy: bool) -> bool:
        """Return whether the upstream may take an object of this warmth.

        A cache miss takes several times as long and evicts another object.
        Under load, or in another region, only the first-ranked upstream may
        take one.
        """
        if warmth is Warmth.KNOWN or warmth is Warmth.FIRST_RANK:
            return True
        if not self._is_home(upstream):
            return False
        return warmth is Warmth.SECOND_RANK or not busy

    def _is_held_back(self, upstream: Upstream, now_ms: int) -> bool:
        """Return whether failures or a cold start block requests now."""
        if upstream.is_blocked(now_ms):
            return True
        cold = upstream.is_cold(now_ms)
        return cold and not self.cold_turns.is_due(upstream, now_ms)

    def _is_worth_a_wait(self, upstream: Upstream, warmth: Warmth, now_ms: int) -> bool:
        """Return whether a request may wait for this full upstream."""
        if not self._is_home(upstream) or upstream.is_cold(now_ms):
            return False
        return warmth is Warmth.KNOWN or warmth is Warmth.FIRST_RANK

    def _has_room(self, upstream: Upstream, load: float) -> bool:
        most = 1.0
        if not self._is_home(upstream):
            most -= OTHER_REGION_RESERVE
        return load + 1 / upstream.spec.slots <= most

    def _distance_ms(self, upstream: Upstream) -> float:
        if upstream.spec.failure_domain == self.place.failure_domain:
            return SAME_DOMAIN_MS
        return SAME_REGION_MS if self._is_home(upstream) else OTHER_REGION_MS


def _fits(upstream: Upstream, need: Need) -> bool:
    if upstream.name in need.excluded:
        return False
    return not need.home_regions or upstream.spec.region in need.home_regions


def _warmth(upstream: Upstream, key: str, rank: int, now_ms: int) -> Warmth:
    if not key or upstream.is_warm(key, now_ms):
        return Warmth.KNOWN
    return Warmth(min(Warmth.FIRST_RANK + rank, Warmth.OTHER_RANK))
