"""Choose the nodes that a caller should use."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

MIN_NAMED = 2


@dataclass(slots=True, frozen=True)
class EntryPoint:
    """Name a node's address and where it is."""

    address: str
    failure_domain: str
    region: str


def nearest(
    points: Sequence[EntryPoint], failure_domain: str, region: str
) -> list[EntryPoint]:
    """Return the nodes of the caller's domain, or from farther away.

    At least two are named where there are as many, so that the loss of one
    leaves the caller another: those of the region, then all.
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
