"""Build the objects that operators and upstreams keep in the store."""

from typing import Any

from .upstream import PATH_HEALTH

Spec = dict[str, Any]

DEFAULT_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000_000,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}
DEFAULT_ROUTE = {
    "host": "shop.example",
    "kind": "idempotent",
    "timeout_s": 2,
    "target_latency_s": 0.5,
    "priority": 1,
    "service": "s",
    "max_attempts": 2,
    "sticky": True,
    "home_regions": [],
}
POOL: Spec = {
    "health_path": PATH_HEALTH,
    "max_connections": 360,
    "cold_start_s": 3.0,
    "cold_per_s": 6.4,
}


def config_spec(
    version: int = 1, routes: list[tuple[str, str]] | None = None, **limits: Any
) -> Spec:
    """Return a configuration; routes are names and path prefixes."""
    resources = [route_spec(*route) for route in routes or [("read", "/read/")]]
    return config_of(version, resources, **limits)


def config_of(version: int, routes: list[Spec], **limits: Any) -> Spec:
    """Return a configuration of routes and workspaces with one service."""
    service = {"resource_kind": "services", "metadata": {"name": "s"}, "spec": POOL}
    bounds = {
        "resource_kind": "limits",
        "metadata": {},
        "spec": {**DEFAULT_LIMITS, **limits},
    }
    resources = [*routes, service, bounds]
    return {"version": version, "base_version": 0, "resources": resources}


def route_spec(name: str, prefix: str, **fields: Any) -> Spec:
    """Return a route for a path prefix."""
    spec = {**DEFAULT_ROUTE, "path_prefix": prefix, **fields}
    return {"resource_kind": "routes", "metadata": {"name": name}, "spec": spec}


def workspace_spec(name: str, keys: list[str], **fields: Any) -> Spec:
    """Return a workspace with its keys."""
    spec = {"api_keys": keys, "priority": 0, "home_regions": [], **fields}
    return {"resource_kind": "tenants", "metadata": {"name": name}, "spec": spec}


def upstream_entry(
    address: str, slots: int, zone: str = "mtl-a", born: int = 1, service: str = "s"
) -> Spec:
    """Return what an upstream registers of itself."""
    info = {"service": service, "version": "v1", "zone": zone, "slots": slots}
    return {"address": address, "born": born, "info": info}


def upstream_status(state: str = "ready", sequence: int = 1, cold_s: float = 0) -> Spec:
    """Return an upstream's status, as it writes it again and again."""
    return {"state": state, "sequence": sequence, "cold_remaining_s": cold_s}
