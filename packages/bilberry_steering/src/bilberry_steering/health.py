"""Compute the share of each region's capacity that is healthy.

Only reports of nodes inside a region count for it, so that a network
partition between regions doesn't look like the loss of one. The planner's
own view is used only if no node of the region has reported recently.
"""

from statistics import median

from bilberry_resources.kinds.services import UpstreamState
from bilberry_resources.snapshot import ConfigSnapshot

from .const import DEFAULT_REPORT_FRESH_MS
from .inputs import RegionHealth
from .messages import NodeReport

ServiceRegion = tuple[str, str]


def region_health(
    snapshot: ConfigSnapshot,
    reports: dict[str, NodeReport],
    planner_view: dict[ServiceRegion, float],
    now_ms: int,
) -> dict[str, RegionHealth]:
    """Return the health of every region.

    `planner_view` gives the healthy shares in the planner's own view, by
    service and region. The median of recent reports takes precedence.
    """
    reported_shares: dict[ServiceRegion, list[float]] = {}
    for report in reports.values():
        if now_ms - report.sent_at_ms > DEFAULT_REPORT_FRESH_MS:
            continue
        for service, share in report.health.items():
            reported_shares.setdefault((service, report.region), []).append(share)
    return {
        region: RegionHealth(
            services={
                service: _healthy_share(
                    (service, region), reported_shares, planner_view
                )
                for service in services
            }
        )
        for region, services in services_by_region(snapshot).items()
    }


def services_by_region(snapshot: ConfigSnapshot) -> dict[str, set[str]]:
    """Return the services that have upstreams in each region."""
    services: dict[str, set[str]] = {name: set() for name in snapshot.regions}
    for spec in snapshot.upstreams.values():
        if spec.state is UpstreamState.ACTIVE and spec.region in services:
            services[spec.region].add(spec.service)
    return services


def _healthy_share(
    key: ServiceRegion,
    reported_shares: dict[ServiceRegion, list[float]],
    planner_view: dict[ServiceRegion, float],
) -> float:
    reported = reported_shares.get(key)
    if reported:
        return median(reported)
    return planner_view.get(key, 1.0)
