"""Select the entry nodes nearest to a caller."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

MIN_NODES_PER_AREA = 2


@dataclass(slots=True, frozen=True)
class NodeLocation:
    """Represent a node's entry address and its location."""

    address: str
    failure_domain: str
    region: str


def nearest_nodes(
    nodes: Sequence[NodeLocation], failure_domain: str, region: str
) -> list[NodeLocation]:
    """Return the nodes in the caller's failure domain, region or anywhere.

    A failure domain with fewer than two nodes is widened to its region, so
    that a caller that loses one node has another. All nodes are returned
    only if the region has none.
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
    return in_region or list(nodes)
