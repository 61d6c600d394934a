"""Store the upstreams of all services as found by discovery."""

from .cold_rate_limiter import ColdRateLimiter
from .upstream import Upstream, UpstreamSpec


class UpstreamDirectory:
    """Store upstreams by name and by service; times in monotonic ms.

    Of several at one address the latest started one holds it. The others
    have ended, though their entries may still be there. Entries of services
    that the configuration doesn't name, and those whose address has said that
    they aren't there, hold no address. Before the first configuration all
    `services` count.
    """

    __slots__ = (
        "by_name",
        "cold_rate_limiter",
        "evacuated",
        "holders",
        "pools",
        "services",
    )

    def __init__(self, cold_rate_limiter: ColdRateLimiter) -> None:
        self.cold_rate_limiter = cold_rate_limiter
        self.by_name: dict[str, Upstream] = {}
        self.pools: dict[str, dict[str, Upstream]] = {}
        self.holders: dict[str, Upstream] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.services: frozenset[str] | None = None

    def set_services(self, services: frozenset[str]) -> bool:
        """Replace the services that are named; return whether they changed."""
        if services == self.services:
            return False
        self.services = services
        self.holders.clear()
        for upstream in self.by_name.values():
            self._claim_address(upstream)
        return True

    def is_named(self, upstream: Upstream) -> bool:
        """Return whether the configuration names its service."""
        return self.services is None or upstream.spec.service in self.services

    def accepts_requests(self, upstream: Upstream) -> bool:
        """Return whether it may get requests.

        It is not draining, leaving, evacuated or replaced at its address.
        """
        if not self.is_in_service(upstream):
            return False
        return upstream.spec.failure_domain not in self.evacuated

    def is_in_service(self, upstream: Upstream) -> bool:
        """Return whether it may get requests unless it is evacuated."""
        if upstream.draining or upstream.leaving:
            return False
        return self.is_named(upstream) and not self.is_replaced(upstream)

    def is_replaced(self, upstream: Upstream) -> bool:
        """Return whether a later started upstream has its address."""
        holder = self.holders.get(upstream.spec.address, upstream)
        return holder.spec.started_at_ms > upstream.spec.started_at_ms

    def put(self, spec: UpstreamSpec, draining: bool) -> Upstream:
        """Add or update an upstream; a new incarnation replaces the old."""
        known = self.by_name.get(spec.name)
        if known is not None and known.spec == spec:
            known.draining = draining
            return known
        if known is not None:
            self.remove(spec.name)
        upstream = Upstream(spec, draining)
        self.by_name[spec.name] = upstream
        self.pools.setdefault(spec.service, {})[spec.name] = upstream
        self._claim_address(upstream)
        return upstream

    def remove(self, name: str) -> Upstream | None:
        """Remove an upstream and return it, or None if it is unknown."""
        upstream = self.by_name.pop(name, None)
        if upstream is not None:
            upstream.draining = True
            del self.pools[upstream.spec.service][name]
            self._release_address(upstream)
        return upstream

    def displace(self, upstream: Upstream) -> Upstream | None:
        """Record that it isn't at its address; return who holds that now."""
        upstream.displaced = True
        self._release_address(upstream)
        return self.holders.get(upstream.spec.address)

    def mark_cold(
        self, upstream: Upstream, remaining_ms: int, cold_per_s: float, now_ms: int
    ) -> None:
        """Mark an upstream as cold for at least `remaining_ms` from now."""
        if remaining_ms <= 0:
            return
        if not upstream.is_cold(now_ms):
            self.cold_rate_limiter.schedule_first(upstream, cold_per_s, now_ms)
        upstream.cold_until_ms = max(upstream.cold_until_ms, now_ms + remaining_ms)

    def evacuate(self, domains: frozenset[str]) -> frozenset[str]:
        """Evacuate `domains` and no others; return those restored."""
        restored = self.evacuated - domains
        self.evacuated = domains
        return restored

    def _release_address(self, upstream: Upstream) -> None:
        address = upstream.spec.address
        if self.holders.get(address) is not upstream:
            return
        del self.holders[address]
        for other in self.by_name.values():
            if other.spec.address == address:
                self._claim_address(other)

    def _claim_address(self, upstream: Upstream) -> None:
        """Make it the holder of its address, unless that started later."""
        if upstream.displaced or not self.is_named(upstream):
            return
        spec = upstream.spec
        holder = self.holders.get(spec.address)
        if holder is None or spec.started_at_ms >= holder.spec.started_at_ms:
            self.holders[spec.address] = upstream
