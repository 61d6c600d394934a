"""Sum what the other nodes have in flight at each upstream."""

from dataclasses import dataclass

from .const import PEER_FRESH_MS


@dataclass(slots=True, frozen=True)
class PeerLoad:
    """Hold one node's requests in flight and when they were told."""

    counts: dict[str, int]
    at_ms: int


class PeerLoads:
    """Own the newest counts of each other node."""

    __slots__ = ("peers", "sums")

    def __init__(self) -> None:
        self.peers: dict[str, PeerLoad] = {}
        self.sums: dict[str, int] = {}

    def tell(self, node: str, counts: dict[str, int], now_ms: int) -> None:
        """Replace what `node` has in flight."""
        self.forget(node)
        self.peers[node] = PeerLoad(counts, now_ms)
        for name, count in counts.items():
            self.sums[name] = self.sums.get(name, 0) + count

    def forget(self, node: str) -> None:
        """Drop the counts of a node that is gone."""
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
        """Drop counts that are too old to be used."""
        for node, load in list(self.peers.items()):
            if now_ms - load.at_ms > PEER_FRESH_MS:
                self.forget(node)

    def at(self, upstream: str) -> int:
        """Return what the other nodes have in flight at `upstream`."""
        return self.sums.get(upstream, 0)
