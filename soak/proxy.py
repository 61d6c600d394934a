"""Forward TCP connections between two addresses, with faults."""

import socket
import struct
from enum import StrEnum, auto
from typing import Any

import gevent
from gevent import socket as gevent_socket
from gevent.event import Event
from gevent.server import StreamServer

from bilberry_core.address import split_address
from bilberry_core.const import MS_PER_SECOND

CHUNK_BYTES = 16_384
CONNECT_TIMEOUT_MS = 2_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkMode(StrEnum):
    """Enumerate what a link does to what is sent on it.

    On a silent link nothing arrives until it is open again; with one way cut
    only answers are held back.
    """

    OPEN = auto()
    SLOW = auto()
    SILENT = auto()
    ONE_WAY = auto()
    REFUSING = auto()


class LinkProxy:
    """Forward the connections of one link."""

    __slots__ = ("changed", "delay_ms", "mode", "pairs", "server", "target")

    def __init__(self, host: str, target: str) -> None:
        self.target = target
        self.mode = LinkMode.OPEN
        self.delay_ms = 0
        self.changed = Event()
        self.pairs: set[tuple[Any, Any]] = set()
        self.server = StreamServer((host, 0), self.serve)

    @property
    def address(self) -> str:
        """Return the `ip:port` to connect to."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def start(self) -> None:
        """Listen."""
        self.server.start()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.server.stop(timeout=0)
        self.reset()

    def set_mode(self, mode: LinkMode, delay_ms: int = 0) -> None:
        """Change what the link does."""
        self.mode = mode
        self.delay_ms = delay_ms
        if mode is LinkMode.REFUSING:
            self.reset()
        self.changed.set()
        self.changed.clear()

    def reset(self) -> None:
        """Reset the open connections."""
        for pair in list(self.pairs):
            for sock in pair:
                _reset(sock)

    def serve(self, sock: Any, address: Any) -> None:
        """Forward one connection."""
        if self.mode is LinkMode.REFUSING:
            _reset(sock)
            return
        try:
            other = gevent_socket.create_connection(
                split_address(self.target), CONNECT_TIMEOUT_MS / MS_PER_SECOND
            )
        except OSError:
            _reset(sock)
            return
        other.settimeout(None)
        pair = (sock, other)
        self.pairs.add(pair)
        pumps = [
            gevent.spawn(self.pump, sock, other, False),
            gevent.spawn(self.pump, other, sock, True),
        ]
        gevent.joinall(pumps)
        self.pairs.discard(pair)
        for end in pair:
            end.close()

    def pump(self, source: Any, sink: Any, is_answer: bool) -> None:
        """Forward one direction until it ends."""
        try:
            while data := source.recv(CHUNK_BYTES):
                self.wait(is_answer)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                _reset(sock)

    def wait(self, is_answer: bool) -> None:
        """Wait until data may pass."""
        if self.mode is LinkMode.SLOW:
            gevent.sleep(self.delay_ms / MS_PER_SECOND)
        while self.mode is LinkMode.SILENT or (
            self.mode is LinkMode.ONE_WAY and is_answer
        ):
            self.changed.wait()


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        return
    sock.close()
