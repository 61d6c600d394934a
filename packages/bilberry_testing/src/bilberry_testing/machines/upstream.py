"""Simulate an upstream that runs requests in slots and queues a few."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.outcome import Failure
from bilberry_router.entry.messages import HeaderNames
from bilberry_router.http.connection import Connection, ConnectionLostError
from bilberry_router.http.const import END_OF_HEAD
from bilberry_router.http.head import RequestHead, parse_head
from bilberry_router.http.messages import Headers

READ_TIMEOUT_MS = 60_000
PATH_HEALTH = "/healthz"
DEFAULT_WORK_MS = 5
COLD_OBJECT_FACTOR = 3


@dataclass(slots=True)
class ServedRequest:
    """Store a request that ran and whether its whole answer was sent."""

    request_id: str
    method: str
    target: str
    body: bytes
    timeout_ms: int
    key: str
    headers: Headers
    answer_complete: bool = False


@dataclass(slots=True)
class UpstreamFaults:
    """Represent the injected faults of an upstream.

    `script` contains raw bytes to send instead of the next answers, None
    for a reset; `shed_next` is the number of next requests to reject; no
    request ends before `hold` is set; `build_leading_bytes` and
    `build_trailing_bytes` return bytes to send before and after an answer;
    `extra_headers` are header lines added to all answers, `load` is what they
    say of its load in place of the truth, and `pace_percent` what they add to
    the truth as a fourth figure.
    """

    script: list[bytes | None] = field(default_factory=list)
    shed_next: int = 0
    hold: Event | None = None
    build_leading_bytes: Callable[[ServedRequest], bytes] | None = None
    build_trailing_bytes: Callable[[ServedRequest], bytes] | None = None
    extra_headers: list[str] = field(default_factory=list)
    load: str | None = None
    pace_percent: int | None = None


class UpstreamServer:
    """Run one upstream with slots; record warm keys and requests run.

    `on_run` is called when a request begins to run.
    """

    __slots__ = (
        "clock",
        "connections",
        "faults",
        "header_names",
        "is_silent",
        "name",
        "on_run",
        "queue_limit",
        "running",
        "served_requests",
        "server",
        "slot_free",
        "slots",
        "waiting",
        "warm_keys",
        "work_ms",
    )

    def __init__(
        self,
        name: str,
        names: HeaderNames,
        clock: Any,
        slots: int = 4,
        work_ms: int = DEFAULT_WORK_MS,
        address: tuple[str, int] = ("127.0.0.1", 0),
        queue_limit: int = 0,
    ) -> None:
        self.name = name
        self.header_names = names
        self.clock = clock
        self.slots = slots
        self.work_ms = work_ms
        self.running = 0
        self.waiting = 0
        self.queue_limit = queue_limit
        self.slot_free = Event()
        self.on_run: Callable[[ServedRequest], None] | None = None
        self.served_requests: list[ServedRequest] = []
        self.warm_keys: set[str] = set()
        self.faults = UpstreamFaults()
        self.connections: set[Connection] = set()
        self.is_silent = False
        self.server = StreamServer(address, self.serve)

    @property
    def address(self) -> str:
        """Return the listener's address as `ip:port`."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def start(self) -> None:
        """Listen."""
        self.server.start()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.server.stop(timeout=0)

    def crash(self) -> None:
        """End as if killed: stop listening and reset all connections."""
        self.server.close()
        for connection in list(self.connections):
            connection.abort()
            connection.sock.shutdown(socket.SHUT_RDWR)

    def fall_silent(self) -> None:
        """Answer nothing from now on, and close nothing."""
        self.is_silent = True

    def serve(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        connection = Connection(sock, self.clock)
        self.connections.add(connection)
        try:
            while self.serve_request(connection):
                pass
        except (ConnectionLostError, OSError):
            connection.abort()
        finally:
            self.connections.discard(connection)
            sock.close()

    def serve_request(self, connection: Connection) -> bool:
        """Answer the next request; return whether another may follow."""
        while (end := connection.buffer.find(END_OF_HEAD)) < 0:
            connection.fill(READ_TIMEOUT_MS)
        data = connection.take(end)
        connection.take(len(END_OF_HEAD))
        parsed = parse_head(data)
        assert not isinstance(parsed, Failure), parsed.failure().reason
        head = parsed.unwrap()
        length = head.content_length or 0
        while len(connection.buffer) < length:
            connection.fill(READ_TIMEOUT_MS)
        return self.answer(connection, head, connection.take(length))

    def answer(self, connection: Connection, head: RequestHead, body: bytes) -> bool:
        """Run one request and send its answer, modified by the faults.

        Return whether another request may follow.
        """
        names = self.header_names
        sock = connection.sock
        if self.is_silent:
            gevent.sleep(READ_TIMEOUT_MS / MS_PER_SECOND)
            return False
        expected = head.first(names.expected_upstream.lower())
        if expected not in (None, self.name):
            sock.sendall(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return True
        if head.target == PATH_HEALTH:
            sock.sendall(self._build_health_answer())
            return True
        if self.faults.shed_next > 0 or self._is_full():
            self.faults.shed_next -= 1
            sock.sendall(self._build_shed_answer(head))
            return True
        self._wait_for_slot()
        served = self._run(head, body)
        if self.is_silent:
            gevent.sleep(READ_TIMEOUT_MS / MS_PER_SECOND)
            return False
        if self.faults.script:
            raw = self.faults.script.pop(0)
            if raw is None:
                connection.abort()
                return False
            sock.sendall(raw)
            return False
        leading = b""
        if self.faults.build_leading_bytes is not None:
            leading = self.faults.build_leading_bytes(served)
        sock.sendall(leading + self.build_answer(served))
        served.answer_complete = True
        if self.faults.build_trailing_bytes is not None:
            sock.sendall(self.faults.build_trailing_bytes(served))
        return True

    def build_answer(self, served: ServedRequest, body: bytes = b"") -> bytes:
        """Return a valid, complete answer to a request."""
        body = body or f"{self.name} ran {served.request_id}".encode()
        lines = [
            "HTTP/1.1 200 OK",
            f"{self.header_names.request_id}: {served.request_id}",
            f"{self.header_names.digest}: digest-of-{served.request_id}",
            *self._status_lines(),
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join(lines).encode("latin-1") + END_OF_HEAD + body

    def _status_lines(self) -> list[str]:
        """Return the header lines in which it tells its state."""
        load = self.faults.load
        if load is None:
            load = f"{self.running},{self.waiting},{self.slots}"
            if self.faults.pace_percent is not None:
                load += f",{self.faults.pace_percent}"
        return [f"{self.header_names.load}: {load}", *self.faults.extra_headers]

    def _is_full(self) -> bool:
        return self.running >= self.slots and self.waiting >= self.queue_limit

    def _wait_for_slot(self) -> None:
        self.waiting += 1
        while self.running >= self.slots:
            self.slot_free.wait()
        self.waiting -= 1

    def _run(self, head: RequestHead, body: bytes) -> ServedRequest:
        names = self.header_names
        served = ServedRequest(
            head.first(names.request_id.lower()) or "",
            head.method,
            head.target,
            body,
            int(head.first(names.timeout.lower()) or 0),
            head.first(names.affinity.lower()) or "",
            head.headers,
        )
        self.served_requests.append(served)
        if self.on_run is not None:
            self.on_run(served)
        work_ms = self.work_ms
        if served.key and served.key not in self.warm_keys:
            work_ms *= COLD_OBJECT_FACTOR
            self.warm_keys.add(served.key)
        self.running += 1
        try:
            if self.faults.hold is not None:
                self.faults.hold.wait()
            gevent.sleep(work_ms / MS_PER_SECOND)
        finally:
            self.running -= 1
            self.slot_free.set()
            self.slot_free.clear()
        return served

    def _build_health_answer(self) -> bytes:
        lines = [
            "HTTP/1.1 200 OK",
            f"{self.header_names.upstream_id}: {self.name}",
            *self._status_lines(),
            "Content-Length: 0",
        ]
        return "\r\n".join(lines).encode("latin-1") + END_OF_HEAD

    def _build_shed_answer(self, head: RequestHead) -> bytes:
        id_header = self.header_names.request_id
        lines = [
            "HTTP/1.1 503 Service Unavailable",
            f"{id_header}: {head.first(id_header.lower()) or ''}",
            f"{self.header_names.not_run}: 1",
            *self._status_lines(),
            "Content-Length: 0",
        ]
        return "\r\n".join(lines).encode("latin-1") + END_OF_HEAD
