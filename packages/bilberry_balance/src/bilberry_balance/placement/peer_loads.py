"""Sum the requests that other nodes have in flight at each upstream."""

from dataclasses import dataclass

from .const import PEER_FRESH_MS


@dataclass(slots=True, frozen=True)
class PeerLoad:
    """Store the in-flight requests reported by a node, and when."""

    counts: dict[str, int]
    at_ms: int


class PeerLoads:
    """Store the latest in-flight counts of each other node."""

    __slots__ = ("peers", "sums")

    def __init__(self) -> None:
        self.peers: dict[str, PeerLoad] = {}
        self.sums: dict[str, int] = {}

    def tell(self, node: str, counts: dict[str, int], now_ms: int) -> None:
        """Replace the counts of a node."""
        self.forget(node)
        self.peers[node] = PeerLoad(counts, now_ms)
        for name, count in counts.items():
            self.sums[name] = self.sums.get(name, 0) + count

    def forget(self, node: str) -> None:
        """Remove the counts of a node."""
        old = self.peers.pop(node, None)
        if old is None:
            return
        for name, count in old.counts.items():
            left = self.sums[name] - count
            if left:
                self.sums[name] = left
            else:
                del self.sums[name]

    def expire(self, now_ms: int) -> None:
        """Remove counts older than `PEER_FRESH_MS`."""
        for node, load in list(self.peers.items()):
            if now_ms - load.at_ms > PEER_FRESH_MS:
                self.forget(node)

    def at(self, upstream: str) -> int:
        """Return how many requests other nodes have in flight there."""
        return self.sums.get(upstream, 0)
