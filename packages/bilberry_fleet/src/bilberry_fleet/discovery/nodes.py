"""Track the other nodes through the store and their heartbeats."""

from dataclasses import dataclass, field

import msgspec

from bilberry_balance.quarantine import SuspectReport

from .const import OTHER_REGION_TIMEOUT_MS, SAME_REGION_TIMEOUT_MS


class NodeInfo(msgspec.Struct, frozen=True):
    """Describe one run of a node; each start gets a new `run_id`."""

    name: str
    run_id: str
    entry_address: str
    peer_address: str
    failure_domain: str
    region: str


class Heartbeat(msgspec.Struct, array_like=True):
    """Represent a node's state, sent to its peers in one datagram.

    `in_flight` maps each upstream to the node's requests there, without the
    zeros; `suspects` lists the requests suspected of crashing upstreams.
    """

    node: NodeInfo
    sequence: int
    ready: bool
    config_version: int
    in_flight: dict[str, int]
    suspects: list[SuspectReport] = []


@dataclass(slots=True)
class Peer:
    """Store what is known about another node; times in monotonic ms."""

    info: NodeInfo
    last_heartbeat_ms: int | None = None
    sequence: int = 0
    ready: bool = False
    next_send_ms: int = 0


@dataclass(slots=True)
class PeerTable:
    """Track the other nodes and whether they are alive."""

    own: NodeInfo
    peers: dict[str, Peer] = field(default_factory=dict)
    ended_runs: set[str] = field(default_factory=set)

    def on_stored_nodes(self, infos: list[NodeInfo], now_ms: int) -> None:
        """Apply the nodes listed in the store, except to live peers."""
        for info in infos:
            known = self.peers.get(info.name)
            if known is None or not self._is_alive(known, now_ms):
                self._get_or_add(info)
        listed = {info.name for info in infos}
        for name, peer in list(self.peers.items()):
            if name not in listed and not self._is_alive(peer, now_ms):
                del self.peers[name]

    def on_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Apply a heartbeat; return False for an outdated one."""
        peer = self._get_or_add(heartbeat.node)
        if peer is None or heartbeat.sequence <= peer.sequence:
            return False
        peer.last_heartbeat_ms = now_ms
        peer.sequence = heartbeat.sequence
        peer.ready = heartbeat.ready
        return True

    def alive(self, now_ms: int) -> list[Peer]:
        """Return the peers whose last heartbeat is recent."""
        return [peer for peer in self.peers.values() if self._is_alive(peer, now_ms)]

    def is_in_own_region(self, info: NodeInfo) -> bool:
        """Return whether a node is in this node's region."""
        return info.region == self.own.region

    def _is_alive(self, peer: Peer, now_ms: int) -> bool:
        if peer.last_heartbeat_ms is None:
            return False
        timeout_ms = (
            SAME_REGION_TIMEOUT_MS
            if self.is_in_own_region(peer.info)
            else OTHER_REGION_TIMEOUT_MS
        )
        return now_ms - peer.last_heartbeat_ms < timeout_ms

    def _get_or_add(self, info: NodeInfo) -> Peer | None:
        """Return the peer's state; a new run replaces the previous one."""
        if info.name == self.own.name or info.run_id in self.ended_runs:
            return None
        known = self.peers.get(info.name)
        if known is None or known.info.run_id != info.run_id:
            if known is not None:
                self.ended_runs.add(known.info.run_id)
            known = Peer(info)
            self.peers[info.name] = known
        return known
