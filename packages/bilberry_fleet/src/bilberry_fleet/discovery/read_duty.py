"""Decide which nodes of a failure domain read the store exactly."""

from .const import READERS_OF_LONE_DOMAIN, SETTLE_MS
from .messages import NodeInfo
from .nodes import PeerTable


class ReadDuty:
    """Know the readers of this node's failure domain; times in ms.

    They are the first live nodes that can read the store. One is enough, as
    the readers of other domains tell what they read; without another domain
    there are two. If no node can read it, the first one goes on trying. A node
    that can only just read it goes before no other one. A reader is lost when
    it isn't heard any more, or can't read.
    """

    __slots__ = ("is_reader", "lost_at_ms", "peers", "run_ids")

    def __init__(self, peers: PeerTable) -> None:
        self.peers = peers
        self.is_reader = False
        self.run_ids: list[str] = []
        self.lost_at_ms = -SETTLE_MS

    def update(self, can_read: bool, is_steady: bool, now_ms: int) -> bool:
        """Find the readers; return whether this node has just become one.

        With `is_steady` it could read the store for a while.
        """
        is_candidate = can_read and (is_steady or self.peers.leads_domain(now_ms))
        able = self._able(is_candidate, now_ms)
        able_ids = {info.run_id for info in able}
        if able and not able_ids.issuperset(self.run_ids):
            self.lost_at_ms = now_ms
        count = self._reader_count(now_ms)
        self.run_ids = [info.run_id for info in able[:count]]
        was_reader = self.is_reader
        self.is_reader = self.peers.own.run_id in self.run_ids
        if not able:
            self.is_reader = self.peers.leads_domain(now_ms)
        return self.is_reader and not was_reader

    def is_settling(self, now_ms: int) -> bool:
        """Return whether changes may be late, as a reader was lost."""
        return now_ms - self.lost_at_ms < SETTLE_MS

    def _able(self, is_candidate: bool, now_ms: int) -> list[NodeInfo]:
        """Return the nodes that can read, the first one first."""
        near = self.peers.domain_peers(now_ms)
        able = [peer.info for peer in near if peer.can_read]
        if is_candidate:
            able.append(self.peers.own)
        return self.peers.by_rank(able)

    def _reader_count(self, now_ms: int) -> int:
        near = self.peers.domain_peers(now_ms)
        is_lone = len(self.peers.alive(now_ms)) == len(near)
        return READERS_OF_LONE_DOMAIN if is_lone else 1
