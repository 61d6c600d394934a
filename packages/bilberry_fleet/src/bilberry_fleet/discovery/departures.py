"""Remember which upstreams were removed, in case an old entry returns."""

from dataclasses import dataclass

from bilberry_balance.placement.upstream import UpstreamSpec

from .const import DEPARTED_MS


@dataclass(slots=True, frozen=True)
class Departure:
    """Store which incarnation of an upstream was removed, and when."""

    started_at_ms: int
    at_ms: int


class DepartedUpstreams:
    """Remember for a while which incarnations were removed, by name."""

    __slots__ = ("latest",)

    def __init__(self) -> None:
        self.latest: dict[str, Departure] = {}

    def add(self, spec: UpstreamSpec, now_ms: int) -> None:
        """Record that an incarnation was removed."""
        self.latest[spec.name] = Departure(spec.started_at_ms, now_ms)

    def has(self, spec: UpstreamSpec) -> bool:
        """Return whether an incarnation, or a later one, was removed."""
        departure = self.latest.get(spec.name)
        return departure is not None and spec.started_at_ms <= departure.started_at_ms

    def expire(self, now_ms: int) -> None:
        """Forget the incarnations that were removed long ago."""
        for name, departure in list(self.latest.items()):
            if now_ms - departure.at_ms >= DEPARTED_MS:
                del self.latest[name]
