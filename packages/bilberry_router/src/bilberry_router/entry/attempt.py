"""One attempt to send a request to an upstream, and what came of it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bilberry_balance.outcomes import FailurePoint

from ..http.response_parser import ResponseParser
from ..http.upstream_socket import UpstreamSocket


class Arrival(Protocol):
    """Bound an answer that has begun to arrive."""

    @property
    def is_too_large(self) -> bool:
        """Return whether the rest of the answer isn't wanted."""
        ...

    def add(self, byte_count: int, announced_bytes: int) -> int:
        """Count bytes that have arrived; return the new deadline, in ms.

        The answer has announced a body of `announced_bytes`, 0 if it has none.
        """
        ...


@dataclass(slots=True)
class Attempt:
    """Represent one attempt to send a request; times in monotonic ms.

    `head` and `body` are kept apart, as a joined copy would take memory. With
    an `arrival`, the deadline is that of the first bytes of the answer. As a
    connect may take its time, `may_send` is asked once connected, and
    `make_head` then returns the head.
    """

    method: str
    head: bytes
    request_id: str
    deadline_ms: int
    idempotent: bool
    body: bytes | bytearray = b""
    needs_new_connection: bool = False
    arrival: Arrival | None = None
    may_send: Callable[[], bool] | None = None
    make_head: Callable[[], bytes] | None = None
    cancelled: bool = False
    sent: bool = False
    connection: UpstreamSocket | None = None

    @property
    def byte_count(self) -> int:
        """Return the size of the request, head included."""
        return len(self.head) + len(self.body)

    @property
    def is_too_large(self) -> bool:
        """Return whether the rest of the answer isn't wanted."""
        return self.arrival is not None and self.arrival.is_too_large

    @property
    def is_outdated(self) -> bool:
        """Return whether the request may not be sent there any more."""
        return self.may_send is not None and not self.may_send()

    def cancel(self) -> None:
        """Cancel the attempt; safe in the hub."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.shut_down()


@dataclass(slots=True)
class ExchangeOutcome:
    """Represent a complete answer, or the point of failure.

    `is_first_use` is whether the connection carried no request before, and
    `connect_ms` how long its connect took if this attempt made it.
    `received_bytes` counts all bytes of the answer, heads included.
    `is_refused` is whether nothing listens at the address.
    """

    point: FailurePoint | None
    parser: ResponseParser | None = None
    body: bytes = b""
    reason: str = ""
    is_first_use: bool = False
    connect_ms: int | None = None
    received_bytes: int = 0
    is_refused: bool = False
