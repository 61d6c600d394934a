"""Select the entry nodes nearest to a caller."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

MIN_NAMED = 2


@dataclass(slots=True, frozen=True)
class EntryPoint:
    """Represent a node's entry address and its location."""

    address: str
    failure_domain: str
    region: str


def nearest(
    points: Sequence[EntryPoint], failure_domain: str, region: str
) -> list[EntryPoint]:
    """Return the nodes in the caller's failure domain, region or anywhere.

    The region replaces a failure domain with a single node, so that a
    caller that loses one node has another. All nodes are returned only if
    the region has none.
    """
    nearer: list[Callable[[EntryPoint], bool]] = [
        lambda point: point.failure_domain == failure_domain,
        lambda point: point.region == region,
    ]
    for is_near in nearer:
        near = [point for point in points if is_near(point)]
        if len(near) >= MIN_NAMED:
            return near
    in_region = [point for point in points if point.region == region]
    return in_region or list(points)
