"""Routes, pools of upstreams and limits of callers, as one version."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class SplitPart:
    """Give a service its part of a route's requests."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class RouteRule:
    """Tell where requests of one host and path prefix go; times in ms.

    `target_ms` is the latency objective. `priority` 0 is the most urgent.
    `max_attempts` bounds the upstreams that one request may be sent to.
    An empty `home_regions` allows every region.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    parts: tuple[SplitPart, ...]
    timeout_ms: int
    target_ms: int
    max_attempts: int
    priority: int = 0
    sticky: bool = False
    home_regions: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class PoolRule:
    """Bound what the upstreams of one service take; times in ms.

    A cold upstream tolerates `cold_per_s` requests a second, from all
    nodes together.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_start_ms: int = 0
    cold_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bound what one caller may send, and how long it may take, in ms."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 16_777_216
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


@dataclass(slots=True, frozen=True)
class RoutingConfig:
    """Hold one whole version of the routing configuration."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    pools: dict[str, PoolRule] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
