"""Sum the requests that other nodes have in flight at each upstream."""

from dataclasses import dataclass

from .const import PEER_LOAD_TTL_MS


@dataclass(slots=True, frozen=True)
class PeerLoad:
    """Store the in-flight counts that a node or domain reported, and when."""

    counts: dict[str, int]
    received_at_ms: int


class PeerLoads:
    """Store the latest in-flight counts of other nodes and failure domains."""

    __slots__ = ("peers", "totals")

    def __init__(self) -> None:
        self.peers: dict[str, PeerLoad] = {}
        self.totals: dict[str, int] = {}

    def update(self, node: str, counts: dict[str, int], now_ms: int) -> None:
        """Replace the counts of a node."""
        self.remove(node)
        self.peers[node] = PeerLoad(counts, now_ms)
        for name, count in counts.items():
            self.totals[name] = self.totals.get(name, 0) + count

    def remove(self, node: str) -> None:
        """Remove the counts of a node."""
        old = self.peers.pop(node, None)
        if old is None:
            return
        for name, count in old.counts.items():
            left = self.totals[name] - count
            if left:
                self.totals[name] = left
            else:
                del self.totals[name]

    def expire(self, now_ms: int) -> None:
        """Remove counts older than `PEER_LOAD_TTL_MS`."""
        for node, load in list(self.peers.items()):
            if now_ms - load.received_at_ms > PEER_LOAD_TTL_MS:
                self.remove(node)

    def total(self, upstream: str) -> int:
        """Return how many requests other nodes have in flight there."""
        return self.totals.get(upstream, 0)
