"""Pool connections to upstreams and exchange requests on them."""

import socket
from collections import deque
from dataclasses import dataclass
from typing import Any

from gevent import socket as gevent_socket

from bilberry_balance.outcomes import FailurePoint
from bilberry_core.address import split_address
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND

from ..forward.answer import AnswerParser
from ..forward.const import RECV_BYTES
from .const import (
    DEFAULT_IDLE_MS,
    DIAL_TIMEOUT_MS,
    FRESH_IDLE_PART,
    IDLE_MARGIN_MS,
    MAX_ANSWER_BYTES,
    SILENT_PEER_MS,
)

HEADER_KEEP_ALIVE = "keep-alive"
KEEP_ALIVE_TIMEOUT = "timeout"
TCP_KEEP_SECONDS = 1
TCP_KEEP_PROBES = 2


class Link:
    """Represent one connection to an upstream."""

    __slots__ = ("idle_limit_ms", "idle_since_ms", "sock")

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.idle_since_ms = 0
        self.idle_limit_ms = DEFAULT_IDLE_MS

    def is_silent(self) -> bool:
        """Return whether it is open and no data has arrived."""
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def cut(self) -> None:
        """Shut the socket down, which wakes its reader; safe in the hub."""
        try:
            self.sock._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection, which cancels a request on it."""
        self.sock.close()


@dataclass(slots=True)
class Attempt:
    """Represent one attempt to send a request; times in monotonic ms."""

    method: str
    data: bytes
    request_id: str
    ends_at_ms: int
    idempotent: bool
    cancelled: bool = False
    sent: bool = False
    link: Link | None = None

    def cancel(self) -> None:
        """Cancel the attempt; safe in the hub."""
        self.cancelled = True
        if self.link is not None:
            self.link.cut()


@dataclass(slots=True)
class Outcome:
    """Represent a complete answer, or the point of failure."""

    point: FailurePoint | None
    parser: AnswerParser | None = None
    body: bytes = b""
    reason: str = ""


class Links:
    """Manage the connections from this node to upstreams."""

    __slots__ = ("clock", "id_header", "idle")

    def __init__(self, id_header: str, clock: Clock) -> None:
        self.id_header = id_header.lower()
        self.clock = clock
        self.idle: dict[str, deque[Link]] = {}

    def close(self) -> None:
        """Close the idle connections."""
        for links in self.idle.values():
            for link in links:
                link.close()
        self.idle.clear()

    def exchange(self, address: str, attempt: Attempt) -> Outcome:
        """Send the request to `address` and return the outcome."""
        link = self._reuse(address, attempt.idempotent)
        if link is None:
            dialled = self._dial(address, attempt)
            if isinstance(dialled, Outcome):
                return dialled
            link = dialled
        attempt.link = link
        try:
            outcome = self._run(link, attempt)
        finally:
            attempt.link = None
        parser = outcome.parser
        if outcome.point is None and parser is not None and parser.reusable:
            self._keep(address, link, parser)
        else:
            link.close()
        return outcome

    def _run(self, link: Link, attempt: Attempt) -> Outcome:
        parser = AnswerParser(
            attempt.method, self.id_header, attempt.request_id, until_close=True
        )
        if attempt.cancelled:
            return Outcome(FailurePoint.CALLER_GONE_BEFORE_SEND)
        left_ms = attempt.ends_at_ms - self.clock.now_ms()
        if left_ms <= 0:
            return Outcome(FailurePoint.DEADLINE_IN_QUEUE)
        link.sock.settimeout(left_ms / MS_PER_SECOND)
        attempt.sent = True
        try:
            link.sock.sendall(attempt.data)
        except OSError as error:
            # The upstream may have answered early, before the whole body.
            if isinstance(error, TimeoutError):
                return Outcome(FailurePoint.DEADLINE_AFTER_SEND, parser)
            return self._read(link, attempt, parser, whole=False)
        return self._read(link, attempt, parser, whole=True)

    def _read(
        self, link: Link, attempt: Attempt, parser: AnswerParser, whole: bool
    ) -> Outcome:
        received = 0
        while not parser.complete:
            left_ms = attempt.ends_at_ms - self.clock.now_ms()
            if left_ms <= 0:
                return Outcome(FailurePoint.DEADLINE_AFTER_SEND, parser)
            link.sock.settimeout(left_ms / MS_PER_SECOND)
            try:
                data = link.sock.recv(RECV_BYTES)
            except TimeoutError:
                continue
            except OSError as error:
                return self._broken(attempt, parser, str(error))
            if not data:
                parser.receive_end()
                if parser.complete and not attempt.cancelled:
                    break
                return self._broken(attempt, parser, "closed")
            received += len(data)
            parser.receive(data)
            if parser.fault or received > MAX_ANSWER_BYTES:
                reason = parser.fault or "the answer is too large"
                return Outcome(FailurePoint.MALFORMED_ANSWER, parser, reason=reason)
        if not whole:
            parser.keep_alive = False
        return Outcome(None, parser, parser.take_parts())

    def _broken(self, attempt: Attempt, parser: AnswerParser, reason: str) -> Outcome:
        if attempt.cancelled:
            return Outcome(FailurePoint.CALLER_GONE, parser)
        point = FailurePoint.AWAITING_ANSWER
        if parser.started:
            point = FailurePoint.MID_ANSWER
        return Outcome(point, parser, reason=reason)

    def _reuse(self, address: str, idempotent: bool) -> Link | None:
        links = self.idle.get(address)
        now_ms = self.clock.now_ms()
        while links:
            link = links.pop()
            limit_ms: float = link.idle_limit_ms
            if not idempotent:
                limit_ms *= FRESH_IDLE_PART
            if now_ms - link.idle_since_ms < limit_ms and link.is_silent():
                return link
            link.close()
        return None

    def _keep(self, address: str, link: Link, parser: AnswerParser) -> None:
        link.idle_since_ms = self.clock.now_ms()
        link.idle_limit_ms = _idle_limit_ms(parser.first(HEADER_KEEP_ALIVE))
        self.idle.setdefault(address, deque()).append(link)

    def _dial(self, address: str, attempt: Attempt) -> Link | Outcome:
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        left_ms = attempt.ends_at_ms - self.clock.now_ms()
        sock.settimeout(max(1, min(left_ms, DIAL_TIMEOUT_MS)) / MS_PER_SECOND)
        try:
            sock.connect(split_address(address))
            _tune(sock)
        except OSError as error:
            sock.close()
            return Outcome(FailurePoint.DURING_CONNECT, reason=str(error))
        return Link(sock)


def _tune(sock: Any) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_PEER_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEP_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEP_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEP_PROBES)


def _idle_limit_ms(header: str | None) -> int:
    """Return how long a connection may be idle and still be reused."""
    for part in (header or "").split(","):
        name, _, value = part.strip().partition("=")
        if name == KEEP_ALIVE_TIMEOUT and value.isdigit():
            return max(0, int(value) * MS_PER_SECOND - IDLE_MARGIN_MS)
    return DEFAULT_IDLE_MS
