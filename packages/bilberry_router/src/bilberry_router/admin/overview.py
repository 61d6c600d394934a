"""Overview of regions, upstreams and sites for operators."""

import msgspec


class RegionLoad(msgspec.Struct):
    """Represent the planned load of one service in one region.

    Rates are in requests per second; `headroom` is a fraction of capacity.
    """

    region: str
    service: str
    capacity_per_s: float
    load_per_s: float
    headroom: float


class UpstreamLoad(msgspec.Struct):
    """Represent the state and load of one upstream, as seen by this node."""

    name: str
    service: str
    region: str
    state: str
    health: str
    slots: int
    in_flight: int


class SiteVersion(msgspec.Struct):
    """Represent the configuration version that a site has applied."""

    name: str
    region: str
    vms: int
    applied_version: int


class Overview(msgspec.Struct):
    """Represent the overview that `bilberryctl status` shows."""

    node: str
    config_version: int
    config_source: str
    plan_epoch: int
    plan_version: int
    planner: bool
    regions: list[RegionLoad]
    upstreams: list[UpstreamLoad]
    sites: list[SiteVersion]
