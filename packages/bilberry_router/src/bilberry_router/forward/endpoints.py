"""Endpoint pools, their admission queues and their connections."""

from collections import defaultdict
from dataclasses import dataclass

from bilberry_balance.endpoint import AttemptOutcome, EndpointShare, HealthState
from bilberry_balance.pool import Pool
from bilberry_balance.shares import compute_connection_share, compute_slot_shares
from bilberry_core.clock import Clock
from bilberry_core.ids import stable_hash
from bilberry_fleet.messages import MemberState
from bilberry_resources.kinds.services import UpstreamSpec, UpstreamState

from ..state import NodeState
from .admission import AdmissionController
from .transport import EndpointConnections

PoolKey = tuple[str, str]


@dataclass(slots=True)
class SelectedEndpoint:
    """The endpoint that an attempt uses, with its connections."""

    name: str
    region: str
    pool: Pool
    connections: EndpointConnections
    started_at_ms: int

    def finish(self, outcome: AttemptOutcome, now_ms: int) -> None:
        """Report the attempt's outcome to the pool; call once."""
        self.pool.on_request_finished(
            self.name, now_ms - self.started_at_ms, outcome, now_ms
        )


class Endpoints:
    """Manage this node's endpoint pools as configured."""

    __slots__ = (
        "admission_controllers",
        "clock",
        "connections",
        "pools",
        "revision",
        "state",
    )

    def __init__(self, state: NodeState, clock: Clock) -> None:
        self.state = state
        self.clock = clock
        self.pools: dict[PoolKey, Pool] = {}
        self.admission_controllers: dict[PoolKey, AdmissionController] = {}
        self.connections: dict[str, EndpointConnections] = {}
        self.revision = -1

    def healthy_shares(self) -> dict[PoolKey, float]:
        """Return the reachable share (0 to 1) of each pool's slots."""
        pools = self.pools.items()
        return {key: healthy_share(pool) for key, pool in pools if pool.endpoints}

    def refresh(self) -> None:
        """Apply the installed configuration if it has changed."""
        if self.revision == self.state.revision:
            return
        self.revision = self.state.revision
        now_ms = self.clock.now_ms()
        groups: dict[PoolKey, dict[str, UpstreamSpec]] = defaultdict(dict)
        for name, spec in self.state.snapshot.upstreams.items():
            if spec.state is not UpstreamState.RETIRED:
                groups[spec.service, spec.region][name] = spec
        for key in self.pools.keys() | groups.keys():
            pool = self.pools.get(key)
            if pool is None:
                seed = stable_hash(self.state.settings.node.name, *key)
                pool = self.pools[key] = Pool(seed=seed)
            pool.update(self.endpoint_shares(groups.get(key, {})), now_ms)
            if key not in self.admission_controllers:
                self.admission_controllers[key] = AdmissionController(pool, self.clock)
            self.admission_controllers[key].update_limits()
        self.refresh_connections()

    def update_limits(self) -> None:
        """Resize the admission queues after health or slow-start changes."""
        for controller in self.admission_controllers.values():
            controller.update_limits()

    def admission_controller(
        self, service: str, region: str
    ) -> AdmissionController | None:
        """Return the admission queue of a service in a region, if known."""
        return self.admission_controllers.get((service, region))

    def choose(
        self, service: str, region: str, tried: frozenset[str], may_wait: bool
    ) -> SelectedEndpoint | None:
        """Choose an endpoint and start an attempt; None if there is none."""
        pool = self.pools.get((service, region))
        if pool is None:
            return None
        now_ms = self.clock.now_ms()
        picked = pool.pick(now_ms, tried, may_wait)
        if picked is None:
            return None
        connections = self.connections[picked.endpoint]
        pool.on_request_started(picked.endpoint, now_ms)
        return SelectedEndpoint(picked.endpoint, region, pool, connections, now_ms)

    def has_untried(
        self, service: str, regions: list[str], tried: frozenset[str]
    ) -> bool:
        """Return whether one of the regions has a usable, untried endpoint."""
        now_ms = self.clock.now_ms()
        pools = [self.pools.get((service, region)) for region in regions]
        return any(
            pool is not None and pool.usable_endpoints(now_ms, tried) for pool in pools
        )

    def endpoint_shares(self, specs: dict[str, UpstreamSpec]) -> list[EndpointShare]:
        """Return this node's shares of the endpoints of one pool."""
        node = self.state.settings.node.name
        members = self.member_names()
        totals = [(name, self.total_slots(spec)) for name, spec in specs.items()]
        slot_shares = compute_slot_shares(totals, members, node)
        return [
            EndpointShare(
                name=name,
                slots=self.total_slots(spec),
                connections=self.total_connections(spec),
                slot_share=slot_shares[name],
                connection_share=compute_connection_share(
                    self.total_connections(spec), members
                ),
                weight=spec.weight,
                draining=spec.state is UpstreamState.DRAINING,
            )
            for name, spec in specs.items()
        ]

    def member_names(self) -> list[str]:
        """Return the nodes that share the endpoints, this one included."""
        live = (MemberState.LIVE, MemberState.LEAVING)
        names = {m.name for m in self.state.members if m.state in live}
        return sorted(names | {self.state.settings.node.name})

    def total_slots(self, spec: UpstreamSpec) -> int:
        """Return the total slots of an endpoint, over all nodes."""
        service = self.state.snapshot.services.get(spec.service)
        if spec.slots is not None or service is None:
            return spec.slots or 1
        return service.slots

    def total_connections(self, spec: UpstreamSpec) -> int:
        """Return the connection limit of an endpoint, over all nodes."""
        service = self.state.snapshot.services.get(spec.service)
        if spec.connections is not None or service is None:
            return spec.connections or 1
        return service.connections

    def refresh_connections(self) -> None:
        """Open and close connection pools as endpoints come and go."""
        wanted = {}
        for pool in self.pools.values():
            wanted.update({e.name: e.share for e in pool.endpoints.values()})
        for name, share in wanted.items():
            address = self.state.snapshot.upstreams[name].address
            known = self.connections.get(name)
            if known is not None and known.address != address:
                known.close()
                known = None
            if known is None:
                known = EndpointConnections(address, share.connection_share, self.clock)
                self.connections[name] = known
            known.limit = share.connection_share
        for name in self.connections.keys() - wanted.keys():
            self.connections.pop(name).close()

    def close_idle(self) -> None:
        """Close connections that were idle for too long."""
        now_ms = self.clock.now_ms()
        for connections in self.connections.values():
            connections.close_idle(now_ms)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.connections.values():
            connections.close()


def healthy_share(pool: Pool) -> float:
    """Return the share (0 to 1) of a pool's active slots not unreachable."""
    active = [e for e in pool.endpoints.values() if not e.share.draining]
    total = sum(endpoint.share.slots for endpoint in active)
    unreachable = sum(
        e.share.slots for e in active if e.health is HealthState.UNREACHABLE
    )
    return 1.0 - unreachable / total if total else 0.0
