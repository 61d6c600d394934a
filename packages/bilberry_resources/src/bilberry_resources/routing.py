"""Versioned routing configuration: routes, workspaces, pools and limits."""

from dataclasses import dataclass, field
from enum import StrEnum


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
    An empty `home_regions` allows every region. A `public` route needs no
    key. One that isn't `valid` could be read only in part, and serves nothing.
    `unweighted` are services of its split whose weight isn't positive.
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
    public: bool = False
    valid: bool = True
    unweighted: tuple[WeightedService, ...] = ()


@dataclass(slots=True, frozen=True)
class Workspace:
    """Define who may send requests with which keys, and how many.

    Only digests of the keys are kept. A `priority` goes before that of the
    route. `rate_per_s` and `burst` limit the requests through all nodes; a
    rate of 0 is no limit. An empty `home_regions` allows every region.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()


class Severity(StrEnum):
    """Define whether a problem costs requests or is only useless."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(slots=True, frozen=True)
class ConfigProblem:
    """Tell what is wrong with one resource of a configuration.

    `index` is the resource's place in the stored list and `field` the path of
    the field that can't be read, as far as they are known.
    """

    severity: Severity
    resource: str
    name: str
    message: str
    index: int | None = None
    field: str = ""

    def __str__(self) -> str:
        """Return the problem as text."""
        resource = f"{self.resource} {self.name}".strip()
        field = f"{self.field}: " if self.field else ""
        return f"{resource}: {field}{self.message}"


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
    """Represent one complete version of the routing configuration.

    With `requires_keys`, requests on routes that aren't public need the key
    of a workspace. `problems` lists the resources that could not be read, and
    `has_unknown_routes` is set if not even the paths of some are known.
    """

    version: int
    routes: tuple[RouteRule, ...] = ()
    pools: dict[str, PoolConfig] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[Workspace, ...] = ()
    requires_keys: bool = False
    has_unknown_routes: bool = False
    problems: tuple[ConfigProblem, ...] = ()

    def service_names(self) -> frozenset[str]:
        """Return the services that have a pool or are on a route."""
        parts = (p for rule in self.routes for p in rule.services + rule.unweighted)
        return frozenset(self.pools) | {part.service for part in parts}
