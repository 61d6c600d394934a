"""Region order and default routing, from the configuration alone."""

from bilberry_resources.snapshot import ConfigSnapshot

from .block_table import ClientGroup
from .const import HASH_SLOTS
from .slots import SlotRuns, runs_from_counts


def region_names(snapshot: ConfigSnapshot) -> list[str]:
    """Return the regions in the order of the indexes in a plan."""
    return sorted(snapshot.regions)


def serving_regions(snapshot: ConfigSnapshot, service: str) -> list[str]:
    """Return the regions that have capacity for a service."""
    return [
        region
        for region in region_names(snapshot)
        if snapshot.regions[region].capacity_per_s.get(service, 0) > 0
    ]


def one_way_delay_ms(snapshot: ConfigSnapshot, source: str, target: str) -> float:
    """Return the one-way delay between two regions.

    It is infinite if no link joins them.
    """
    if source == target:
        return 0.0
    delays = [
        link.one_way_ms
        for link in snapshot.links.values()
        if {link.source, link.target} == {source, target}
    ]
    return min(delays, default=float("inf"))


def link_cost(snapshot: ConfigSnapshot, source: str, target: str) -> float:
    """Return the lowest cost of a link between two regions, or 0."""
    costs = [
        link.cost
        for link in snapshot.links.values()
        if link.source == source and link.target == target
    ]
    return min(costs, default=0.0)


def regions_by_distance(snapshot: ConfigSnapshot, origin: str) -> list[str]:
    """Return all regions sorted by delay from `origin`, then by cost."""
    names = region_names(snapshot)
    return sorted(
        names,
        key=lambda name: (
            one_way_delay_ms(snapshot, origin, name),
            link_cost(snapshot, origin, name),
            name,
        ),
    )


def default_group(snapshot: ConfigSnapshot, region: str) -> ClientGroup:
    """Return the group of the clients that are in no client block."""
    return ClientGroup(tuple(regions_by_distance(snapshot, region)))


def regions_by_preference(snapshot: ConfigSnapshot, group_key: str) -> list[str]:
    """Return the regions of a group's key, then the rest by distance."""
    named = [name for name in group_key.split(",") if name in snapshot.regions]
    if len(named) == len(snapshot.regions):
        return named
    origin = named[0] if named else ""
    rest = regions_by_distance(snapshot, origin)
    return named + [name for name in rest if name not in named]


def default_owner(snapshot: ConfigSnapshot, service: str, group_key: str) -> str | None:
    """Return the first region for a group that has capacity, or None."""
    capable = set(serving_regions(snapshot, service))
    for region in regions_by_preference(snapshot, group_key):
        if region in capable:
            return region
    return None


def default_runs(snapshot: ConfigSnapshot, service: str, group_key: str) -> SlotRuns:
    """Return the runs that send a whole group to its default owner."""
    names = region_names(snapshot)
    counts = [0] * len(names)
    owner = default_owner(snapshot, service, group_key)
    counts[names.index(owner) if owner else 0] = HASH_SLOTS
    return runs_from_counts(counts)
