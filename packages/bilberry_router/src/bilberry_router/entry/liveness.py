"""Find out whether an upstream is alive, after a request was lost there."""

import logging
from collections.abc import Callable
from enum import StrEnum, auto
from http import HTTPStatus

import gevent
from gevent import Greenlet

from bilberry_balance.placement.upstream import UpstreamSpec
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND

from ..http.receive import ReadTimeoutError
from ..http.response_parser import ResponseParser
from ..http.upstream_socket import UpstreamSocket
from .const import CONNECT_TIMEOUT_MS, MAX_UNACKNOWLEDGED_MS
from .messages import HeaderNames

_LOGGER = logging.getLogger(__name__)

# Outlasts the time after which unacknowledged data breaks the connection.
HEALTH_TIMEOUT_MS = 1_500
# Of an upstream that is to run a request next.
FIRST_HEALTH_TIMEOUT_MS = 500
# A crash closes all connections of an upstream within this time.
SAME_END_MS = 300


class Liveness(StrEnum):
    """Enumerate what a check tells of one incarnation of an upstream.

    `REPLACED` means that another one answers at its address, `CLOSED` that the
    connection was lost.
    """

    ALIVE = auto()
    REPLACED = auto()
    CLOSED = auto()
    SILENT = auto()


class HealthConnection:
    """Ask one upstream for its health on a connection of its own.

    `on_answer` gets each answer of this incarnation.
    """

    __slots__ = ("clock", "header_names", "on_answer", "path", "socket", "spec")

    def __init__(
        self,
        spec: UpstreamSpec,
        path: str,
        header_names: HeaderNames,
        clock: Clock,
        on_answer: Callable[[ResponseParser], object],
    ) -> None:
        self.spec = spec
        self.clock = clock
        self.on_answer = on_answer
        self.path = path
        self.header_names = header_names
        self.socket = UpstreamSocket(spec.address)

    def connect(self, timeout_ms: int = CONNECT_TIMEOUT_MS) -> bool:
        """Connect; return whether that worked."""
        try:
            self.socket.connect(timeout_ms, MAX_UNACKNOWLEDGED_MS)
        except OSError as error:
            _LOGGER.info(
                "entry: No connection for the health of %s: %s.", self.spec.name, error
            )
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()

    def ask(self, timeout_ms: int = HEALTH_TIMEOUT_MS) -> Liveness:
        """Return what the upstream answers, or that it doesn't."""
        lines = [
            f"GET {self.path} HTTP/1.1",
            f"Host: {self.spec.address}",
            f"{self.header_names.expected_upstream}: {self.spec.name}",
        ]
        parser = ResponseParser("GET")
        end_ms = self.clock.now_ms() + timeout_ms
        try:
            self.socket.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
            while not parser.is_head_complete and not parser.error:
                left_ms = end_ms - self.clock.now_ms()
                if left_ms <= 0:
                    return Liveness.SILENT
                data = self.socket.receive(left_ms)
                if not data:
                    return Liveness.CLOSED
                parser.feed(data)
        except ReadTimeoutError:
            return Liveness.SILENT
        except OSError as error:
            _LOGGER.info("entry: No health of %s: %s.", self.spec.name, error)
            return Liveness.CLOSED
        liveness = self._judge(parser)
        if liveness is Liveness.ALIVE:
            self.on_answer(parser)
        return liveness

    def _judge(self, parser: ResponseParser) -> Liveness:
        """Return whether the answer is of this incarnation."""
        if parser.status == HTTPStatus.MISDIRECTED_REQUEST:
            return Liveness.REPLACED
        name = parser.first(self.header_names.upstream_id.lower())
        return Liveness.ALIVE if name in (None, self.spec.name) else Liveness.REPLACED


class CrashWitness:
    """Watch an idle connection to an upstream beside a request's own.

    A crash closes it together with that of the request, while a lost answer
    does not. An upstream that restarts at once at its address can't hide it.
    """

    __slots__ = ("closed_at_ms", "connection", "task")

    def __init__(self, connection: HealthConnection) -> None:
        self.connection = connection
        self.closed_at_ms: int | None = None
        self.task: Greenlet | None = None

    def start(self, limit_ms: int) -> bool:
        """Watch an upstream that is alive; return whether it is.

        Find that out within `limit_ms`.
        """
        connection = self.connection
        if not connection.connect(min(limit_ms // 2, CONNECT_TIMEOUT_MS)):
            return False
        health_ms = min(limit_ms // 2, FIRST_HEALTH_TIMEOUT_MS)
        if connection.ask(health_ms) is not Liveness.ALIVE:
            return False
        self.task = gevent.spawn(self.watch)
        return True

    def close(self) -> None:
        """Stop watching and close the connection."""
        self._stop_watching()
        self.connection.close()

    def watch(self) -> None:
        """Wait for the end of the connection, and record its time."""
        sock = self.connection.socket.sock
        sock.settimeout(None)
        try:
            sock.recv(1)
        except OSError as error:
            name = self.connection.spec.name
            _LOGGER.info("entry: Idle connection to %s ended: %s.", name, error)
        self.closed_at_ms = self.connection.clock.now_ms()

    def confirms_crash(self, lost_at_ms: int, was_closed: bool) -> bool:
        """Return whether the upstream crashed when a request was lost.

        With `was_closed` it closed the request's connection, else it was
        silent.
        """
        if was_closed and self.closed_at_ms is None:
            gevent.sleep(SAME_END_MS / MS_PER_SECOND)
        if self.closed_at_ms is not None:
            # One that ended before may have been idle for too long.
            is_same_end = self.closed_at_ms >= lost_at_ms - SAME_END_MS
            return is_same_end or self._is_replaced()
        if was_closed:
            return not self._accepts_connections()
        self._stop_watching()
        return self.connection.ask() is not Liveness.ALIVE

    def _is_replaced(self) -> bool:
        """Return whether nothing or another upstream is at its address."""
        connection = self._new_connection()
        try:
            return not connection.connect() or connection.ask() is Liveness.REPLACED
        finally:
            connection.close()

    def _accepts_connections(self) -> bool:
        connection = self._new_connection()
        try:
            return connection.connect()
        finally:
            connection.close()

    def _new_connection(self) -> HealthConnection:
        known = self.connection
        return HealthConnection(
            known.spec,
            known.path,
            known.header_names,
            known.clock,
            known.on_answer,
        )

    def _stop_watching(self) -> None:
        if self.task is not None:
            self.task.kill()
            self.task = None
