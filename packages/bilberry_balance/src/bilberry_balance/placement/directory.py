"""Store the upstreams of all services as found by discovery."""

from .cold_rate_limiter import ColdRateLimiter
from .upstream import Upstream, UpstreamSpec


class UpstreamDirectory:
    """Store upstreams by name and by service; times in monotonic ms."""

    __slots__ = ("by_name", "cold_rate_limiter", "evacuated", "pools")

    def __init__(self, cold_rate_limiter: ColdRateLimiter) -> None:
        self.cold_rate_limiter = cold_rate_limiter
        self.by_name: dict[str, Upstream] = {}
        self.pools: dict[str, dict[str, Upstream]] = {}
        self.evacuated: frozenset[str] = frozenset()

    def accepts_requests(self, upstream: Upstream) -> bool:
        """Return whether `upstream` is neither draining nor evacuated."""
        if upstream.draining:
            return False
        return upstream.spec.failure_domain not in self.evacuated

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
        return upstream

    def remove(self, name: str) -> Upstream | None:
        """Remove an upstream and return it, or None if it is unknown."""
        upstream = self.by_name.pop(name, None)
        if upstream is not None:
            upstream.draining = True
            del self.pools[upstream.spec.service][name]
        return upstream

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
