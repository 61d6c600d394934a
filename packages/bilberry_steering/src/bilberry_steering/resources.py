"""Names and capacities of the resources that quotas divide.

A resource is a service in a region (requests/s), a link (bytes/s) or the
rate at which a service's running step may move requests (requests/s).
"""

from dataclasses import dataclass, field

from bilberry_resources.snapshot import ConfigSnapshot

from .const import BOOTSTRAP_SHARE

STEP_PREFIX = "step:"
LINK_BUCKET_MIN_MESSAGES = 2.0


def region_resource(service: str, region: str) -> str:
    """Return the resource name of a service's capacity in a region."""
    return f"{service}@{region}"


def link_resource(source: str, target: str) -> str:
    """Return the resource name of a link's budget in one direction."""
    return f"{source}>{target}"


def step_resource(service: str) -> str:
    """Return the resource name of the maximum rate of a service's step."""
    return STEP_PREFIX + service


@dataclass(slots=True)
class LinkRegions:
    """Represent the two regions that a link connects."""

    source: str
    target: str


@dataclass(slots=True)
class Capacities:
    """Store the capacity per second of all resources, and link regions."""

    amounts: dict[str, float] = field(default_factory=dict)
    links: dict[str, LinkRegions] = field(default_factory=dict)


def capacities_of(snapshot: ConfigSnapshot) -> Capacities:
    """Return the capacities that a configuration declares."""
    result = Capacities()
    for region in sorted(snapshot.regions):
        for service, rate in sorted(snapshot.regions[region].capacity_per_s.items()):
            result.amounts[region_resource(service, region)] = rate
    for name in sorted(snapshot.links):
        link = snapshot.links[name]
        resource = link_resource(link.source, link.target)
        result.amounts[resource] = float(link.budget_bytes_per_s)
        result.links[resource] = LinkRegions(link.source, link.target)
    for name in sorted(snapshot.intents):
        intent = snapshot.intents[name]
        if intent.cap.max_rate_per_s is not None:
            resource = step_resource(intent.service)
            rate = intent.cap.max_rate_per_s
            result.amounts[resource] = min(rate, result.amounts.get(resource, rate))
    return result


def region_of(resource: str) -> str:
    """Return the region of a service's capacity, "" for other resources."""
    _, _, region = resource.partition("@")
    return region


def bootstrap_amount(resource: str, capacity: float, member_bound: int) -> float:
    """Return the amount of a resource that a node without a plan may use.

    It is the same in all regions, because a VM may be replaced by one in
    another region before the planner knows of either.
    """
    if resource.startswith(STEP_PREFIX):
        return 0.0
    return capacity * BOOTSTRAP_SHARE / member_bound


def min_link_bucket_bytes(snapshot: ConfigSnapshot) -> float:
    """Return the minimum size in bytes of a link's token bucket.

    It is twice the largest mean message size: one message that a service
    may send, and one reserved for services of higher priority.
    """
    specs = snapshot.services.values()
    sizes = [max(spec.request_bytes, spec.response_bytes) for spec in specs]
    return LINK_BUCKET_MIN_MESSAGES * max(sizes, default=1)
