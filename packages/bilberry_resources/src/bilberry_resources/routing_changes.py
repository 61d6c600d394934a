"""Describe what differs between two routing configurations."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

from bilberry_core.registry import Registry

from .routing import (
    CallerLimits,
    PoolConfig,
    RouteRule,
    RoutingConfig,
    WeightedService,
    Workspace,
)

Resource = RouteRule | Workspace | PoolConfig | CallerLimits
Names = dict[tuple[str, int], Resource]

# The services without weight are described with the others.
IGNORED_FIELDS = frozenset({"name", "unweighted"})


class ChangeAction(StrEnum):
    """Define how a resource differs from the earlier version."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(slots=True, frozen=True)
class FieldChange:
    """Describe one field that differs."""

    field: str
    text: str


@dataclass(slots=True, frozen=True)
class ResourceChange:
    """Describe one resource that differs."""

    resource: str
    name: str
    action: ChangeAction
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        """Return the change as text."""
        title = f"{self.resource} {self.name}".strip()
        if not self.fields:
            return f"{title}: {self.action}"
        texts = "; ".join(change.text for change in self.fields)
        return f"{title}: {self.action}: {texts}"


FieldDescriber = Callable[[Any, Any], str]

FIELD_DESCRIBERS: Registry[str, FieldDescriber] = Registry()


def compare_configs(
    before: RoutingConfig, after: RoutingConfig
) -> list[ResourceChange]:
    """Return what differs, by resource, in the order of the resources."""
    groups: list[tuple[str, Iterable[Resource], Iterable[Resource]]] = [
        ("routes", before.routes, after.routes),
        ("services", before.pools.values(), after.pools.values()),
        ("workspaces", before.workspaces, after.workspaces),
        ("limits", (before.limits,), (after.limits,)),
    ]
    return [
        change
        for resource, old, new in groups
        for change in _compare_group(resource, _by_name(old), _by_name(new))
    ]


def _by_name(resources: Iterable[Resource]) -> Names:
    """Return resources by name, and by number among those of the name."""
    named: Names = {}
    counts: dict[str, int] = {}
    for resource in resources:
        name = getattr(resource, "name", "")
        number = counts.get(name, 0)
        counts[name] = number + 1
        named[name, number] = resource
    return named


def _compare_group(resource: str, old: Names, new: Names) -> Iterator[ResourceChange]:
    for key in [*new, *(key for key in old if key not in new)]:
        if key not in old:
            yield ResourceChange(resource, key[0], ChangeAction.ADDED)
        elif key not in new:
            yield ResourceChange(resource, key[0], ChangeAction.REMOVED)
        elif old[key] != new[key]:
            changes = tuple(_compare_fields(old[key], new[key]))
            yield ResourceChange(resource, key[0], ChangeAction.CHANGED, changes)


def _compare_fields(old: Resource, new: Resource) -> Iterator[FieldChange]:
    for item in fields(old):
        before, after = getattr(old, item.name), getattr(new, item.name)
        if item.name == "services":
            before += getattr(old, "unweighted", ())
            after += getattr(new, "unweighted", ())
        if item.name in IGNORED_FIELDS or before == after:
            continue
        describe = FIELD_DESCRIBERS.get(item.name)
        text = f"{item.name} from {_to_text(before)} to {_to_text(after)}"
        if describe is not None:
            text = describe(before, after)
        yield FieldChange(item.name, text)


@FIELD_DESCRIBERS.register("services")
def describe_services(
    before: tuple[WeightedService, ...], after: tuple[WeightedService, ...]
) -> str:
    """Describe services that a route moves to, or other weights."""
    left = [part.service for part in before if part.service not in _names(after)]
    joined = [part.service for part in after if part.service not in _names(before)]
    weights = f"weights from {_weights(before)} to {_weights(after)}"
    if not left or not joined:
        return weights
    moved = f"moves from service {', '.join(left)} to service {', '.join(joined)}"
    is_whole = len(before) == len(after) == 1
    return moved if is_whole else f"{moved}, {weights}"


@FIELD_DESCRIBERS.register("key_digests")
def describe_keys(before: frozenset[bytes], after: frozenset[bytes]) -> str:
    """Describe how many keys were added and removed."""
    return f"keys: {len(after - before)} added, {len(before - after)} removed"


@FIELD_DESCRIBERS.register("home_regions")
def describe_home_regions(before: frozenset[str], after: frozenset[str]) -> str:
    """Describe home regions; an empty set allows every region."""
    old, new = (", ".join(sorted(homes)) or "every region" for homes in (before, after))
    return f"home_regions from {old} to {new}"


@FIELD_DESCRIBERS.register("valid")
def describe_valid(before: bool, after: bool) -> str:
    """Describe whether a route can be read."""
    return "can be read again" if after else "can't be read any more"


def _names(services: tuple[WeightedService, ...]) -> set[str]:
    return {part.service for part in services}


def _weights(services: tuple[WeightedService, ...]) -> str:
    return ", ".join(f"{part.service} {part.weight:g}" for part in services)


def _to_text(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None:
        return "none"
    return f"{value:g}" if isinstance(value, float) else str(value)
