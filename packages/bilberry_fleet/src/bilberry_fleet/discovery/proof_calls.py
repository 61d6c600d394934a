"""Hand on to other nodes how recent the configuration is known to be."""

from collections import OrderedDict

from bilberry_core.clock import Clock

from .config_proof import ConfigProof
from .feed import Feed
from .heartbeats import PURPOSE_PROOFS, HeartbeatTask
from .messages import ProofMessage, ProofReply, ProofRequest
from .nodes import Peer, PeerTable
from .proof_schedule import ProofAction, ProofSchedule

MAX_PENDING = 64


class ProofCalls:
    """Renew a node's proof by exact reads or by what peers reply.

    A reply counts from when its request was sent, whatever time the datagrams
    took, and only if it is about the version that this node has: a peer may
    have read an older one since, from a store that came back from a copy.
    """

    __slots__ = (
        "clock",
        "feed",
        "heartbeats",
        "last_call_id",
        "next_asked",
        "peers",
        "pending",
        "proof",
        "schedule",
        "version",
    )

    def __init__(
        self,
        proof: ConfigProof,
        heartbeats: HeartbeatTask,
        clock: Clock,
        first_call_id: int,
    ) -> None:
        self.proof = proof
        self.heartbeats = heartbeats
        self.peers: PeerTable = heartbeats.peers
        self.clock = clock
        self.schedule = ProofSchedule()
        self.feed: Feed | None = None
        self.version = 0
        self.last_call_id = first_call_id
        self.next_asked = first_call_id
        self.pending: OrderedDict[int, int] = OrderedDict()
        heartbeats.on_proof_message = self.receive

    def renew(self, now_ms: int) -> None:
        """Read or ask, as is due."""
        actions = self.schedule.take(
            self.proof.age_ms(),
            self.peers.leads_domain(now_ms),
            self.proof.revoke_ms,
            now_ms,
        )
        if ProofAction.READ in actions and self.feed is not None and self.feed.revision:
            self.feed.start_catch_up(now_ms)
        asked: list[Peer] = []
        if ProofAction.ASK_LEADER in actions:
            asked += self._leader(now_ms)
        if ProofAction.ASK_OTHERS in actions:
            asked += self._others(now_ms)
        for peer in asked:
            self.ask(peer.info.peer_address)

    def ask(self, address: str) -> None:
        """Ask the node at `address` for its proof."""
        self.last_call_id += 1
        self.pending[self.last_call_id] = self.clock.boot_ms()
        if len(self.pending) > MAX_PENDING:
            self.pending.popitem(last=False)
        request = ProofRequest(self.last_call_id)
        self.heartbeats.send_to([address], request, PURPOSE_PROOFS)

    def receive(self, message: ProofMessage, address: str) -> None:
        """Answer a request, or record what a reply proves."""
        if isinstance(message, ProofReply):
            self.record_reply(message)
            return
        age_ms = self.proof.age_ms()
        if age_ms is not None:
            reply = ProofReply(message.call_id, age_ms, self.version)
            self.heartbeats.send_to([address], reply, PURPOSE_PROOFS)

    def record_reply(self, reply: ProofReply) -> None:
        """Record a peer's proof if it is about the same configuration."""
        asked_at_ms = self.pending.pop(reply.call_id, None)
        if asked_at_ms is None or reply.age_ms < 0:
            return
        if reply.config_version == self.version:
            self.proof.record(asked_at_ms - reply.age_ms)

    def _leader(self, now_ms: int) -> list[Peer]:
        peers = self.peers.domain_peers(now_ms)
        return [min(peers, key=lambda peer: peer.rank)] if peers else []

    def _others(self, now_ms: int) -> list[Peer]:
        """Return a live node of the own domain and one of another one.

        Others each time. The nodes of a domain begin with different ones, as
        all of them may ask at the same time.
        """
        near: list[Peer] = []
        far: list[Peer] = []
        for peer in self.peers.alive(now_ms):
            is_near = self.peers.is_in_own_domain(peer.info)
            (near if is_near else far).append(peer)
        turn = self.next_asked
        self.next_asked += 1
        return [peers[turn % len(peers)] for peers in (near, far) if peers]
