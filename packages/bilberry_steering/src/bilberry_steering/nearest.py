"""Select the entry nodes nearest to a caller."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

MIN_NODES_PER_AREA = 2


@dataclass(slots=True, frozen=True)
class NodeLocation:
    """Represent a node's entry address and its location."""

    address: str
    failure_domain: str
    region: str


def nearest_nodes(
    nodes: Sequence[NodeLocation],
    failure_domain: str,
    region: str,
    home_sets: Iterable[frozenset[str]] = (),
) -> list[NodeLocation]:
    """Return the nodes in the caller's failure domain, region or anywhere.

    A failure domain with fewer than two nodes is widened to its region, so
    that a caller that loses one node has another. If the region has none,
    those in the regions that most of the `home_sets` name are returned, and
    all nodes only if these have none either.
    """
    filters: list[Callable[[NodeLocation], bool]] = [
        lambda node: node.failure_domain == failure_domain,
        lambda node: node.region == region,
    ]
    for matches in filters:
        found = [node for node in nodes if matches(node)]
        if len(found) >= MIN_NODES_PER_AREA:
            return found
    in_region = [node for node in nodes if node.region == region]
    if in_region:
        return in_region
    homes = most_named_regions(home_sets)
    return [node for node in nodes if node.region in homes] or list(nodes)


def most_named_regions(home_sets: Iterable[frozenset[str]]) -> frozenset[str]:
    """Return the regions in the most sets; those in all sets, if any are."""
    counts = Counter(region for homes in home_sets for region in homes)
    most = max(counts.values(), default=0)
    return frozenset(region for region, count in counts.items() if count == most)
