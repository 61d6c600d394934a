"""Exchange heartbeats with the other nodes over UDP."""

import logging
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent import Greenlet, socket

from bilberry_core.address import split_address
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND

from .const import (
    MAX_DATAGRAM_BYTES,
    OTHER_REGION_HEARTBEAT_MS,
    SAME_REGION_HEARTBEAT_MS,
)
from .nodes import Heartbeat, PeerTable

_LOGGER = logging.getLogger(__name__)

LOOP_PAUSE_MS = 50


class HeartbeatTask:
    """Send and receive heartbeats on one UDP socket."""

    __slots__ = (
        "clock",
        "greenlets",
        "make_heartbeat",
        "on_heartbeat",
        "peers",
        "sock",
    )

    def __init__(
        self,
        peers: PeerTable,
        clock: Clock,
        make_heartbeat: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
    ) -> None:
        self.peers = peers
        self.clock = clock
        self.make_heartbeat = make_heartbeat
        self.on_heartbeat = on_heartbeat
        self.sock: Any = None
        self.greenlets: list[Greenlet] = []

    def start(self) -> None:
        """Bind the socket and start both greenlets."""
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
        """Receive heartbeats until closed."""
        decoder = msgspec.msgpack.Decoder(Heartbeat)
        while True:
            try:
                data = self.sock.recv(MAX_DATAGRAM_BYTES)
                heartbeat = decoder.decode(data)
            except OSError as error:
                _LOGGER.warning("heartbeats: Could not receive: %s.", error)
                gevent.sleep(LOOP_PAUSE_MS / MS_PER_SECOND)
                continue
            except msgspec.MsgspecError as error:
                _LOGGER.warning("heartbeats: Could not decode a datagram: %s.", error)
                continue
            if self.peers.on_heartbeat(heartbeat, self.clock.now_ms()):
                self.on_heartbeat(heartbeat)

    def send_loop(self) -> None:
        """Send to each peer at its own interval until closed."""
        while True:
            self.send_due(self.clock.now_ms())
            gevent.sleep(LOOP_PAUSE_MS / MS_PER_SECOND)

    def send_now(self) -> None:
        """Send to all peers now, such as after a change of readiness."""
        for peer in self.peers.peers.values():
            peer.next_send_ms = 0
        self.send_due(self.clock.now_ms())

    def send_due(self, now_ms: int) -> None:
        """Send to the peers that are due."""
        due = [p for p in self.peers.peers.values() if now_ms >= p.next_send_ms]
        if not due:
            return
        data = msgspec.msgpack.encode(self.make_heartbeat())
        for peer in due:
            is_in_own_region = self.peers.is_in_own_region(peer.info)
            peer.next_send_ms = now_ms + (
                SAME_REGION_HEARTBEAT_MS
                if is_in_own_region
                else OTHER_REGION_HEARTBEAT_MS
            )
            self._send_to(peer.info.peer_address, data)

    def _send_to(self, address: str, data: bytes) -> None:
        try:
            self.sock.sendto(data, split_address(address))
        except OSError as error:
            _LOGGER.warning("heartbeats: Could not send to %s: %s.", address, error)
