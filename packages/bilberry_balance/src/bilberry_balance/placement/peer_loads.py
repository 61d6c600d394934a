"""Sum what other nodes tell of each upstream, such as requests in flight."""

from collections.abc import Mapping
from dataclasses import dataclass

from .const import DISTANT_LOAD_WEIGHT, MIN_MEAN_LOAD, PEER_LOAD_TTL_MS


@dataclass(slots=True, frozen=True)
class PeerLoad:
    """Store in-flight counts of a node or domain, and when they came.

    Those of distant domains are means, of at least `MIN_MEAN_LOAD`.
    """

    counts: dict[str, float]
    received_at_ms: int


class PeerLoads:
    """Store the latest counts or rates of other nodes and failure domains.

    None of them is below `smallest`; what is left of sums below it is error.
    """

    __slots__ = ("peers", "smallest", "totals")

    def __init__(self, smallest: float = MIN_MEAN_LOAD) -> None:
        self.smallest = smallest
        self.peers: dict[str, PeerLoad] = {}
        self.totals: dict[str, float] = {}

    def update(self, node: str, counts: Mapping[str, float], now_ms: int) -> None:
        """Replace the counts of a node."""
        self.remove(node)
        self.peers[node] = PeerLoad(dict(counts), now_ms)
        for name, count in counts.items():
            self.totals[name] = self.totals.get(name, 0.0) + count

    def update_mean(self, domain: str, counts: dict[str, int], now_ms: int) -> None:
        """Move the counts of a distant domain towards the latest ones.

        They are old when they arrive, so that their mean tells more of the
        present than the latest count.
        """
        known = self.peers.get(domain)
        if known is None:
            self.update(domain, counts, now_ms)
            return
        means = {
            name: _mean(known.counts.get(name, 0.0), counts.get(name, 0))
            for name in {*known.counts, *counts}
        }
        kept = {name: mean for name, mean in means.items() if mean >= MIN_MEAN_LOAD}
        self.update(domain, kept, now_ms)

    def remove(self, node: str) -> None:
        """Remove the counts of a node."""
        old = self.peers.pop(node, None)
        if old is None:
            return
        for name, count in old.counts.items():
            left = self.totals[name] - count
            if left >= self.smallest / 2:
                self.totals[name] = left
            else:
                del self.totals[name]

    def expire(self, now_ms: int) -> None:
        """Remove counts older than `PEER_LOAD_TTL_MS`."""
        for node, load in list(self.peers.items()):
            if now_ms - load.received_at_ms > PEER_LOAD_TTL_MS:
                self.remove(node)

    def total(self, upstream: str) -> float:
        """Return how many requests other nodes have in flight there."""
        return self.totals.get(upstream, 0.0)


def _mean(mean: float, latest: int) -> float:
    return mean + DISTANT_LOAD_WEIGHT * (latest - mean)
