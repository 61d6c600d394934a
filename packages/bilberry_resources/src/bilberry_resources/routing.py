"""Versioned routing configuration: routes, upstream pools and limits."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class WeightedService:
    """Represent one service of a route's traffic split and its weight."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class RouteRule:
    """Define how requests for a host and path prefix are routed.

    `target_latency_ms` is the latency objective. `priority` 0 is the highest.
    `max_attempts` limits the upstreams to which one request may be sent.
    With `sticky` an upstream is faster for an object that it had lately.
    An empty `home_regions` allows every region.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    services: tuple[WeightedService, ...]
    timeout_ms: int
    target_latency_ms: int
    max_attempts: int
    priority: int = 0
    sticky: bool = False
    home_regions: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class PoolConfig:
    """Configure the upstreams of one service.

    A cold upstream may get `cold_requests_per_s` requests per second, counted
    over all nodes.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_start_ms: int = 0
    cold_requests_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limit the size of requests and the time that clients may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 16_777_216
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


@dataclass(slots=True, frozen=True)
class RoutingConfig:
    """Represent one complete version of the routing configuration."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    pools: dict[str, PoolConfig] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
