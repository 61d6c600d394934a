"""Pool connections to upstreams and exchange requests on them."""

import re
from collections import deque

from bilberry_balance.outcomes import FailurePoint
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND

from ..http.const import MAX_JOINED_WRITE_BYTES
from ..http.receive import ReadTimeoutError, is_own_timeout
from ..http.response_parser import ResponseParser
from ..http.upstream_socket import IdleState, UpstreamSocket
from .answer_memory import AnswerMemory, HeldAnswer
from .attempt import Attempt, ExchangeOutcome
from .const import (
    CONNECT_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS,
    IDLE_MARGIN_MS,
    MAX_IDLE_TIMEOUT_MS,
    MAX_UNACKNOWLEDGED_MS,
    NON_IDEMPOTENT_IDLE_FRACTION,
    NOT_RUN_STATUSES,
)

HEADER_KEEP_ALIVE = "keep-alive"
KEEP_ALIVE_TIMEOUT_PARAMETER = "timeout"
_SECONDS = re.compile(r"[0-9]{1,9}")


class PooledConnection(UpstreamSocket):
    """Represent a connection that may be idle for `idle_limit_ms`."""

    __slots__ = ("idle_limit_ms",)

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.idle_limit_ms = DEFAULT_IDLE_TIMEOUT_MS

    def has_expired(self, now_ms: int) -> bool:
        """Return whether it has been idle for too long to be used again."""
        return now_ms - self.idle_since_ms >= self.idle_limit_ms


class ConnectionPool:
    """Manage the connections from this node to upstreams."""

    __slots__ = ("answer_memory", "clock", "id_header", "idle")

    def __init__(self, id_header: str, clock: Clock) -> None:
        self.id_header = id_header.lower()
        self.clock = clock
        self.answer_memory = AnswerMemory()
        self.idle: dict[str, deque[PooledConnection]] = {}

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()

    def has_idle(self, address: str) -> bool:
        """Return whether a connection to `address` may be used again."""
        connections = self.idle.get(address)
        if not connections:
            return False
        return not connections[-1].has_expired(self.clock.now_ms())

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        now_ms = self.clock.now_ms()
        for address, connections in list(self.idle.items()):
            while connections and connections[0].has_expired(now_ms):
                connections.popleft().close()
            if not connections:
                del self.idle[address]

    def exchange(self, address: str, attempt: Attempt) -> ExchangeOutcome:
        """Send the request to `address` and return the outcome."""
        connection = None
        if not attempt.needs_new_connection:
            connection = self._take_idle(address, attempt.idempotent)
        is_first_use = connection is None
        connect_ms = None
        if connection is None:
            started_ms = self.clock.now_ms()
            connected = self._connect(address, attempt)
            if isinstance(connected, ExchangeOutcome):
                return connected
            connection = connected
            connect_ms = self.clock.now_ms() - started_ms
        attempt.connection = connection
        try:
            outcome = self._send(connection, attempt)
        finally:
            attempt.connection = None
        outcome.is_first_use = is_first_use
        outcome.connect_ms = connect_ms
        parser = outcome.parser
        if outcome.point is None and parser is not None and _may_reuse(parser):
            self._keep_idle(address, connection, parser)
        else:
            connection.close()
        return outcome

    def _send(self, connection: PooledConnection, attempt: Attempt) -> ExchangeOutcome:
        parser = ResponseParser(
            attempt.method,
            self.id_header,
            attempt.request_id,
            ends_with_connection=True,
        )
        if attempt.cancelled:
            return ExchangeOutcome(FailurePoint.CALLER_GONE_BEFORE_SEND)
        if attempt.is_outdated:
            return ExchangeOutcome(FailurePoint.PLACEMENT_OUTDATED)
        remaining_ms = attempt.deadline_ms - self.clock.now_ms()
        if remaining_ms <= 0:
            return ExchangeOutcome(FailurePoint.DEADLINE_IN_QUEUE)
        if attempt.make_head is not None:
            attempt.head = attempt.make_head()
        connection.set_timeout(remaining_ms)
        attempt.sent = True
        try:
            self._send_request(connection, attempt)
        except OSError as error:
            if is_own_timeout(error):
                return ExchangeOutcome(FailurePoint.DEADLINE_AFTER_SEND, parser)
            # The upstream may have answered early, before the whole body.
            return self._receive(connection, attempt, parser, fully_sent=False)
        return self._receive(connection, attempt, parser, fully_sent=True)

    def _send_request(self, connection: PooledConnection, attempt: Attempt) -> None:
        if len(attempt.body) <= MAX_JOINED_WRITE_BYTES:
            connection.sock.sendall(attempt.head + attempt.body)
            return
        connection.sock.sendall(attempt.head)
        connection.set_timeout(attempt.deadline_ms - self.clock.now_ms())
        connection.sock.sendall(attempt.body)

    def _receive(
        self,
        connection: PooledConnection,
        attempt: Attempt,
        parser: ResponseParser,
        fully_sent: bool,
    ) -> ExchangeOutcome:
        received = HeldAnswer(self.answer_memory)
        try:
            outcome = self._receive_answer(
                connection, attempt, parser, received, fully_sent
            )
            outcome.received_bytes = received.byte_count
        finally:
            received.release()
        if not fully_sent:
            parser.allows_keep_alive = False
        return outcome

    def _receive_answer(
        self,
        connection: PooledConnection,
        attempt: Attempt,
        parser: ResponseParser,
        received: HeldAnswer,
        fully_sent: bool,
    ) -> ExchangeOutcome:
        while not parser.is_complete:
            remaining_ms = attempt.deadline_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                return ExchangeOutcome(FailurePoint.DEADLINE_AFTER_SEND, parser)
            try:
                data = connection.receive(remaining_ms)
            except ReadTimeoutError:
                continue
            except OSError as error:
                return self._connection_lost(attempt, parser, str(error))
            if not data:
                # After a failed send, it may be a reset that ends the answer.
                if fully_sent:
                    parser.feed_eof()
                if parser.is_complete and not attempt.cancelled:
                    break
                return self._connection_lost(attempt, parser, "closed")
            received.add(len(data))
            counted = parser.chunk_count
            parser.feed(data)
            connection.work_budget.consume(0, parser.chunk_count - counted)
            if attempt.arrival is not None and parser.body_bytes:
                attempt.deadline_ms = attempt.arrival.add(
                    len(data), parser.announced_bytes
                )
            if parser.error or received.is_too_large or attempt.is_too_large:
                reason = parser.error or "the answer is too large"
                parser.pop_body()
                return ExchangeOutcome(
                    FailurePoint.MALFORMED_ANSWER, parser, reason=reason
                )
        return ExchangeOutcome(None, parser, parser.pop_body())

    def _connection_lost(
        self, attempt: Attempt, parser: ResponseParser, reason: str
    ) -> ExchangeOutcome:
        if attempt.cancelled:
            return ExchangeOutcome(FailurePoint.CALLER_GONE, parser)
        point = FailurePoint.AWAITING_ANSWER
        if parser.has_started:
            point = FailurePoint.MID_ANSWER
        return ExchangeOutcome(point, parser, reason=reason)

    def _take_idle(self, address: str, idempotent: bool) -> PooledConnection | None:
        connections = self.idle.get(address)
        now_ms = self.clock.now_ms()
        while connections:
            connection = connections.pop()
            limit_ms: float = connection.idle_limit_ms
            if not idempotent:
                limit_ms *= NON_IDEMPOTENT_IDLE_FRACTION
            is_recent = now_ms - connection.idle_since_ms < limit_ms
            if is_recent and connection.idle_state() is IdleState.OPEN:
                return connection
            connection.close()
        return None

    def _keep_idle(
        self, address: str, connection: PooledConnection, parser: ResponseParser
    ) -> None:
        connection.idle_since_ms = self.clock.now_ms()
        connection.idle_limit_ms = _idle_limit_ms(parser.first(HEADER_KEEP_ALIVE))
        self.idle.setdefault(address, deque()).append(connection)

    def _connect(
        self, address: str, attempt: Attempt
    ) -> PooledConnection | ExchangeOutcome:
        try:
            connection = PooledConnection(address)
        except OSError as error:
            return ExchangeOutcome(FailurePoint.BEFORE_CONNECT, reason=str(error))
        remaining_ms = attempt.deadline_ms - self.clock.now_ms()
        try:
            connection.connect(
                min(remaining_ms, CONNECT_TIMEOUT_MS), MAX_UNACKNOWLEDGED_MS
            )
        except OSError as error:
            connection.close()
            return ExchangeOutcome(
                FailurePoint.DURING_CONNECT,
                reason=str(error),
                is_refused=isinstance(error, ConnectionRefusedError),
            )
        return connection


def _may_reuse(parser: ResponseParser) -> bool:
    """Return whether a later request may use the answer's connection.

    A refusal that is sent once more must not reach another request.
    """
    return parser.is_reusable and parser.status not in NOT_RUN_STATUSES


def _idle_limit_ms(header: str | None) -> int:
    """Return how long a connection may be idle and still be reused."""
    for part in (header or "").split(","):
        name, _, value = part.strip().partition("=")
        if name == KEEP_ALIVE_TIMEOUT_PARAMETER and _SECONDS.fullmatch(value):
            limit_ms = int(value) * MS_PER_SECOND - IDLE_MARGIN_MS
            return max(0, min(limit_ms, MAX_IDLE_TIMEOUT_MS))
    return DEFAULT_IDLE_TIMEOUT_MS
