"""Reach the peers with what concerns suspect requests."""

import gevent

from bilberry_balance.suspects import SuspectReport
from bilberry_fleet.discovery.messages import SuspectReply, TrialRequest
from bilberry_fleet.discovery.nodes import PeerTable
from bilberry_fleet.discovery.suspect_calls import SuspectCalls

PEERS_ASKED_FOR_ALL = 3


class SuspectPeers:
    """Send to the owner of the trials, to all peers or to some of them."""

    __slots__ = ("calls", "next_asked", "peers")

    def __init__(self, peers: PeerTable, calls: SuspectCalls) -> None:
        self.peers = peers
        self.calls = calls
        self.next_asked = 0

    def members(self, own_is_known: bool, now_ms: int) -> tuple[str, ...]:
        """Return the nodes of which one grants the trials.

        A node that has just started leaves that to those that it finds listed.
        """
        names = {p.info.name for p in self.peers.alive(now_ms) if p.ready}
        if own_is_known or not self.peers.peers:
            names.add(self.peers.own.name)
        return tuple(sorted(names or self.peers.peers))

    def call(
        self,
        name: str | None,
        reports: list[SuspectReport],
        trial: TrialRequest | None = None,
    ) -> SuspectReply | None:
        """Return a node's reply, None without one."""
        peer = self.peers.peers.get(name or "")
        if peer is None:
            return None
        return self.calls.call(peer.info.peer_address, reports, trial)

    def tell(self, name: str | None, report: SuspectReport) -> None:
        """Send a report to one node, once."""
        peer = self.peers.peers.get(name or "")
        if peer is not None:
            self.calls.tell([peer.info.peer_address], [report])

    def tell_all(self, reports: list[SuspectReport]) -> None:
        """Send reports to all nodes that the store lists or that live."""
        addresses = [peer.info.peer_address for peer in self.peers.peers.values()]
        self.calls.tell(addresses, reports)

    def ask_all(self) -> list[SuspectReply]:
        """Ask some peers for all suspects, others each time.

        Return their replies.
        """
        peers = self.peers.nearest_first(self.peers.peers.values())
        count = min(PEERS_ASKED_FOR_ALL, len(peers))
        start = self.next_asked % max(1, len(peers))
        self.next_asked += count
        jobs = [
            gevent.spawn(self.calls.call, peer.info.peer_address, [], asks_all=True)
            for peer in (peers + peers)[start : start + count]
        ]
        gevent.joinall(jobs)
        return [job.value for job in jobs if job.value is not None]


class NoPeers:
    """Stand for the peers of a node that is alone."""

    __slots__ = ("node",)

    def __init__(self, node: str) -> None:
        self.node = node

    def members(self, own_is_known: bool, now_ms: int) -> tuple[str, ...]:
        """Return this node, which grants its own trials."""
        return (self.node,)

    def call(
        self,
        name: str | None,
        reports: list[SuspectReport],
        trial: TrialRequest | None = None,
    ) -> SuspectReply | None:
        """Return no reply."""
        return None

    def tell(self, name: str | None, report: SuspectReport) -> None:
        """Tell nobody."""

    def tell_all(self, reports: list[SuspectReport]) -> None:
        """Tell nobody."""

    def ask_all(self) -> list[SuspectReply]:
        """Return no replies."""
        return []
