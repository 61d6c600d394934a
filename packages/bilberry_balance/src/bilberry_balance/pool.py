"""Choose endpoints of one service in one region on one node.

The forwarder calls `pick`, then `started`, and exactly one `finished` for
each `started`, also after a failure. All times are monotonic ms.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from .const import DEFAULT_POLICY
from .ejection import Ejector
from .endpoint import AttemptEnd, Endpoint, EndpointShare, HealthState, LoadReport
from .policies import POLICIES


@dataclass(slots=True, frozen=True)
class Pick:
    """Store the endpoint chosen for an attempt.

    `within_share` tells whether it uses one of this node's own slots.
    """

    endpoint: str
    within_share: bool


class Pool:
    """Track a node's view of the endpoints and choose among them."""

    __slots__ = ("ejector", "endpoints", "policy", "retired")

    def __init__(self, policy: str = DEFAULT_POLICY, seed: int = 0) -> None:
        self.policy = POLICIES[policy](random.Random(seed))
        self.endpoints: dict[str, Endpoint] = {}
        self.retired: dict[str, Endpoint] = {}
        self.ejector = Ejector()

    def update(self, shares: Iterable[EndpointShare], now_ms: int) -> None:
        """Set the configured endpoints and this node's shares.

        A removed endpoint gets no new requests; its requests in flight are
        counted until they end.
        """
        wanted = {share.name: share for share in shares}
        for name in [n for n in self.endpoints if n not in wanted]:
            self.retired[name] = self.endpoints.pop(name)
        for name, share in wanted.items():
            known = self.endpoints.get(name) or self.retired.pop(name, None)
            self.endpoints[name] = known or Endpoint(share)
            self.endpoints[name].share = share
        self._forget_idle()

    def pick(
        self,
        now_ms: int,
        exclude: frozenset[str] = frozenset(),
        hold: bool = True,
    ) -> Pick | None:
        """Return the endpoint for the next attempt.

        None means that no endpoint is usable or, with `hold`, that this
        node's slots are all in use and the request should wait.
        """
        usable = self.usable(now_ms, exclude)
        if not usable:
            return None
        chosen = self.policy.choose(usable, now_ms, hold)
        if chosen is None:
            return None
        within_share = chosen.in_flight < chosen.slot_limit(now_ms)
        return Pick(chosen.name, within_share)

    def usable(
        self, now_ms: int, exclude: frozenset[str] = frozenset()
    ) -> list[Endpoint]:
        """Return the endpoints that may take a new request."""
        open_ones = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.takes_work()
            and endpoint.name not in exclude
            and endpoint.has_connection()
        ]
        return self.ejector.without_ejected(open_ones, now_ms)

    def free_slots(self, now_ms: int) -> int:
        """Return how many more requests this node's shares allow."""
        return sum(
            max(0, endpoint.slot_limit(now_ms) - endpoint.in_flight)
            for endpoint in self.usable(now_ms)
        )

    def started(self, endpoint: str, now_ms: int) -> None:
        """Count a request that is being sent to `endpoint`."""
        self._known(endpoint).in_flight += 1

    def finished(
        self, endpoint: str, latency_ms: float, end: AttemptEnd, now_ms: int
    ) -> None:
        """Count a request that ended and update the endpoint's state."""
        known = self._known(endpoint)
        assert known.in_flight > 0, f"{endpoint} has no requests in flight"
        known.in_flight -= 1
        if end is AttemptEnd.ANSWERED:
            known.observe_latency(latency_ms, now_ms)
        self.ejector.on_end(known, end, self.endpoints.values(), now_ms)
        self._forget_idle()

    def on_load(self, endpoint: str, report: LoadReport, now_ms: int) -> None:
        """Store a load report of `endpoint` unless a newer one is known."""
        known = self.endpoints.get(endpoint)
        if known is None:
            return
        old = known.load
        if old is not None and report.measured_at_ms < old.measured_at_ms:
            return
        known.load = report
        known.load_at_ms = now_ms

    def on_health(self, endpoint: str, health: HealthState, now_ms: int) -> None:
        """Store the result of a health check."""
        known = self.endpoints.get(endpoint)
        if known is None or known.health is health:
            return
        was_out = known.health in (HealthState.WARMING, HealthState.UNREACHABLE)
        if health is HealthState.READY and was_out:
            known.ramp_from_ms = now_ms
        known.health = health

    def set_draining(self, endpoint: str, draining: bool = True) -> None:
        """Stop sending new requests to `endpoint`, or resume it."""
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.draining = draining

    def _known(self, name: str) -> Endpoint:
        known = self.endpoints.get(name) or self.retired.get(name)
        assert known is not None, f"endpoint {name} is not in the pool"
        return known

    def _forget_idle(self) -> None:
        for name in [n for n, e in self.retired.items() if e.in_flight == 0]:
            del self.retired[name]
