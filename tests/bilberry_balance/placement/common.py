"""Build upstreams and selectors for the tests of upstream selection."""

from bilberry_balance.placement.candidates import NoSelection, UpstreamRequirements
from bilberry_balance.placement.cold_rate_limiter import ColdRateLimiter
from bilberry_balance.placement.costs import NOT_QUEUED
from bilberry_balance.placement.directory import UpstreamDirectory
from bilberry_balance.placement.distances import Location
from bilberry_balance.placement.peer_loads import PeerLoads
from bilberry_balance.placement.processing_times import ProcessingTimes
from bilberry_balance.placement.rate_limiter import RateLimiter
from bilberry_balance.placement.selector import UpstreamSelector
from bilberry_balance.placement.upstream import UpstreamSpec

TARGET_MS = 600
SERVICE = "suivi"


def spec(name, domain="mtl-a", slots=4, service=SERVICE, started_at_ms=0):
    return UpstreamSpec(
        name=name,
        service=service,
        address=f"10.0.0.1:{abs(hash(name)) % 60_000}",
        failure_domain=domain,
        region=domain.split("-")[0],
        slots=slots,
        started_at_ms=started_at_ms,
    )


def requirements(key="k", homes=(), excluded=(), processing_times=None):
    return UpstreamRequirements(
        SERVICE,
        key,
        processing_times or ProcessingTimes.from_target(TARGET_MS),
        frozenset(homes),
        excluded,
    )


def pick_cheapest(regions, now_ms):
    """Pick the cheapest region, without any limit on shifts."""
    return regions[0] if regions else None


LOCATION = Location("mtl-a", "mtl")


def forbid_waiting(upstream):
    """Let the upstream be known to turn requests away if it is full."""
    upstream.shed_waiting = 0
    upstream.shed_at_ms = 10**12


class SelectorPool:
    """Store the upstreams of one service as seen by one node.

    Without `waiting` they are known to let no request wait for a slot.
    """

    def __init__(self, *specs, location=LOCATION, nodes=1, waiting=False):
        self.limiter = ColdRateLimiter("n1")
        self.rate_limiter = RateLimiter("n1")
        self.limiter.set_node_count(nodes)
        self.directory = UpstreamDirectory(self.limiter)
        self.peer_loads = PeerLoads()
        self.selector = UpstreamSelector(
            location,
            self.directory.pools,
            self.peer_loads,
            self.limiter,
            self.rate_limiter,
        )
        for item in specs:
            upstream = self.directory.put(item, draining=False)
            if not waiting:
                forbid_waiting(upstream)

    def __getitem__(self, name):
        return self.directory.by_name[name]

    def select(
        self, required=None, now_ms=10_000, pick=pick_cheapest, wait_state=NOT_QUEUED
    ):
        return self.selector.select(
            required or requirements(),
            self.directory.accepts_requests,
            pick,
            now_ms,
            wait_state,
        )

    def name_of(
        self, required=None, now_ms=10_000, pick=pick_cheapest, wait_state=NOT_QUEUED
    ):
        selection = self.select(required, now_ms, pick, wait_state)
        return (
            selection.value
            if isinstance(selection, NoSelection)
            else selection.upstream.name
        )
