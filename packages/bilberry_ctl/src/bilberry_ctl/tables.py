"""Define the table columns of each kind."""

from collections.abc import Callable, Mapping
from typing import Any

from bilberry_core.registry import Registry
from bilberry_resources.const import (
    KIND_CLIENT_BLOCK_SET,
    KIND_INTENT,
    KIND_LINK,
    KIND_REGION,
    KIND_SERVICE,
    KIND_SITE,
    KIND_UPSTREAM,
)
from bilberry_resources.model import StoredObject

EMPTY_CELL = "-"
BYTES_PER_MBIT = 125_000

Spec = Mapping[str, Any]
Columns = Mapping[str, Any]

SPEC_COLUMNS: Registry[str, Callable[[Spec], Columns]] = Registry()


def build_object_table(
    kind: str, objects: list[StoredObject]
) -> tuple[list[str], list[list[Any]]]:
    """Return the column headings and one row for each object."""
    columns = ["name", *SPEC_COLUMNS[kind]({}), "version", "in force", "sites"]
    rows = [_build_object_row(stored) for stored in objects]
    return [name.upper() for name in columns], rows


def _build_object_row(stored: StoredObject) -> list[Any]:
    spec = SPEC_COLUMNS[stored.kind](stored.spec)
    status = stored.status
    in_force: Any = status.in_force if status else EMPTY_CELL
    sites = f"{status.sites_applied}/{status.sites_total}" if status else EMPTY_CELL
    metadata = stored.metadata
    return [metadata.name, *spec.values(), metadata.version, in_force, sites]


@SPEC_COLUMNS.register(KIND_REGION)
def region_columns(spec: Spec) -> Columns:
    """Return a region's failure domains and capacities."""
    capacities = spec.get("capacity_per_s", {})
    return {
        "failure domains": _join(spec.get("failure_domains", [])),
        "capacity/s": _join(f"{name}={rate:g}" for name, rate in capacities.items()),
    }


@SPEC_COLUMNS.register(KIND_LINK)
def link_columns(spec: Spec) -> Columns:
    """Return a link's regions, budget and latency."""
    budget = spec.get("budget_bytes_per_s", 0) / BYTES_PER_MBIT
    return {
        "source": spec.get("source", EMPTY_CELL),
        "target": spec.get("target", EMPTY_CELL),
        "budget Mbit/s": round(budget),
        "one way ms": spec.get("one_way_ms", EMPTY_CELL),
    }


@SPEC_COLUMNS.register(KIND_SERVICE)
def service_columns(spec: Spec) -> Columns:
    """Return a service's slots, timeout and priority."""
    return {
        "slots": spec.get("slots", EMPTY_CELL),
        "timeout ms": spec.get("timeout_ms", EMPTY_CELL),
        "priority": spec.get("priority", EMPTY_CELL),
    }


@SPEC_COLUMNS.register(KIND_SITE)
def site_columns(spec: Spec) -> Columns:
    """Return a site's location and state."""
    return {
        "region": spec.get("region", EMPTY_CELL),
        "failure domain": spec.get("failure_domain", EMPTY_CELL),
        "state": spec.get("state", "active"),
    }


@SPEC_COLUMNS.register(KIND_UPSTREAM)
def upstream_columns(spec: Spec) -> Columns:
    """Return an upstream's service, location and state."""
    return {
        "service": spec.get("service", EMPTY_CELL),
        "region": spec.get("region", EMPTY_CELL),
        "failure domain": spec.get("failure_domain", EMPTY_CELL),
        "address": spec.get("address", EMPTY_CELL),
        "state": spec.get("state", "active"),
    }


@SPEC_COLUMNS.register(KIND_INTENT)
def intent_columns(spec: Spec) -> Columns:
    """Return an intent's requested weights or moves, and its cap."""
    weights = spec.get("weights", {})
    moves = spec.get("moves", [])
    wanted = [f"{name}={weight:g}" for name, weight in weights.items()]
    wanted += [f"{m['source']}>{m['target']} {m['share']:.0%}" for m in moves]
    cap = spec.get("cap", {})
    return {
        "service": spec.get("service", EMPTY_CELL),
        "wanted": _join(wanted),
        "cap": _join(f"{name}={value}" for name, value in cap.items()),
    }


@SPEC_COLUMNS.register(KIND_CLIENT_BLOCK_SET)
def client_block_set_columns(spec: Spec) -> Columns:
    """Return the number of a set's groups and prefixes."""
    groups = spec.get("groups", [])
    return {
        "groups": len(groups),
        "prefixes": sum(len(group.get("prefixes", [])) for group in groups),
    }


def _join(parts: Any) -> str:
    return ", ".join(str(part) for part in parts) or EMPTY_CELL
