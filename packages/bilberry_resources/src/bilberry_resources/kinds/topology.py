"""Regions, links between them, and sites."""

from enum import StrEnum

from ..const import DEFAULT_LINK_ONE_WAY_MS, KIND_LINK, KIND_REGION, KIND_SITE
from .registry import SPEC_TYPES, Name, NonNegativeFloat, PositiveInt, Spec


class SiteState(StrEnum):
    """Define whether a site accepts clients."""

    ACTIVE = "active"
    DRAINING = "draining"


@SPEC_TYPES.register(KIND_REGION)
class RegionSpec(Spec):
    """Declare a region; capacities are requests per second by service."""

    failure_domains: list[Name]
    capacity_per_s: dict[Name, NonNegativeFloat] = {}


@SPEC_TYPES.register(KIND_LINK)
class LinkSpec(Spec):
    """Declare the one-way link from one region to another."""

    source: Name
    target: Name
    budget_bytes_per_s: PositiveInt
    one_way_ms: NonNegativeFloat = DEFAULT_LINK_ONE_WAY_MS
    cost: NonNegativeFloat = 1.0


@SPEC_TYPES.register(KIND_SITE)
class SiteSpec(Spec):
    """Declare a group of router VMs in one failure domain."""

    region: Name
    failure_domain: Name
    state: SiteState = SiteState.ACTIVE
