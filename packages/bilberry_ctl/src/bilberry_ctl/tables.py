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

NONE = "-"
MBIT_BYTES = 125_000

Spec = Mapping[str, Any]
Columns = Mapping[str, Any]

SPEC_COLUMNS: Registry[str, Callable[[Spec], Columns]] = Registry()


def object_rows(
    kind: str, objects: list[StoredObject]
) -> tuple[list[str], list[list[Any]]]:
    """Return the column headings and one row for each object."""
    columns = ["name", *SPEC_COLUMNS[kind]({}), "version", "in force", "sites"]
    rows = [_object_row(stored) for stored in objects]
    return [name.upper() for name in columns], rows


def _object_row(stored: StoredObject) -> list[Any]:
    spec = SPEC_COLUMNS[stored.kind](stored.spec)
    status = stored.status
    in_force: Any = status.in_force if status else NONE
    sites = f"{status.sites_applied}/{status.sites_total}" if status else NONE
    metadata = stored.metadata
    return [metadata.name, *spec.values(), metadata.version, in_force, sites]


@SPEC_COLUMNS.register(KIND_REGION)
def region_columns(spec: Spec) -> Columns:
    """Return a region's failure domains and capacities."""
    capacities = spec.get("capacity_per_s", {})
    return {
        "failure domains": _joined(spec.get("failure_domains", [])),
        "capacity/s": _joined(f"{name}={rate:g}" for name, rate in capacities.items()),
    }


@SPEC_COLUMNS.register(KIND_LINK)
def link_columns(spec: Spec) -> Columns:
    """Return a link's regions, budget and latency."""
    budget = spec.get("budget_bytes_per_s", 0) / MBIT_BYTES
    return {
        "source": spec.get("source", NONE),
        "target": spec.get("target", NONE),
        "budget Mbit/s": round(budget),
        "one way ms": spec.get("one_way_ms", NONE),
    }


@SPEC_COLUMNS.register(KIND_SERVICE)
def service_columns(spec: Spec) -> Columns:
    """Return a service's slots, timeout and priority."""
    return {
        "slots": spec.get("slots", NONE),
        "timeout ms": spec.get("timeout_ms", NONE),
        "priority": spec.get("priority", NONE),
    }


@SPEC_COLUMNS.register(KIND_SITE)
def site_columns(spec: Spec) -> Columns:
    """Return a site's location and state."""
    return {
        "region": spec.get("region", NONE),
        "failure domain": spec.get("failure_domain", NONE),
        "state": spec.get("state", "active"),
    }


@SPEC_COLUMNS.register(KIND_UPSTREAM)
def upstream_columns(spec: Spec) -> Columns:
    """Return an upstream's service, location and state."""
    return {
        "service": spec.get("service", NONE),
        "region": spec.get("region", NONE),
        "failure domain": spec.get("failure_domain", NONE),
        "address": spec.get("address", NONE),
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
        "service": spec.get("service", NONE),
        "wanted": _joined(wanted),
        "cap": _joined(f"{name}={value}" for name, value in cap.items()),
    }


@SPEC_COLUMNS.register(KIND_CLIENT_BLOCK_SET)
def client_block_set_columns(spec: Spec) -> Columns:
    """Return the number of a set's groups and prefixes."""
    groups = spec.get("groups", [])
    return {
        "groups": len(groups),
        "prefixes": sum(len(group.get("prefixes", [])) for group in groups),
    }


def _joined(parts: Any) -> str:
    return ", ".join(str(part) for part in parts) or NONE
