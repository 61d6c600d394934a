"""Tell single nodes of suspect requests at once, and ask them for trials."""

from collections.abc import Callable

from gevent.event import AsyncResult

from bilberry_balance.suspects import SuspectReport
from bilberry_core.const import MS_PER_SECOND

from .heartbeats import HeartbeatTask, SuspectMessage
from .messages import SuspectCall, SuspectReply, TrialRequest

CALL_TRIES = 2
CALL_TRY_MS = 200
# Reports that surely fit in one datagram.
MAX_REPORTS_IN_CALL = 100


class SuspectCalls:
    """Make and answer calls between nodes over the socket of the heartbeats.

    A call is sent again if no reply arrives in time; receivers must bear that.
    """

    __slots__ = ("answer", "heartbeats", "last_call_id", "pending")

    def __init__(
        self,
        heartbeats: HeartbeatTask,
        answer: Callable[[SuspectCall], SuspectReply],
    ) -> None:
        self.heartbeats = heartbeats
        self.answer = answer
        self.last_call_id = 0
        self.pending: dict[int, AsyncResult] = {}
        heartbeats.on_suspect_message = self.receive

    def tell(self, addresses: list[str], reports: list[SuspectReport]) -> None:
        """Send reports without waiting for replies."""
        own = self.heartbeats.peers.own.name
        self.heartbeats.send_to(addresses, SuspectCall(own, 0, reports))

    def call(
        self,
        address: str,
        reports: list[SuspectReport],
        trial: TrialRequest | None = None,
        asks_all: bool = False,
    ) -> SuspectReply | None:
        """Return the reply of the node at `address`, None without one."""
        own = self.heartbeats.peers.own.name
        self.last_call_id += 1
        call = SuspectCall(own, self.last_call_id, reports, trial, asks_all)
        replied = self.pending[call.call_id] = AsyncResult()
        try:
            for _ in range(CALL_TRIES):
                self.heartbeats.send_to([address], call)
                if replied.wait(timeout=CALL_TRY_MS / MS_PER_SECOND) is not None:
                    break
        finally:
            del self.pending[call.call_id]
        reply: SuspectReply | None = replied.value
        return reply

    def receive(self, message: SuspectMessage, address: str) -> None:
        """Answer a call, or end the wait for a reply."""
        if isinstance(message, SuspectReply):
            waiting = self.pending.get(message.call_id)
            if waiting is not None:
                waiting.set(message)
            return
        reply = self.answer(message)
        if message.call_id:
            self.heartbeats.send_to([address], reply)
