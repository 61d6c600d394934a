"""Manage the state of idempotency keys and decide which requests run."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from gevent.event import Event

from bilberry_balance.key_handover import (
    Handover,
    apply_handover,
    build_end_report,
    build_handovers,
)
from bilberry_balance.keys import (
    Execute,
    FingerprintMismatch,
    ForwardToOwner,
    KeyDecision,
    KeyState,
    KeyTable,
    Refused,
    Replay,
    StoredResponse,
    UnknownOutcome,
    WaitForFirst,
)
from bilberry_balance.ownership import Ownership, OwnershipStatus
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND

from .messages import BeginCall, BeginReply, Decision, EndCall, EpochReply, RunOutcome

_LOGGER = logging.getLogger(__name__)

RUN_MARGIN_MS = 5_000
HANDOVER_POLL_MS = 50
EPOCH_READ_SPACING_MS = 200
# Wait for the former owner's keys after a change of owners.
HANDOVER_GRACE_MS = 4_000
REASON_RESTARTED = "the key's owner was replaced"
REASON_STILL_RUNNING = "the first request is still running"


@dataclass(slots=True)
class KeyRun:
    """A key's running request: its attempt and when it expires."""

    attempt: str
    expires_at_ms: int
    finished: Event = field(default_factory=Event)


class KeyCoordinator:
    """Manage the keys that this node owns and their running requests.

    `send_handover` sends keys to their new owner; `read_epoch` reads the
    epoch from the store and returns whether the store answered.
    """

    __slots__ = (
        "clock",
        "last_epoch_read_ms",
        "member",
        "ownership",
        "read_epoch",
        "runs",
        "send_handover",
        "table",
    )

    def __init__(self, member: str, clock: Clock, retention_ms: int) -> None:
        self.member = member
        self.clock = clock
        self.ownership = Ownership(member)
        self.table = KeyTable(self.ownership, retention_ms=retention_ms)
        self.runs: dict[str, KeyRun] = {}
        self.send_handover: Callable[[Handover], None] | None = None
        self.read_epoch: Callable[[], bool] | None = None
        self.last_epoch_read_ms = clock.now_ms() - EPOCH_READ_SPACING_MS

    def begin(self, call: BeginCall) -> BeginReply:
        """Decide on a keyed request.

        Wait up to the call's `wait_ms` for the key's handover or for the
        end of its first request.
        """
        if call.target != self.member:
            return BeginReply(Decision.UNKNOWN, REASON_RESTARTED)
        ends_at_ms = self.clock.now_ms() + call.wait_ms
        self.refresh_epoch(call.key)
        while True:
            run = self.runs.get(call.key)
            if run is not None and run.attempt == call.attempt:
                return BeginReply(Decision.RUN)
            now_ms = self.clock.now_ms()
            if now_ms < ends_at_ms and self.expects_handover(call.key, now_ms):
                self.wait_for_end(None, ends_at_ms - now_ms)
                continue
            decision = self.table.begin(
                call.key, call.fingerprint, now_ms, self.clock.wall_ms()
            )
            if isinstance(decision, Execute):
                self.runs[call.key] = KeyRun(call.attempt, ends_at_ms + RUN_MARGIN_MS)
                return BeginReply(Decision.RUN)
            if not isinstance(decision, WaitForFirst):
                return build_reply(decision)
            if now_ms >= ends_at_ms:
                return BeginReply(Decision.STILL_RUNNING, REASON_STILL_RUNNING)
            self.wait_for_end(run, ends_at_ms - now_ms)

    def refresh_epoch(self, key: str) -> None:
        """Read the epoch if this node doesn't know that it owns the key.

        The caller may know a newer epoch, as a node that owns no keys reads
        the epoch seldom. Reads are at least EPOCH_READ_SPACING_MS apart.
        """
        now_ms = self.clock.now_ms()
        if self.ownership.owner(key) == self.member or self.read_epoch is None:
            return
        if now_ms - self.last_epoch_read_ms >= EPOCH_READ_SPACING_MS:
            self.last_epoch_read_ms = now_ms
            self.read_epoch()

    def expects_handover(self, key: str, now_ms: int) -> bool:
        """Return whether the former owner may still hand over the key."""
        if key in self.table.entries:
            return False
        if self.ownership.check_ownership(key, now_ms) is not OwnershipStatus.SETTLING:
            return False
        newest = self.ownership.newest
        assert newest is not None, "ownership is settling without an epoch"
        return now_ms < newest.seen_ms + HANDOVER_GRACE_MS

    def wait_for_end(self, run: KeyRun | None, left_ms: int) -> None:
        """Wait for the end of `run`, or for the next check if None."""
        if run is None:
            Event().wait(min(left_ms, HANDOVER_POLL_MS) / MS_PER_SECOND)
        else:
            run.finished.wait(left_ms / MS_PER_SECOND)

    def end_run(self, call: EndCall) -> bool:
        """Record the end of a run; False if the run is not known."""
        run = self.runs.get(call.key)
        if run is None or run.attempt != call.attempt:
            return False
        self.finish_run(call.key, run, call.outcome, call.answer)
        return True

    def finish_run(
        self, key: str, run: KeyRun, outcome: RunOutcome, answer: StoredResponse | None
    ) -> None:
        """Record the end of a run and wake the requests waiting for it."""
        del self.runs[key]
        now_ms = self.clock.now_ms()
        entry = self.table.entries.get(key)
        if entry is not None and entry.state is KeyState.RUNNING:
            if outcome is RunOutcome.STORED and answer is not None:
                self.table.store(key, answer, now_ms)
            elif outcome is RunOutcome.RELEASED:
                self.table.release(key)
            else:
                self.table.mark_lost(key, now_ms)
        run.finished.set()
        handover = build_end_report(self.table, key, now_ms)
        if handover is not None and self.send_handover is not None:
            self.send_handover(handover)

    def expire_runs(self) -> None:
        """Mark runs as lost whose entry node never reported their end."""
        now_ms = self.clock.now_ms()
        for key, run in list(self.runs.items()):
            if run.expires_at_ms <= now_ms:
                _LOGGER.warning("keys: Run expired without a reported end.")
                self.finish_run(key, run, RunOutcome.LOST, None)

    def on_epoch(
        self, number: int, members: tuple[str, ...], former: tuple[str, ...]
    ) -> None:
        """Apply a newer epoch and hand over the keys that moved."""
        now_ms = self.clock.now_ms()
        if not self.ownership.on_epoch(
            number, members, former, now_ms, self.clock.wall_ms()
        ):
            return
        _LOGGER.info("keys: Epoch %s has %s members.", number, len(members))
        for handover in build_handovers(self.table, now_ms):
            if self.send_handover is not None:
                self.send_handover(handover)

    def accept_handover(self, target: str, handover: Handover) -> bool:
        """Merge a former owner's keys; False if it should send them again."""
        if target != self.member:
            return False
        return apply_handover(self.table, handover, self.clock.now_ms())

    def epoch_reply(self) -> EpochReply:
        """Return the newest epoch that this member has seen."""
        newest = self.ownership.newest
        return EpochReply(self.member, newest.number if newest else 0)


def build_reply(decision: KeyDecision) -> BeginReply:
    """Return the reply for a decision other than to run or wait."""
    if isinstance(decision, Replay):
        return BeginReply(Decision.REPLAY, answer=decision.response)
    if isinstance(decision, FingerprintMismatch):
        return BeginReply(Decision.MISMATCH)
    if isinstance(decision, Refused):
        return BeginReply(Decision.REFUSED, decision.reason, decision.retry_after_ms)
    if isinstance(decision, ForwardToOwner):
        return BeginReply(Decision.ELSEWHERE, REASON_RESTARTED)
    assert isinstance(decision, UnknownOutcome), f"{decision} is not a final decision"
    return BeginReply(Decision.UNKNOWN, decision.reason)
