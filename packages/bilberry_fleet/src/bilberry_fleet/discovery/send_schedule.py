"""Decide when a node sends heartbeats and summaries, and to whom."""

from dataclasses import dataclass, field

from .const import (
    HEARTBEAT_MS_PER_NODE,
    MAX_HEARTBEAT_MS,
    MIN_HEARTBEAT_MS,
    OTHER_REGION_SUMMARY_MS,
    SAME_REGION_SUMMARY_MS,
    TARGETS_WITHOUT_SUMMARY,
)
from .nodes import Peer, PeerTable


@dataclass(slots=True)
class SendSchedule:
    """Store when each kind of message is due; times in monotonic ms.

    Summaries to a domain go to its nodes in turns.
    """

    peers: PeerTable
    leads_domain: bool = False
    next_heartbeat_ms: int = 0
    next_summary_ms: dict[str, int] = field(default_factory=dict)
    turns: dict[str, int] = field(default_factory=dict)

    def take_heartbeat(self, now_ms: int) -> bool:
        """Return whether a heartbeat is due, and schedule the next one.

        It also checks whether this node now leads its domain.
        """
        if now_ms < self.next_heartbeat_ms:
            return False
        self.leads_domain = self.peers.leads_domain(now_ms)
        wanted_ms = HEARTBEAT_MS_PER_NODE * len(self.peers.known_domain_peers())
        interval_ms = min(max(wanted_ms, MIN_HEARTBEAT_MS), MAX_HEARTBEAT_MS)
        self.next_heartbeat_ms = now_ms + interval_ms
        return True

    def take_summary_targets(self, now_ms: int) -> list[Peer]:
        """Return where summaries are due, and schedule the next ones.

        Return nothing while another node speaks for this domain.
        """
        if not self.leads_domain:
            return []
        own_domain = self.peers.own.failure_domain
        others = {
            d: m for d, m in self.peers.by_domain.items() if m and d != own_domain
        }
        due = [d for d in others if now_ms >= self.next_summary_ms.get(d, 0)]
        targets = []
        for domain in due:
            members = list(others[domain].values())
            is_near = self.peers.is_in_own_region(members[0].info)
            interval_ms = SAME_REGION_SUMMARY_MS if is_near else OTHER_REGION_SUMMARY_MS
            self.next_summary_ms[domain] = now_ms + interval_ms
            targets += self._next_targets(domain, members, now_ms)
        return targets

    def send_summaries_now(self) -> None:
        """Make the summaries to all domains due."""
        self.next_summary_ms.clear()

    def send_all_now(self) -> None:
        """Make the heartbeat and all summaries due."""
        self.next_heartbeat_ms = 0
        self.send_summaries_now()

    def _next_targets(
        self, domain: str, members: list[Peer], now_ms: int
    ) -> list[Peer]:
        """Return the next live node of a domain, or some if none is known."""
        alive = [peer for peer in members if self.peers.is_alive(peer, now_ms)]
        count = 1 if alive else TARGETS_WITHOUT_SUMMARY
        candidates = alive or members
        turn = self.turns.get(domain, 0)
        self.turns[domain] = turn + count
        size = len(candidates)
        return [candidates[(turn + i) % size] for i in range(min(count, size))]
