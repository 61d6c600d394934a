"""Keep the upstreams of all services as discovery tells them."""

from .cold_turns import ColdTurns
from .upstream import Upstream, UpstreamSpec


class UpstreamDirectory:
    """Own the upstreams by service; times in monotonic ms."""

    __slots__ = ("by_name", "cold_turns", "evacuated", "pools")

    def __init__(self, cold_turns: ColdTurns) -> None:
        self.cold_turns = cold_turns
        self.by_name: dict[str, Upstream] = {}
        self.pools: dict[str, dict[str, Upstream]] = {}
        self.evacuated: frozenset[str] = frozenset()

    def takes_work(self, upstream: Upstream) -> bool:
        """Tell whether new requests may go to `upstream` at all."""
        if upstream.draining:
            return False
        return upstream.spec.failure_domain not in self.evacuated

    def put(self, spec: UpstreamSpec, draining: bool) -> Upstream:
        """Add or update an upstream; a new incarnation starts afresh."""
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
        """Drop an upstream that is gone."""
        upstream = self.by_name.pop(name, None)
        if upstream is not None:
            upstream.draining = True
            del self.pools[upstream.spec.service][name]
        return upstream

    def chill(
        self, upstream: Upstream, left_ms: int, cold_per_s: float, now_ms: int
    ) -> None:
        """Treat an upstream as cold for `left_ms` from now."""
        if left_ms <= 0:
            return
        if not upstream.is_cold(now_ms):
            self.cold_turns.begin(upstream, cold_per_s, now_ms)
        upstream.cold_until_ms = max(upstream.cold_until_ms, now_ms + left_ms)

    def evacuate(self, domains: frozenset[str]) -> frozenset[str]:
        """Keep requests out of `domains`; return those taken back."""
        back = self.evacuated - domains
        self.evacuated = domains
        return back
