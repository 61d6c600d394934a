"""Summarize installed versions by site and the rollout of a version."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .messages import RelayStatus, RolloutStatus, SiteCount


@dataclass(slots=True, frozen=True)
class InstalledVersion:
    """Store the version that one member installed."""

    site: str
    version: int


def summarize_by_site(
    failure_domain: str, installed: Iterable[InstalledVersion]
) -> RelayStatus:
    """Return the site counts of a relay's members."""
    sites: dict[str, SiteCount] = {}
    for member_version in installed:
        sites[member_version.site] = merge_counts(
            sites.get(member_version.site),
            SiteCount(members=1, lowest_version=member_version.version),
        )
    return RelayStatus(failure_domain=failure_domain, sites=sites)


def merge_counts(first: SiteCount | None, second: SiteCount) -> SiteCount:
    """Return the combined counts of a site."""
    if first is None:
        return second
    return SiteCount(
        members=first.members + second.members,
        lowest_version=min(first.lowest_version, second.lowest_version),
    )


def count_sites(statuses: Iterable[RelayStatus]) -> dict[str, SiteCount]:
    """Return the counts of every site across all relays."""
    sites: dict[str, SiteCount] = {}
    for status in statuses:
        for name, count in status.sites.items():
            sites[name] = merge_counts(sites.get(name), count)
    return sites


def rollout_status(
    version: int, statuses: Iterable[RelayStatus], live_members: Mapping[str, int]
) -> RolloutStatus:
    """Return how many sites installed `version`.

    `live_members` maps each site to its number of live members. A site
    counts as waiting while the relays report fewer members than that.
    """
    sites = count_sites(statuses)
    waiting = [
        name
        for name, members in sorted(live_members.items())
        if not _has_installed(sites.get(name), version, members)
    ]
    return RolloutStatus(
        version=version,
        sites_applied=len(live_members) - len(waiting),
        sites_total=len(live_members),
        waiting=waiting,
    )


def _has_installed(count: SiteCount | None, version: int, members: int) -> bool:
    if count is None or count.members < members:
        return False
    return count.lowest_version >= version
