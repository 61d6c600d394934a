"""Divide the request rate of cold upstreams among all nodes.

An upstream that has just started crashes if all nodes together send it more
than a small rate, as in a burst of requests.
"""

import math

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import HASH_SPACE, stable_hash

from .const import COLD_RATE_FRACTION, UNKNOWN_NODES_FRACTION
from .upstream import Upstream


class ColdRateLimiter:
    """Limit this node to its share of each cold upstream's request rate."""

    __slots__ = ("assumed_nodes", "node")

    def __init__(self, node: str) -> None:
        self.node = node
        self.assumed_nodes = 1

    def set_node_count(self, count: int) -> None:
        """Set the number of known nodes, including this one."""
        self.assumed_nodes = count + math.ceil(count * UNKNOWN_NODES_FRACTION)

    def schedule_first(
        self, upstream: Upstream, cold_per_s: float, now_ms: int
    ) -> None:
        """Schedule the first request to an upstream that became cold.

        A hash of the node's name spreads the first requests of all nodes.
        """
        fraction = stable_hash(self.node, upstream.name) / HASH_SPACE
        offset_ms = int(fraction * self.interval_ms(cold_per_s))
        upstream.next_cold_send_ms = now_ms + offset_ms

    def is_allowed(self, upstream: Upstream, now_ms: int) -> bool:
        """Return whether this node may send to a cold upstream now."""
        return now_ms >= upstream.next_cold_send_ms

    def schedule_next(self, upstream: Upstream, cold_per_s: float, now_ms: int) -> None:
        """Schedule the next request after one was sent."""
        upstream.next_cold_send_ms = now_ms + self.interval_ms(cold_per_s)

    def interval_ms(self, cold_per_s: float) -> int:
        """Return the interval between two requests of one node, in ms."""
        rate_per_s = max(cold_per_s, 0.1) * COLD_RATE_FRACTION
        return math.ceil(self.assumed_nodes * MS_PER_SECOND / rate_per_s)
