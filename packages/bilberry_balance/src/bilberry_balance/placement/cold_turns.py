"""Share the small rate of cold upstreams among all nodes.

Answers a burst that meets upstreams which just started: more than a small
rate, summed over all nodes, makes a cold upstream crash.
"""

import math

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import HASH_SPACE, stable_hash

from .const import COLD_RATE_PART, SPARE_NODES_PART
from .upstream import Upstream


class ColdTurns:
    """Give this node every n-th turn at each cold upstream."""

    __slots__ = ("node", "nodes")

    def __init__(self, node: str) -> None:
        self.node = node
        self.nodes = 1

    def set_nodes(self, known: int) -> None:
        """Take over how many nodes are known, this one included."""
        self.nodes = known + math.ceil(known * SPARE_NODES_PART)

    def begin(self, upstream: Upstream, cold_per_s: float, now_ms: int) -> None:
        """Place this node's first turn at an upstream that turned cold."""
        part = stable_hash(self.node, upstream.name) / HASH_SPACE
        offset_ms = int(part * self.interval_ms(cold_per_s))
        upstream.next_turn_ms = now_ms + offset_ms

    def is_due(self, upstream: Upstream, now_ms: int) -> bool:
        """Tell whether this node may send to a cold upstream now."""
        return now_ms >= upstream.next_turn_ms

    def take(self, upstream: Upstream, cold_per_s: float, now_ms: int) -> None:
        """Use up the turn."""
        upstream.next_turn_ms = now_ms + self.interval_ms(cold_per_s)

    def interval_ms(self, cold_per_s: float) -> int:
        """Return the time between two turns of one node, in ms."""
        rate_per_s = max(cold_per_s, 0.1) * COLD_RATE_PART
        return math.ceil(self.nodes * MS_PER_SECOND / rate_per_s)
