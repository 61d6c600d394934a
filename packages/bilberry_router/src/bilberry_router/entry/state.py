"""State shared by the components of an entry node."""

from dataclasses import dataclass, field

from bilberry_balance.authentication import KeyTable
from bilberry_balance.placement.cold_rate_limiter import ColdRateLimiter
from bilberry_balance.placement.directory import UpstreamDirectory
from bilberry_balance.placement.distances import Location
from bilberry_balance.placement.peer_loads import PeerLoads
from bilberry_balance.placement.processing_times import ProcessingTimes
from bilberry_balance.placement.rate_limiter import RateLimiter
from bilberry_balance.placement.restarts import RestartTracker
from bilberry_balance.placement.selector import UpstreamSelector
from bilberry_balance.placement.upstream import Upstream
from bilberry_balance.quota.limiter import QuotaLimiter
from bilberry_balance.quota.reports import QuotaBounds
from bilberry_balance.retry_window import RetryWindow
from bilberry_core.clock import Clock
from bilberry_core.ids import stable_hash
from bilberry_fleet.discovery.config_proof import ConfigProof
from bilberry_resources.routing import (
    CallerLimits,
    PoolConfig,
    RouteRule,
    RoutingConfig,
)
from bilberry_steering.initial_shares import initial_shares
from bilberry_steering.region_share_limiter import RegionShareLimiter
from bilberry_steering.route_table import RouteTable

from .const import RETRY_LIMIT_FRACTION, UNLISTED_NODES
from .counts import EntryCounts


@dataclass(slots=True, frozen=True)
class SharedLimits:
    """Store the limits that the operator sets for all nodes together.

    Retries of a service are limited to `retry_fraction`, a fraction of its
    requests, plus `retry_slack`, in any `retry_window_ms`. `max_region_shift`
    is the largest fraction of a region's requests that may change region in
    2 s. Keys that were taken away stop to work after `revoke_ms` at all nodes;
    0 is no limit. Without `quota`, those of workspaces are not kept.
    """

    retry_fraction: float
    retry_slack: float
    retry_window_ms: int
    max_region_shift: float
    stop_grace_ms: int
    revoke_ms: int = 0
    quota: QuotaBounds | None = None


@dataclass(slots=True)
class EntryState:
    """Store the routes, upstreams, loads and budgets of this node."""

    node: str
    location: Location
    shared_limits: SharedLimits
    clock: Clock
    routes: RouteTable = field(init=False)
    cold_rate_limiter: ColdRateLimiter = field(init=False)
    rate_limiter: RateLimiter = field(init=False)
    upstreams: UpstreamDirectory = field(init=False)
    peer_loads: PeerLoads = field(init=False)
    selector: UpstreamSelector = field(init=False)
    region_share_limiter: RegionShareLimiter = field(init=False)
    restarts: RestartTracker = field(init=False)
    config_proof: ConfigProof = field(init=False)
    keys: KeyTable = field(default_factory=KeyTable)
    route_times: dict[str, ProcessingTimes] = field(default_factory=dict)
    retry_budgets: dict[str, RetryWindow] = field(default_factory=dict)
    counts: EntryCounts = field(default_factory=EntryCounts)
    known_nodes: int = 1
    has_node_list: bool = False
    quotas: QuotaLimiter | None = None

    def __post_init__(self) -> None:
        """Create the components."""
        self.routes = RouteTable(stable_hash(self.node))
        self.config_proof = ConfigProof(self.clock, self.shared_limits.revoke_ms)
        self.cold_rate_limiter = ColdRateLimiter(self.node)
        self.rate_limiter = RateLimiter(self.node)
        self.upstreams = UpstreamDirectory(self.cold_rate_limiter)
        self.restarts = RestartTracker(self.upstreams, self.pool)
        self.peer_loads = PeerLoads()
        self.selector = UpstreamSelector(
            self.location,
            self.upstreams.pools,
            self.peer_loads,
            self.cold_rate_limiter,
            self.rate_limiter,
        )
        ranks = self.selector.ranks
        ranks.accepts_requests = self.upstreams.accepts_requests
        ranks.is_in_service = self.upstreams.is_in_service
        self.region_share_limiter = RegionShareLimiter(
            self.shared_limits.max_region_shift
        )
        self.set_quota_bounds(self.shared_limits.quota)

    @property
    def limits(self) -> CallerLimits:
        """Return the current limits on callers."""
        config = self.routes.config
        return config.limits if config else CallerLimits()

    @property
    def config_version(self) -> int:
        """Return the version of the current configuration, 0 without one."""
        config = self.routes.config
        return config.version if config else 0

    def pool(self, service: str) -> PoolConfig:
        """Return the pool settings of a service."""
        config = self.routes.config
        found = config.pools.get(service) if config else None
        return found or PoolConfig(service)

    def install(self, config: RoutingConfig) -> bool:
        """Install a configuration if it is newer; return whether it was."""
        former = self.routes.config
        if not self.routes.install(config):
            return False
        self.set_pools(former.pools if former else {}, config)
        self.keys.install(config.workspaces)
        if self.quotas is not None:
            self.quotas.set_workspaces(config.workspaces, self.clock.now_ms())
        return True

    def set_pools(self, former: dict[str, PoolConfig], config: RoutingConfig) -> None:
        """Count the upstreams of the services that are named now.

        Those that registered before their service was named may be cold.
        """
        if self.upstreams.set_services(config.service_names()):
            self.selector.ranks.clear()
        now_ms = self.clock.now_ms()
        for upstream in self.upstreams.by_name.values():
            service = upstream.spec.service
            pool = config.pools.get(service)
            if pool and service not in former and upstream.is_cold(now_ms):
                self.cold_rate_limiter.schedule_first(
                    upstream, pool.cold_requests_per_s, now_ms
                )

    def processing_times(self, rule: RouteRule, service: str) -> ProcessingTimes:
        """Return the processing times of a route at a service."""
        name = f"{rule.name}@{service}"
        found = self.route_times.get(name)
        if found is None:
            found = ProcessingTimes.from_target(rule.target_latency_ms)
            self.route_times[name] = found
        return found

    def retry_budget(self, service: str) -> RetryWindow:
        """Return this node's share of a service's retries."""
        found = self.retry_budgets.get(service)
        if found is None:
            limits = self.shared_limits
            fraction = limits.retry_fraction * RETRY_LIMIT_FRACTION
            found = RetryWindow(fraction, self.retry_slack(), limits.retry_window_ms)
            self.retry_budgets[service] = found
        return found

    def retry_slack(self) -> float:
        """Return this node's share of the retry slack."""
        slack = self.shared_limits.retry_slack * RETRY_LIMIT_FRACTION
        return max(1.0, slack / self.cold_rate_limiter.assumed_nodes)

    def set_known_nodes(self, count: int) -> None:
        """Divide shared limits by `count` nodes, including this one."""
        if count == self.known_nodes:
            return
        self.known_nodes = count
        self.set_quota_nodes()
        self.cold_rate_limiter.set_node_count(count)
        self.rate_limiter.node_count = count
        for budget in self.retry_budgets.values():
            budget.slack = self.retry_slack()

    def init_region_shares(self, now_ms: int) -> None:
        """Set the initial shares of the regions from their slots, once."""
        if self.region_share_limiter.shares:
            return
        slots: dict[str, float] = {}
        for upstream in self.upstreams.by_name.values():
            if self.upstreams.is_named(upstream):
                region = upstream.spec.region
                slots[region] = slots.get(region, 0.0) + upstream.spec.slots
        self.region_share_limiter.set_initial_shares(
            initial_shares(slots, self.location.region), now_ms
        )

    def update_open_regions(self) -> None:
        """Tell the limiter which regions have an upstream that may be used."""
        accepts = self.upstreams.accepts_requests
        self.region_share_limiter.set_open_regions(
            {u.spec.region for u in self.upstreams.by_name.values() if accepts(u)}
        )

    def service_load(self, service: str, now_ms: int) -> int:
        """Return the known number of requests at a service's upstreams."""
        pool = self.upstreams.pools.get(service, {})
        return round(
            sum(u.load(self.peer_loads.total(u.name), now_ms) for u in pool.values())
        )

    def service_slots(self, service: str) -> int:
        """Return the slots of all of a service's upstreams."""
        pool = self.upstreams.pools.get(service, {})
        return sum(upstream.spec.slots for upstream in pool.values())

    def count_slow_upstreams(self, service: str, now_ms: int) -> int:
        """Return how many of a service's upstreams count as slow."""
        pool = self.upstreams.pools.get(service, {})
        return sum(upstream.is_slow(now_ms) for upstream in pool.values())

    def count_rate_limited_upstreams(self, service: str) -> int:
        """Return how many of a service's upstreams name a rate limit."""
        pool = self.upstreams.pools.get(service, {})
        return sum(u.rate_limit.per_s is not None for u in pool.values())

    def adjust_rate_limits(self, now_ms: int) -> None:
        """Adjust to what all nodes send to limited upstreams."""
        self.rate_limiter.peer_rates.expire(now_ms)
        self.rate_limiter.adjust(self.upstreams.by_name.values(), now_ms)

    def set_shared_limits(self, shared_limits: SharedLimits) -> None:
        """Apply changed limits."""
        self.shared_limits = shared_limits
        self.config_proof.revoke_ms = shared_limits.revoke_ms
        self.region_share_limiter.set_max_share(shared_limits.max_region_shift)
        self.retry_budgets.clear()
        self.set_quota_bounds(shared_limits.quota)

    def record_node_list(self) -> None:
        """Record that the known nodes are all that the store lists."""
        self.has_node_list = True
        self.set_quota_nodes()

    def set_quota_nodes(self) -> None:
        """Divide quotas by all nodes; before they are listed, by many."""
        if self.quotas is not None:
            count = self.known_nodes if self.has_node_list else UNLISTED_NODES
            self.quotas.node_count = count

    def set_quota_bounds(self, bounds: QuotaBounds | None) -> None:
        """Keep quotas by these bounds; the counts end with another window."""
        if bounds is None:
            self.quotas = None
            return
        if self.quotas is not None and self.quotas.set_bounds(bounds):
            return
        self.quotas = QuotaLimiter(self.node, bounds)
        self.set_quota_nodes()
        config = self.routes.config
        if config is not None:
            self.quotas.set_workspaces(config.workspaces, self.clock.now_ms())

    def record_leaving(self, upstream: Upstream) -> None:
        """Record that an upstream wants nothing more from any node."""
        upstream.leaving = True
        self.selector.ranks.clear(upstream.spec.service)

    def record_displaced(self, upstream: Upstream) -> None:
        """Record that another upstream answers at its address."""
        self.record_leaving(upstream)
        holder = self.upstreams.displace(upstream)
        if holder is not None:
            self.selector.ranks.clear(holder.spec.service)

    def in_flight(self) -> dict[str, int]:
        """Return this node's in-flight requests by upstream, without zeros."""
        return {
            name: upstream.in_flight
            for name, upstream in self.upstreams.by_name.items()
            if upstream.in_flight
        }
