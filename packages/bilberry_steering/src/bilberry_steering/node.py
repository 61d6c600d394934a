"""Route requests on one node within the quotas of its plan.

All times are wall ms and must not decrease. Call `install_config` and
`install_plan` when a new version arrives, `route` for each request,
`take_quotas` for each retry in another region, `record_result` for each
result and `collect_report` once per report interval. `route_interval` routes
all requests of an interval at once.
"""

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import stable_hash
from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.snapshot import ConfigSnapshot

from .block_table import BlockTable, ClientGroup
from .circuit_breaker import CircuitBreaker
from .const import (
    DEFAULT_MEMBER_BOUND,
    DEFAULT_RETRY_AFTER_MS,
    SLOW_RETRY_AFTER_MS,
)
from .interval_routing import IntervalRouter
from .messages import NodeReport, Plan, PlanRef
from .quota_draws import QuotaDraw, quota_draw_for
from .quotas import NodeQuotas
from .resources import (
    capacities_of,
    link_resource,
    min_link_bucket_bytes,
    step_resource,
)
from .routing_results import (
    IntervalResult,
    PlanRefusal,
    RequestResult,
    Route,
    Shed,
    ShedReason,
)
from .routing_views import (
    GroupView,
    ServiceView,
    pick_weighted,
    reserved_link_share,
    spill_hash_point,
    target_hash_point,
)
from .slots import slot_of
from .token_bucket import TokenBucket
from .topology import default_group, serving_regions
from .traffic_counters import TrafficCounters


class NodeSteering:
    """Choose the region of each request that enters at one node.

    `member_bound` is the maximum number of nodes that the deployment runs
    at once; `started_ms` is the wall time at which the process started.
    """

    __slots__ = (
        "breakers",
        "default_group",
        "node",
        "plan",
        "quotas",
        "region",
        "site",
        "snapshot",
        "started_ms",
        "table",
        "tallies",
        "views",
    )

    def __init__(
        self,
        node: str,
        region: str,
        site: str = "",
        *,
        started_ms: int = 0,
        member_bound: int = DEFAULT_MEMBER_BOUND,
    ) -> None:
        self.node = node
        self.region = region
        self.site = site
        self.started_ms = started_ms
        self.snapshot = ConfigSnapshot()
        self.table = BlockTable()
        self.default_group = ClientGroup((region,))
        self.plan: Plan | None = None
        self.quotas = NodeQuotas(node, started_ms, member_bound)
        self.views: dict[str, ServiceView] = {}
        self.breakers: dict[tuple[str, str], CircuitBreaker] = {}
        self.tallies = TrafficCounters(started_ms)

    def install_config(
        self, snapshot: ConfigSnapshot, table: BlockTable, now_ms: int
    ) -> None:
        """Install a configuration and the table of its client blocks."""
        self.snapshot = snapshot
        self.table = table
        self.default_group = default_group(snapshot, self.region)
        capacities = capacities_of(snapshot)
        self.quotas.min_bucket_sizes = self.min_link_bucket_sizes(
            list(capacities.links)
        )
        self.quotas.install_config(capacities, now_ms)
        self.rebuild_views()

    def install_plan(self, plan: Plan, now_ms: int) -> Result[PlanRef, PlanRefusal]:
        """Install a plan, or return why it can't replace the one in force."""
        if self.plan is not None:
            if plan.epoch < self.plan.epoch:
                return Failure(PlanRefusal.OLDER_EPOCH)
            if plan.version <= self.plan.version:
                return Failure(PlanRefusal.OLDER_VERSION)
        previous = self.plan
        self.plan = plan
        self.quotas.install_plan(plan, now_ms)
        for name, service in plan.services.items():
            renumbered = previous is None or previous.regions != plan.regions
            previous_plan = previous.services.get(name) if previous else None
            if renumbered:
                previous_plan = None
            if name in self.views:
                self.views[name].step_limiter.apply_plan(previous_plan, service, now_ms)
        self.rebuild_views()
        return Success(plan.ref)

    def rebuild_views(self) -> None:
        """Rebuild the view of each service, keeping its step gate."""
        plan_regions = self.plan.regions if self.plan else []
        views: dict[str, ServiceView] = {}
        for name, spec in self.snapshot.services.items():
            plan = self.plan.services.get(name) if self.plan else None
            view = ServiceView(
                name,
                plan,
                plan_regions,
                serving_regions(self.snapshot, name),
                spec.request_bytes,
                spec.response_bytes,
                reserved_link_share(self.snapshot, name),
            )
            previous_view = self.views.get(name)
            if previous_view is not None:
                view.step_limiter = previous_view.step_limiter
            elif plan is not None:
                view.step_limiter.apply_plan(None, plan, 0)
            views[name] = view
        self.views = views

    def min_link_bucket_sizes(self, resources: list[str]) -> dict[str, float]:
        """Return the minimum bucket size in bytes of each link."""
        return dict.fromkeys(resources, min_link_bucket_bytes(self.snapshot))

    def group_of(self, client_ip: str) -> ClientGroup:
        """Return the group of a client, the node's default if unknown."""
        return self.table.group_of(client_ip) or self.default_group

    def route(
        self, service: str, client_ip: str, request_hash: int, now_ms: int
    ) -> Route | Shed:
        """Return the route of a request and take its quotas.

        `request_hash` is a 64-bit hash that keeps a caller in the same
        region, such as `stable_hash(service, client_ip)`.
        """
        view = self.views.get(service)
        if view is None:
            return Shed(ShedReason.UNKNOWN_SERVICE, SLOW_RETRY_AFTER_MS)
        self.apply_expiry(view, now_ms)
        group_key = self.group_of(client_ip).key
        group = view.group(group_key, self.snapshot)
        demand = self.tallies.demand(service, group_key)
        demand.requests += 1
        view.step_limiter.add_credit(1, now_ms)
        segment = group.segment_at(slot_of(request_hash))
        owner = segment.owner_after
        if segment.owner_before != segment.owner_after:
            if self.take_step_quota(view, now_ms):
                demand.moved += 1
            else:
                demand.held_back += 1
                owner = segment.owner_before
        owner = self.redirect(view, owner, request_hash, now_ms)
        candidates = self.candidate_regions(view, group, owner, now_ms)
        route = self.route_to_first_fit(service, group_key, candidates, now_ms)
        if route is not None:
            return route
        demand.shed += 1
        if not candidates:
            return Shed(ShedReason.NO_REGION, SLOW_RETRY_AFTER_MS)
        return Shed(ShedReason.NO_CAPACITY, DEFAULT_RETRY_AFTER_MS)

    def route_again(
        self, service: str, client_ip: str, request_hash: int, now_ms: int
    ) -> Route | None:
        """Return a route for a request that was shed, None if still full.

        A routed request no longer counts as shed. During a step it goes to
        the region from before the step, because `route` has already used
        its part of the step's quota.
        """
        view = self.views.get(service)
        if view is None:
            return None
        self.apply_expiry(view, now_ms)
        group_key = self.group_of(client_ip).key
        group = view.group(group_key, self.snapshot)
        owner = group.segment_at(slot_of(request_hash)).owner_before
        owner = self.redirect(view, owner, request_hash, now_ms)
        candidates = self.candidate_regions(view, group, owner, now_ms)
        route = self.route_to_first_fit(service, group_key, candidates, now_ms)
        if route is not None:
            demand = self.tallies.demand(service, group_key)
            demand.shed = max(0, demand.shed - 1)
        return route

    def route_to_first_fit(
        self, service: str, group_key: str, candidates: list[str], now_ms: int
    ) -> Route | None:
        """Take the quotas of the first region that has enough left."""
        for region in candidates:
            if self.take_quotas(service, region, now_ms):
                others = [name for name in candidates if name != region]
                return Route(region, others, group_key)
        return None

    def apply_expiry(self, view: ServiceView, now_ms: int) -> None:
        """Expire quotas, and end the catch-up of a node that missed steps."""
        self.quotas.update_source(now_ms)
        gate = view.step_limiter
        if gate.catch_up_started_ms is None or view.plan is None:
            return
        gate.end_catch_up_if_done(view.plan, now_ms)
        if gate.catch_up_started_ms is None:
            view.groups.clear()

    def take_step_quota(self, view: ServiceView, now_ms: int) -> bool:
        """Return whether the step may move a request, and take its quota.

        Both the credit from the maximum share and the maximum rate must
        allow it.
        """
        bucket = self.step_bucket(view)
        if bucket is not None and not bucket.can_take(1, now_ms):
            return False
        if not view.step_limiter.try_spend_one():
            return False
        if bucket is not None:
            bucket.take(1)
        return True

    def step_bucket(self, view: ServiceView) -> TokenBucket | None:
        """Return the bucket of the step's maximum rate, None without one."""
        return self.quotas.buckets.get(step_resource(view.name))

    def redirect(
        self, view: ServiceView, owner: str, request_hash: int, now_ms: int
    ) -> str:
        """Return the region after spill and this node's circuit breaker."""
        plan = view.plan
        if plan is None:
            return owner
        spill = plan.spill.get(owner)
        point = spill_hash_point(request_hash)
        if spill is not None and point >= 1.0 - spill.fraction:
            picked = pick_weighted(spill.targets, target_hash_point(request_hash))
            owner = picked or owner
        if spill_hash_point(request_hash) >= self.admitted_share(
            view.name, owner, now_ms
        ):
            weights = plan.failover.get(owner, {})
            owner = pick_weighted(weights, target_hash_point(request_hash)) or owner
        return owner

    def admitted_share(self, service: str, region: str, now_ms: int) -> float:
        """Return the share of requests that the circuit breaker admits."""
        breaker = self.breakers.get((service, region))
        return 1.0 if breaker is None else breaker.admitted_share(now_ms)

    def accepts_overflow(self, view: ServiceView, region: str, now_ms: int) -> bool:
        """Return whether a region may take requests that others can't."""
        if self.admitted_share(view.name, region, now_ms) < 1.0:
            return False
        spill = view.plan.spill.get(region) if view.plan else None
        return spill is None or spill.fraction == 0

    def candidate_regions(
        self, view: ServiceView, group: GroupView, owner: str, now_ms: int
    ) -> list[str]:
        """Return the owner, then the other usable regions, nearest first."""
        others = [
            name
            for name in group.region_order
            if name != owner and self.accepts_overflow(view, name, now_ms)
        ]
        if (
            owner in view.regions_with_capacity
            and self.admitted_share(view.name, owner, now_ms) > 0
        ):
            return [owner, *others]
        return others

    def draw_for(self, view: ServiceView, region: str) -> QuotaDraw:
        """Return the buckets and costs of a request to a region."""
        return quota_draw_for(self.quotas.buckets, self.region, view, region)

    def take_quotas(self, service: str, region: str, now_ms: int) -> bool:
        """Take one request's quotas for a region; return False if short."""
        return self.draw_for(self.views[service], region).try_take(now_ms)

    def record_result(self, result: RequestResult, now_ms: int) -> None:
        """Count a result and charge its actual sizes to the links."""
        flow = self.tallies.flow(result.service, result.group, result.region)
        flow.add(result.ok, result.latency_ms)
        breaker = self.breakers.setdefault(
            (result.service, result.region), CircuitBreaker(now_ms)
        )
        breaker.record(result.ok, now_ms)
        if result.region != self.region:
            self.record_link_bytes(result)

    def record_link_bytes(self, result: RequestResult) -> None:
        """Charge the links the difference of actual and expected sizes."""
        view = self.views.get(result.service)
        if view is None:
            return
        draw = self.draw_for(view, result.region)
        out_link = link_resource(self.region, result.region)
        in_link = link_resource(result.region, self.region)
        self.tallies.add_link(out_link, result.request_bytes)
        self.tallies.add_link(in_link, result.response_bytes)
        draw.settle(result.request_bytes, result.response_bytes)

    def collect_report(self, now_ms: int) -> NodeReport:
        """Return the counts since the last report and reset them."""
        tallies = self.tallies
        self.tallies = TrafficCounters(now_ms)
        return NodeReport(
            node=self.node,
            region=self.region,
            site=self.site,
            sent_at_ms=now_ms,
            window_ms=max(1, now_ms - tallies.window_start_ms),
            started_at_ms=self.started_ms,
            plan=self.plan.ref if self.plan else PlanRef(),
            demands=list(tallies.demands.values()),
            flows=list(tallies.flows.values()),
            link_bytes=tallies.link_bytes,
        )

    def lookup_regions(self, service: str, client_ip: str, now_ms: int) -> list[str]:
        """Return the regions whose entry VMs a client may use, best first.

        A lost region is left out. While a region recovers, the share of
        its callers that still spills gets it last, so load returns slowly.
        """
        view = self.views.get(service)
        if view is None:
            return []
        group_key = self.group_of(client_ip).key
        order = view.group(group_key, self.snapshot).region_order
        point = spill_hash_point(stable_hash(service, client_ip))
        preferred: list[str] = []
        later: list[str] = []
        for region in order:
            share = self.entry_share(view, region, now_ms)
            if share > 0:
                (preferred if point < share else later).append(region)
        return preferred + later or list(order)

    def entry_share(self, view: ServiceView, region: str, now_ms: int) -> float:
        """Return the share of callers that a look-up sends to a region."""
        spill = view.plan.spill.get(region) if view.plan else None
        kept = 1.0 - spill.fraction if spill and spill.lost else 1.0
        return min(kept, self.admitted_share(view.name, region, now_ms))

    def route_interval(
        self,
        service: str,
        group_key: str,
        count: float,
        now_ms: int,
        interval_ms: int = MS_PER_SECOND,
        spill_fraction: float | None = None,
    ) -> IntervalResult:
        """Route a group's requests, spread evenly over an interval.

        The interval ends at `now_ms`; call once per interval and group.
        `spill_fraction` is the fraction that spills, the plan's if None.
        """
        view = self.views[service]
        self.apply_expiry(view, now_ms - interval_ms)
        result = IntervalResult(now_ms, interval_ms, spill_fraction)
        return IntervalRouter(self, view, group_key, result).route_requests(count)
