"""Exchange heartbeats and summaries of failure domains over UDP.

A node sends its heartbeat to the nodes of its own failure domain only. One
node of each domain sums them up for the other domains: it sends a summary to
one node of each, a different one each time, which passes it on in its domain.
The bytes between domains so depend on the number of domains, not of nodes.
"""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent import Greenlet, socket

from bilberry_core.address import split_address
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND

from .const import DETAILS_MS, LISTEN_MS, MAX_DATAGRAM_BYTES
from .messages import (
    DomainSummary,
    Heartbeat,
    ProofMessage,
    ProofReply,
    ProofRequest,
    SuspectCall,
    SuspectReply,
)
from .nodes import Peer, PeerTable
from .send_schedule import SendSchedule

_LOGGER = logging.getLogger(__name__)

LOOP_PAUSE_MS = 50

PURPOSE_HEARTBEAT = "heartbeat"
PURPOSE_SUMMARY = "summary"
PURPOSE_RELAYED_SUMMARY = "relayed_summary"
PURPOSE_SUSPECTS = "suspects"
PURPOSE_PROOFS = "proofs"

SuspectMessage = SuspectCall | SuspectReply


def discard_message(message: SuspectMessage | ProofMessage, address: str) -> None:
    """Discard a message; the default without a receiver."""


def complete_summary(summary: DomainSummary, now_ms: int) -> DomainSummary:
    """Return a summary as it is; the default without anything to add."""
    return summary


def needs_no_early_send(now_ms: int) -> bool:
    """Return False; the default if nothing is urgent."""
    return False


def record_no_heartbeat(now_ms: int) -> None:
    """Record nothing; the default if nobody counts what was sent."""


class HeartbeatTask:
    """Send and receive heartbeats and summaries on one UDP socket."""

    __slots__ = (
        "clock",
        "complete_summary",
        "decoder",
        "greenlets",
        "make_heartbeat",
        "needs_early_send",
        "on_heartbeat",
        "on_heartbeat_sent",
        "on_proof_message",
        "on_summary",
        "on_suspect_message",
        "peers",
        "schedule",
        "sent_bytes",
        "sock",
        "started_at_ms",
    )

    def __init__(
        self,
        peers: PeerTable,
        clock: Clock,
        make_heartbeat: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
        on_summary: Callable[[DomainSummary], None],
    ) -> None:
        self.peers = peers
        self.clock = clock
        self.make_heartbeat = make_heartbeat
        self.on_heartbeat = on_heartbeat
        self.on_summary = on_summary
        self.on_suspect_message: Callable[[SuspectMessage, str], None] = discard_message
        self.on_proof_message: Callable[[ProofMessage, str], None] = discard_message
        self.complete_summary: Callable[[DomainSummary, int], DomainSummary] = (
            complete_summary
        )
        self.needs_early_send: Callable[[int], bool] = needs_no_early_send
        self.on_heartbeat_sent: Callable[[int], None] = record_no_heartbeat
        self.schedule = SendSchedule(peers)
        self.decoder = msgspec.msgpack.Decoder(
            Heartbeat
            | DomainSummary
            | SuspectCall
            | SuspectReply
            | ProofRequest
            | ProofReply
        )
        self.started_at_ms = 0
        self.sent_bytes: Counter[str] = Counter()
        self.sock: Any = None
        self.greenlets: list[Greenlet] = []

    def start(self) -> None:
        """Bind the socket and start both greenlets."""
        self.started_at_ms = self.clock.now_ms()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(split_address(self.peers.own.peer_address))
        self.greenlets = [gevent.spawn(self.receive_loop), gevent.spawn(self.send_loop)]

    def close(self) -> None:
        """Stop the greenlets and close the socket."""
        gevent.killall(self.greenlets)
        self.greenlets = []
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def receive_loop(self) -> None:
        """Receive datagrams until closed."""
        while True:
            try:
                data, (host, port) = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
                message = self.decoder.decode(data)
            except OSError as error:
                _LOGGER.warning("heartbeats: Could not receive: %s.", error)
                gevent.sleep(LOOP_PAUSE_MS / MS_PER_SECOND)
                continue
            except msgspec.MsgspecError as error:
                _LOGGER.warning("heartbeats: Could not decode a datagram: %s.", error)
                continue
            if isinstance(message, Heartbeat):
                self.receive_heartbeat(message)
            elif isinstance(message, DomainSummary):
                self.receive_summary(message)
            elif isinstance(message, SuspectMessage):
                self.on_suspect_message(message, f"{host}:{port}")
            else:
                self.on_proof_message(message, f"{host}:{port}")

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat; tell other domains at once of a changed state."""
        known = self.peers.peers.get(heartbeat.node.name)
        was_ready = known is not None and known.ready
        if not self.peers.on_heartbeat(heartbeat, self.clock.now_ms()):
            return
        self.on_heartbeat(heartbeat)
        if heartbeat.ready != was_ready:
            self.schedule.send_summaries_now()

    def receive_summary(self, summary: DomainSummary) -> None:
        """Apply another domain's summary, and pass it on in this domain."""
        if not self.peers.on_summary(summary, self.clock.now_ms()):
            return
        if not summary.is_relayed:
            relayed = msgspec.structs.replace(summary, is_relayed=True)
            data = msgspec.msgpack.encode(relayed)
            peers = self.peers.known_domain_peers()
            self._send_to_all(peers, data, PURPOSE_RELAYED_SUMMARY)
        self.on_summary(summary)

    def send_loop(self) -> None:
        """Send what is due until closed."""
        while True:
            self.send_due(self.clock.now_ms())
            gevent.sleep(LOOP_PAUSE_MS / MS_PER_SECOND)

    def send_now(self) -> None:
        """Send to all now, such as after a change of readiness."""
        self.schedule.send_all_now()
        self.send_due(self.clock.now_ms())

    def send_due(self, now_ms: int) -> None:
        """Send the heartbeat and the summaries that are due."""
        if self.needs_early_send(now_ms):
            self.schedule.send_all_now()
        if self.schedule.take_heartbeat(now_ms):
            data = msgspec.msgpack.encode(self.make_heartbeat())
            peers = self.peers.known_domain_peers()
            self._send_to_all(peers, data, PURPOSE_HEARTBEAT)
            self.on_heartbeat_sent(now_ms)
        age_ms = now_ms - self.started_at_ms
        if age_ms < LISTEN_MS:
            return
        targets = self.schedule.take_summary_targets(now_ms)
        if not targets:
            return
        summary = self.peers.summarize(
            self.make_heartbeat(), age_ms < DETAILS_MS, now_ms
        )
        data = msgspec.msgpack.encode(self.complete_summary(summary, now_ms))
        self._send_to_all(targets, data, PURPOSE_SUMMARY)

    def send_to(
        self,
        addresses: list[str],
        message: SuspectMessage | ProofMessage,
        purpose: str = PURPOSE_SUSPECTS,
    ) -> None:
        """Send a message to nodes at once."""
        if self.sock is None:
            _LOGGER.info("heartbeats: Closed, a message is not sent.")
            return
        data = msgspec.msgpack.encode(message)
        for address in addresses:
            self._send(address, data)
        self.sent_bytes[purpose] += len(data) * len(addresses)

    def _send_to_all(self, peers: list[Peer], data: bytes, purpose: str) -> None:
        for peer in peers:
            self._send(peer.info.peer_address, data)
        self.sent_bytes[purpose] += len(data) * len(peers)

    def _send(self, address: str, data: bytes) -> None:
        try:
            self.sock.sendto(data, split_address(address))
        except (OSError, OverflowError, TypeError, ValueError) as error:
            # All but the first are of an address that cannot be.
            _LOGGER.warning("heartbeats: Could not send to %s: %s.", address, error)
