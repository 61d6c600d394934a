"""Convert a service's plan to a configuration with other regions.

Callers keep their region when regions are added, removed or reordered;
only those of a removed region move, to the default owner of their group.
"""

from collections.abc import Iterable

import msgspec

from bilberry_resources.snapshot import ConfigSnapshot

from .messages import ServicePlan, Spill
from .slots import remap_owners
from .topology import default_owner, default_runs, region_names


class GroupKeyMatcher:
    """Match groups across a change of regions.

    Two keys match if they are equal without added and removed regions.
    """

    __slots__ = ("common_regions", "old_keys")

    def __init__(
        self, keys: Iterable[str], old: Iterable[str], new: Iterable[str]
    ) -> None:
        self.common_regions = set(old) & set(new)
        self.old_keys = {self.common_regions_key(key): key for key in keys}

    def common_regions_key(self, key: str) -> str:
        """Return a key without the regions that were added or removed."""
        return ",".join(name for name in key.split(",") if name in self.common_regions)

    def find_old_key(self, key: str) -> str | None:
        """Return the key of a group in the old plan, None if it is new."""
        return self.old_keys.get(self.common_regions_key(key))


def migrate_service_plan(
    old: ServicePlan | None,
    old_regions: list[str],
    snapshot: ConfigSnapshot,
    service: str,
    keys: list[str],
) -> ServicePlan:
    """Return a service's plan for the current groups and regions."""
    if old is None:
        slots = {key: default_runs(snapshot, service, key) for key in keys}
        return ServicePlan(slots=slots)
    names = region_names(snapshot)
    plan = msgspec.structs.replace(old, shift=msgspec.structs.replace(old.shift))
    matcher = GroupKeyMatcher(old.slots, old_regions, names)
    plan.slots, plan.before = {}, {}
    for key in keys:
        old_key = key if key in old.slots else matcher.find_old_key(key)
        if old_key is None:
            plan.slots[key] = default_runs(snapshot, service, key)
            continue
        fallback = names.index(default_owner(snapshot, service, key) or names[0])
        new_indexes = [names.index(r) if r in names else fallback for r in old_regions]
        plan.slots[key] = remap_owners(old.slots[old_key], new_indexes)
        if old_key in old.before:
            plan.before[key] = remap_owners(old.before[old_key], new_indexes)
    plan.spill = migrate_spill(old.spill, names)
    if old_regions != names:
        plan.shift.targets = {}
    return plan


def migrate_spill(spill: dict[str, Spill], names: list[str]) -> dict[str, Spill]:
    """Return the spill rules without regions that no longer exist."""
    migrated: dict[str, Spill] = {}
    for region, rule in spill.items():
        targets = {name: w for name, w in rule.targets.items() if name in names}
        if region in names and targets:
            migrated[region] = Spill(rule.fraction, targets, rule.lost)
    return migrated
