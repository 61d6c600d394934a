"""Compute the load of regions and links from the groups' shares."""

from dataclasses import dataclass, field

from bilberry_resources.snapshot import ConfigSnapshot

from .const import HASH_SLOTS
from .messages import Spill
from .resources import link_resource
from .slots import SlotRuns, slots_per_owner
from .topology import region_names, regions_by_preference

Shares = dict[str, list[float]]


@dataclass(slots=True)
class Loads:
    """Sum requests/s by service and region, and bytes/s by link."""

    requests_per_s: dict[tuple[str, str], float] = field(default_factory=dict)
    link_bytes_per_s: dict[str, float] = field(default_factory=dict)

    def region_load(self, service: str, region: str) -> float:
        """Return the load of a service in a region in requests/s."""
        return self.requests_per_s.get((service, region), 0.0)

    def add_requests(
        self,
        snapshot: ConfigSnapshot,
        service: str,
        home: str,
        region: str,
        rate: float,
    ) -> None:
        """Add requests/s that arrive in `home` and are served in `region`."""
        key = (service, region)
        self.requests_per_s[key] = self.requests_per_s.get(key, 0.0) + rate
        if home == region:
            return
        spec = snapshot.services[service]
        self.add_link_bytes(link_resource(home, region), rate * spec.request_bytes)
        self.add_link_bytes(link_resource(region, home), rate * spec.response_bytes)

    def add_link_bytes(self, resource: str, rate: float) -> None:
        """Add bytes/s to a link."""
        self.link_bytes_per_s[resource] = (
            self.link_bytes_per_s.get(resource, 0.0) + rate
        )


def region_shares(runs: SlotRuns, regions: int) -> list[float]:
    """Return each region's share of a group's slots."""
    return [count / HASH_SLOTS for count in slots_per_owner(runs, regions)]


def apply_spill(
    shares: list[float], names: list[str], spill: dict[str, Spill]
) -> list[float]:
    """Return the regions' shares after spill."""
    result = list(shares)
    for index, name in enumerate(names):
        rule = spill.get(name)
        if rule is None or rule.fraction <= 0 or not rule.targets:
            continue
        away = shares[index] * rule.fraction
        total = sum(rule.targets.values())
        result[index] -= away
        for target, weight in rule.targets.items():
            result[names.index(target)] += away * weight / total
    return result


def entry_region(snapshot: ConfigSnapshot, group: str) -> str:
    """Return the region in which a group's requests arrive."""
    order = regions_by_preference(snapshot, group)
    return order[0] if order else ""


def add_service_loads(
    loads: Loads,
    snapshot: ConfigSnapshot,
    service: str,
    slots: dict[str, SlotRuns],
    spill: dict[str, Spill],
    demand: dict[str, float],
) -> None:
    """Add the loads of one service; `demand` is requests/s by group."""
    names = region_names(snapshot)
    for group, rate in demand.items():
        if group not in slots or rate <= 0:
            continue
        home = entry_region(snapshot, group)
        shares = apply_spill(region_shares(slots[group], len(names)), names, spill)
        for name, share in zip(names, shares, strict=True):
            if share > 0:
                loads.add_requests(snapshot, service, home, name, rate * share)
