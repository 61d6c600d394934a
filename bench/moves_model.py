"""Model a node's view of a pool, and count keys that change their place."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from bilberry_balance.placement.distances import Location
from bilberry_balance.placement.upstream import UpstreamSpec
from bilberry_core.clock import ManualClock
from bilberry_core.outcome import Success
from bilberry_fleet.discovery.source import Change, Changes, Record
from bilberry_fleet.discovery.upstreams import UpstreamEntry, UpstreamListener
from bilberry_router.entry.state import EntryState, SharedLimits

SERVICE = "s"
LIMITS = SharedLimits(0.1, 10.0, 10_000, 1.0, 10_000)
TICK_MS = 1_000

# A key's place in a region is None if no upstream there ranks for it.
Place = str | None


@dataclass(slots=True, frozen=True)
class PoolModel:
    """Describe a service's upstreams by the slots of each, by region."""

    name: str
    slots: dict[str, list[int]]

    def specs(self) -> dict[str, UpstreamSpec]:
        """Return the upstreams by name."""
        found = [
            make_spec(f"{region}{index}", region, count)
            for region, counts in self.slots.items()
            for index, count in enumerate(counts)
        ]
        return {spec.name: spec for spec in found}


def make_spec(
    name: str, region: str, slots: int, service: str = SERVICE
) -> UpstreamSpec:
    """Return an upstream with an address of its own."""
    return UpstreamSpec(
        name, service, f"{service}.{name}:80", f"{region}-1", region, slots
    )


@dataclass(slots=True, frozen=True)
class View:
    """Store the places of keys at one time, and the slots in use by region."""

    places: dict[str, list[Place]]
    regions: list[frozenset[str]]
    slots: dict[str, dict[str, int]]

    def homeless(self) -> int:
        """Return how many keys have no place, summed over regions."""
        return sum(places.count(None) for places in self.places.values())

    def carried(self, region: str) -> float:
        """Return the part of the keys that a region's slots can carry."""
        sums = {name: sum(slots.values()) for name, slots in self.slots.items()}
        mean = sum(sums.values()) / max(1, len(sums))
        return min(1.0, sums.get(region, 0) / mean) if mean else 0.0


class MovesNode:
    """Apply changes of entries as a node does, on a manual clock."""

    __slots__ = ("clock", "listener", "revision", "state")

    def __init__(self, specs: Iterable[UpstreamSpec], region: str = "a") -> None:
        self.clock = ManualClock(monotonic_ms=100_000)
        self.state = EntryState(
            "n1", Location(f"{region}-1", region), LIMITS, self.clock
        )
        self.listener = UpstreamListener(
            self.state.upstreams,
            lambda record: Success(record.content),
            self.clock,
            self.state.selector.ranks.clear,
        )
        self.revision = 0
        self.put(*specs)

    def put(self, *specs: UpstreamSpec, draining: bool = False) -> None:
        """Write entries of upstreams."""
        self.apply(
            [
                Change(Record(spec.name, 0, UpstreamEntry(spec, draining, 0)), False)
                for spec in specs
            ]
        )

    def drain(self, *names: str) -> None:
        """Let upstreams drain."""
        known = self.state.upstreams.by_name
        self.put(*(known[name].spec for name in names), draining=True)

    def remove(self, *names: str) -> None:
        """Remove the entries of upstreams."""
        self.apply([Change(Record(name, 0, None), True) for name in names])

    def apply(self, changes: list[Change]) -> None:
        """Apply changes of entries as one batch."""
        self.revision += 1
        self.listener.on_changes(Changes(changes, self.revision))

    def wait(self, duration_ms: int) -> None:
        """Let time pass, with the regular work of a node."""
        for _ in range(duration_ms // TICK_MS):
            self.clock.advance(TICK_MS)
            self.listener.expire(self.clock.now_ms())

    def view(self, keys: list[str]) -> View:
        """Return where keys are placed now."""
        ranks = self.state.selector.ranks
        slots: dict[str, dict[str, int]] = {}
        for name, upstream in self.state.upstreams.pools.get(SERVICE, {}).items():
            if self.state.upstreams.accepts_requests(upstream):
                spec = upstream.spec
                slots.setdefault(spec.region, {})[name] = spec.slots
        places: dict[str, list[Place]] = {region: [] for region in slots}
        regions = []
        for key in keys:
            found = ranks.for_key(SERVICE, key)
            regions.append(found.regions)
            names = sorted(found.ranks, key=found.ranks.__getitem__)
            for region, usable in slots.items():
                place = next((name for name in names if name in usable), None)
                places[region].append(place)
        return View(places, regions, slots)


@dataclass(slots=True)
class Moves:
    """Count moves of keys over a series of changes, and the least possible."""

    moved: int = 0
    least: float = 0.0
    region_moved: int = 0
    region_least: float = 0.0
    homeless: int = 0

    def add(self, before: View, after: View) -> None:
        """Count the moves from one view to the next."""
        self.homeless = max(self.homeless, after.homeless())
        for region in before.slots.keys() | after.slots.keys():
            nowhere: list[Place] = [None] * len(before.regions)
            old = before.places.get(region, nowhere)
            new = after.places.get(region, nowhere)
            self.moved += sum(a != b for a, b in zip(old, new, strict=True))
            self.least += least_moves(
                old,
                new,
                before.slots.get(region, {}),
                after.slots.get(region, {}),
            )
            carried = after.carried(region) - before.carried(region)
            self.region_least += abs(carried) * len(before.regions)
        self.region_moved += sum(
            len(a ^ b) for a, b in zip(before.regions, after.regions, strict=True)
        )

    def ratio(self) -> float:
        """Return the moves of places as a ratio to the least possible."""
        return self.moved / self.least if self.least else float(self.moved > 0) + 1.0


def least_moves(
    old: list[Place],
    new: list[Place],
    old_slots: dict[str, int],
    new_slots: dict[str, int],
) -> float:
    """Return how many keys of a region have to move.

    Shares have to follow slots. It is the expected number, or the actual keys
    of upstreams that left and those that new or resized ones took over, if
    these happen to be more.
    """
    left = old_slots.keys() - new_slots.keys()
    joined = new_slots.keys() - old_slots.keys()
    pairs = list(zip(old, new, strict=True))
    actual = sum(a in left or b in joined for a, b in pairs)
    staying = [(a, b) for a, b in pairs if a not in left and b not in joined]
    old_counts = Counter(a for a, _ in staying)
    new_counts = Counter(b for _, b in staying)
    for name in old_slots.keys() & new_slots.keys():
        if old_slots[name] != new_slots[name]:
            actual += abs(new_counts[name] - old_counts[name])
    old_sum, new_sum = sum(old_slots.values()), sum(new_slots.values())
    expected = sum(
        max(0.0, count / old_sum - new_slots.get(name, 0) / max(1, new_sum))
        for name, count in old_slots.items()
    )
    return max(expected * len(old), actual)


@dataclass(slots=True)
class Scenario:
    """Apply changes to a pool one after another, and count moves."""

    node: MovesNode
    keys: list[str]
    moves: Moves = field(default_factory=Moves)
    last: View = field(init=False)

    def __post_init__(self) -> None:
        """Look at the first places."""
        self.last = self.node.view(self.keys)

    def step(self, wait_ms: int = 0) -> None:
        """Count what has moved since the last step, after a wait."""
        self.node.wait(wait_ms)
        now = self.node.view(self.keys)
        self.moves.add(self.last, now)
        self.last = now


def next_incarnation(spec: UpstreamSpec, slots: int | None = None) -> UpstreamSpec:
    """Return the spec of an upstream that started again at its address."""
    return replace(
        spec, slots=slots or spec.slots, started_at_ms=spec.started_at_ms + 1
    )
