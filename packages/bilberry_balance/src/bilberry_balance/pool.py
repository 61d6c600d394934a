"""Choose endpoints of one service in one region on one node.

The forwarder calls `pick`, then `on_request_started`, and exactly one
`on_request_finished` for each of those, also after a failure. All times are
monotonic ms.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from .const import DEFAULT_POLICY
from .ejection import OutlierEjector
from .endpoint import AttemptOutcome, Endpoint, EndpointShare, HealthState, LoadReport
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
        self.ejector = OutlierEjector()

    def update(self, shares: Iterable[EndpointShare], now_ms: int) -> None:
        """Set the configured endpoints and this node's shares.

        A removed endpoint gets no new requests; its requests in flight are
        counted until they end.
        """
        configured = {share.name: share for share in shares}
        for name in [n for n in self.endpoints if n not in configured]:
            self.retired[name] = self.endpoints.pop(name)
        for name, share in configured.items():
            existing = self.endpoints.get(name) or self.retired.pop(name, None)
            self.endpoints[name] = existing or Endpoint(share)
            self.endpoints[name].share = share
        self._drop_idle_retired()

    def pick(
        self,
        now_ms: int,
        exclude: frozenset[str] = frozenset(),
        may_wait: bool = True,
    ) -> Pick | None:
        """Return the endpoint for the next attempt.

        None means that no endpoint is usable or, with `may_wait`, that this
        node's slots are all in use and the request should wait.
        """
        usable = self.usable_endpoints(now_ms, exclude)
        if not usable:
            return None
        chosen = self.policy.choose(usable, now_ms, may_wait)
        if chosen is None:
            return None
        within_share = chosen.in_flight < chosen.slot_limit(now_ms)
        return Pick(chosen.name, within_share)

    def usable_endpoints(
        self, now_ms: int, exclude: frozenset[str] = frozenset()
    ) -> list[Endpoint]:
        """Return the endpoints that may take a new request."""
        available = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.accepts_requests()
            and endpoint.name not in exclude
            and endpoint.has_free_connection()
        ]
        return self.ejector.without_ejected(available, now_ms)

    def free_slots(self, now_ms: int) -> int:
        """Return how many more requests this node's shares allow."""
        return sum(
            max(0, endpoint.slot_limit(now_ms) - endpoint.in_flight)
            for endpoint in self.usable_endpoints(now_ms)
        )

    def on_request_started(self, name: str, now_ms: int) -> None:
        """Count a request that is being sent to an endpoint."""
        self._find_endpoint(name).in_flight += 1

    def on_request_finished(
        self, name: str, latency_ms: float, outcome: AttemptOutcome, now_ms: int
    ) -> None:
        """Count a request that ended and update its endpoint's state."""
        endpoint = self._find_endpoint(name)
        assert endpoint.in_flight > 0, f"{name} has no requests in flight"
        endpoint.in_flight -= 1
        if outcome is AttemptOutcome.ANSWERED:
            endpoint.observe_latency(latency_ms, now_ms)
        self.ejector.on_attempt_end(endpoint, outcome, self.endpoints.values(), now_ms)
        self._drop_idle_retired()

    def on_load(self, name: str, report: LoadReport, now_ms: int) -> None:
        """Store an endpoint's load report unless a newer one is known."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return
        old_report = endpoint.load
        if old_report is not None and report.measured_at_ms < old_report.measured_at_ms:
            return
        endpoint.load = report
        endpoint.load_received_ms = now_ms

    def on_health(self, name: str, health: HealthState, now_ms: int) -> None:
        """Store the result of an endpoint's health check."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.health is health:
            return
        was_unavailable = endpoint.health in (
            HealthState.WARMING,
            HealthState.UNREACHABLE,
        )
        if health is HealthState.READY and was_unavailable:
            endpoint.slow_start_from_ms = now_ms
        endpoint.health = health

    def set_draining(self, name: str, draining: bool = True) -> None:
        """Stop or resume sending new requests to an endpoint."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.draining = draining

    def _find_endpoint(self, name: str) -> Endpoint:
        existing = self.endpoints.get(name) or self.retired.get(name)
        assert existing is not None, f"endpoint {name} is not in the pool"
        return existing

    def _drop_idle_retired(self) -> None:
        for name in [n for n, e in self.retired.items() if e.in_flight == 0]:
            del self.retired[name]
