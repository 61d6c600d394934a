"""One node of a placement simulation, with its connections."""

from dataclasses import dataclass, field

from bilberry_balance.placement.distances import Location
from bilberry_balance.placement.upstream import Upstream, UpstreamSpec
from bilberry_core.clock import ManualClock
from bilberry_resources.routing import (
    PoolConfig,
    RouteRule,
    RoutingConfig,
    WeightedService,
)
from bilberry_router.entry.placer import Placer
from bilberry_router.entry.state import EntryState, SharedLimits

from .placement_model import DeploymentModel

IDLE_MS = 9_000
HOST = "h"
MAX_ATTEMPTS = 2
SHARED_LIMITS = SharedLimits(
    retry_fraction=0.2,
    retry_slack=200,
    retry_window_ms=10_000,
    max_region_shift=0.15,
    stop_grace_ms=6_000,
)


@dataclass(slots=True)
class SimulatedNode:
    """Hold the placement state of one node."""

    location: Location
    state: EntryState
    placer: Placer
    idle_until_ms: dict[str, list[int]] = field(default_factory=dict)

    def is_connected(self, upstream: Upstream) -> bool:
        """Return whether a connection to an upstream is idle."""
        now_ms = self.state.clock.now_ms()
        return any(
            end_ms > now_ms for end_ms in self.idle_until_ms.get(upstream.name, ())
        )

    def take_connection(self, upstream: Upstream) -> bool:
        """Take an idle connection; return False if there is none."""
        now_ms = self.state.clock.now_ms()
        idle = self.idle_until_ms.get(upstream.name, [])
        while idle:
            if idle.pop() > now_ms:
                return True
        return False

    def keep_connection(self, upstream: Upstream) -> None:
        """Keep a connection for a later request."""
        idle = self.idle_until_ms.setdefault(upstream.name, [])
        idle.append(self.state.clock.now_ms() + IDLE_MS)


def make_node(
    name: str,
    location: Location,
    clock: ManualClock,
    model: DeploymentModel,
    specs: list[UpstreamSpec],
) -> SimulatedNode:
    """Return a node that knows all upstreams and its configuration."""
    state = EntryState(name, location, SHARED_LIMITS, clock)
    routes = tuple(
        RouteRule(
            service.name,
            HOST,
            f"/{service.name}/",
            service.idempotent,
            (WeightedService(service.name, 1),),
            service.timeout_ms,
            service.target_ms,
            MAX_ATTEMPTS,
            service.priority,
            sticky=True,
        )
        for service in model.services
    )
    spell = model.restart_spell
    pools = {
        service.name: PoolConfig(
            service.name,
            cold_start_ms=spell.cold_ms if spell else 0,
            cold_requests_per_s=model.cold_per_s,
        )
        for service in model.services
    }
    state.install(RoutingConfig(1, routes, pools))
    for spec in specs:
        state.upstreams.put(spec, draining=False)
    domains = len(model.phases) * model.domains_per_region
    state.set_known_nodes(domains * model.nodes_per_domain)
    node = SimulatedNode(location, state, Placer(state))
    state.selector.is_connected = node.is_connected
    return node
