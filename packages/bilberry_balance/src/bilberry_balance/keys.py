"""Run each idempotency key at most once over all nodes.

The key table of the node that owns a key decides; see `ownership`. Times
are monotonic ms, those named wall are ms since the Unix epoch.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum, auto

import msgspec

from bilberry_core.ids import uuid7_ms

from .const import (
    DEFAULT_ANSWER_BYTES,
    DEFAULT_CALLER_SKEW_MS,
    DEFAULT_KEY_LIMIT,
    DEFAULT_KEY_RETENTION_MS,
    DEFAULT_REMOTE_RUN_MS,
    DEFAULT_VM_SKEW_MS,
)
from .ownership import Ownership, OwnershipStatus


class KeyState(StrEnum):
    """List the states of the first request with a key.

    `LOST` means that it may have run, and that its response is not stored.
    """

    RUNNING = auto()
    STORED = auto()
    LOST = auto()


class StoredAnswer(msgspec.Struct, frozen=True):
    """Store a complete response for replay."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Return the size of the headers and the body in bytes."""
        names = sum(len(name) + len(value) for name, value in self.headers)
        return names + len(self.body)


@dataclass(slots=True)
class KeyEntry:
    """Store the state of one key at its owner.

    `source` names the former owner if the request still runs there.
    """

    fingerprint: str
    state: KeyState
    since_ms: int
    answer: StoredAnswer | None = None
    source: str | None = None


@dataclass(slots=True, frozen=True)
class New:
    """Run the request; then call `store`, `lose` or `release`."""


@dataclass(slots=True, frozen=True)
class WaitForFirst:
    """Wait until the first request with the key has ended."""


@dataclass(slots=True, frozen=True)
class Replay:
    """Return the stored response of the first request."""

    answer: StoredAnswer


@dataclass(slots=True, frozen=True)
class Mismatch:
    """Answer 422 `not-run`: the key was used with another request."""


@dataclass(slots=True, frozen=True)
class Unknown:
    """Answer 409 `unknown`: the first request may have run."""

    reason: str


@dataclass(slots=True, frozen=True)
class Elsewhere:
    """Send the request to the node that owns the key."""

    owner: str | None


@dataclass(slots=True, frozen=True)
class Refused:
    """Answer 503 `not-run`: the key was never run and can't be now."""

    reason: str
    retry_after_ms: int


KeyDecision = New | WaitForFirst | Replay | Mismatch | Unknown | Elsewhere | Refused

REASON_LOST = "the first request's end is not known"
REASON_SETTLING = "the key's owner is changing"
REASON_UNCONFIRMED = "the key's owner is not confirmed"
REASON_BEFORE_TAKEOVER = "the key may have run at its former owner"
REASON_TOO_OLD = "the key is older than its retention"
REASON_AHEAD = "the key's time is ahead of the clock"
REASON_FULL = "the table of keys is full"
FULL_RETRY_AFTER_MS = 5_000


class KeyTable:
    """Store the keys that this node owns or owned before.

    Memory is bounded by `limit` keys and `answer_bytes` of responses. When
    a response is evicted its key stays, and resends of it get 409; a full
    table refuses new keys. No key is dropped within its retention, so
    eviction never leads to a second execution.
    """

    __slots__ = (
        "answer_bytes",
        "answered",
        "entries",
        "limit",
        "ownership",
        "remote",
        "retention_ms",
        "stored_bytes",
    )

    def __init__(
        self,
        ownership: Ownership,
        limit: int = DEFAULT_KEY_LIMIT,
        answer_bytes: int = DEFAULT_ANSWER_BYTES,
        retention_ms: int = DEFAULT_KEY_RETENTION_MS,
    ) -> None:
        self.ownership = ownership
        self.limit = limit
        self.answer_bytes = answer_bytes
        self.retention_ms = retention_ms
        self.entries: OrderedDict[str, KeyEntry] = OrderedDict()
        self.remote: dict[str, int] = {}
        self.answered: OrderedDict[str, None] = OrderedDict()
        self.stored_bytes = 0

    def begin(
        self, key: str, fingerprint: str, now_ms: int, wall_ms: int
    ) -> KeyDecision:
        """Return the decision on a request; mark a new key as running."""
        self.expire(now_ms)
        entry = self.entries.get(key)
        if entry is not None:
            return _known(entry, fingerprint)
        decision = self._unseen(key, now_ms, wall_ms)
        if isinstance(decision, New):
            self.entries[key] = KeyEntry(fingerprint, KeyState.RUNNING, now_ms)
        return decision

    def store(self, key: str, answer: StoredAnswer, now_ms: int) -> None:
        """Store the complete response of a running key."""
        self._end(key, KeyState.STORED, now_ms)
        self.keep_answer(key, answer)

    def keep_answer(self, key: str, answer: StoredAnswer) -> None:
        """Attach a response to a key and evict the oldest beyond the bound."""
        self.entries[key].answer = answer
        self.answered[key] = None
        self.stored_bytes += answer.size_bytes
        while self.stored_bytes > self.answer_bytes:
            self._drop_answer(next(iter(self.answered)))

    def lose(self, key: str, now_ms: int) -> None:
        """Record that a running key may have run and has no response."""
        self._end(key, KeyState.LOST, now_ms)

    def release(self, key: str) -> None:
        """Remove a running key whose request provably did not run."""
        entry = self.entries.pop(key)
        assert entry.state is KeyState.RUNNING, "the key is not running"

    def expire(self, now_ms: int) -> None:
        """Drop ended keys after their retention.

        A key that runs at a former owner becomes lost if that owner doesn't
        report its end in time.
        """
        late_ms = now_ms - DEFAULT_REMOTE_RUN_MS
        for key in [k for k, since in self.remote.items() if since <= late_ms]:
            self._end(key, KeyState.LOST, now_ms)
        for key in self._ended_before(now_ms - self.retention_ms):
            self.remove(key)

    def adopt(self, key: str, entry: KeyEntry) -> None:
        """Insert a key received from its former owner."""
        self.entries[key] = entry
        if entry.source is not None:
            self.remote[key] = entry.since_ms

    def _ended_before(self, cutoff_ms: int) -> list[str]:
        ended: list[str] = []
        for key, entry in self.entries.items():
            if entry.since_ms > cutoff_ms:
                break
            if entry.state is not KeyState.RUNNING:
                ended.append(key)
        return ended

    def _unseen(self, key: str, now_ms: int, wall_ms: int) -> KeyDecision:
        ownership_status = self.ownership.check_ownership(key, now_ms)
        if ownership_status is OwnershipStatus.ELSEWHERE:
            return Elsewhere(self.ownership.owner(key))
        if ownership_status is OwnershipStatus.UNCONFIRMED:
            return Unknown(REASON_UNCONFIRMED)
        if ownership_status is OwnershipStatus.SETTLING:
            return Unknown(REASON_SETTLING)
        unproven = self._unproven(key, wall_ms)
        if unproven is not None:
            return unproven
        if len(self.entries) >= self.limit:
            return Refused(REASON_FULL, FULL_RETRY_AFTER_MS)
        return New()

    def _unproven(self, key: str, wall_ms: int) -> KeyDecision | None:
        known_from_ms = self.ownership.key_history(key).known_from_wall_ms
        minted_ms = uuid7_ms(key)
        if minted_ms is None:
            if wall_ms < known_from_ms + self.retention_ms + DEFAULT_VM_SKEW_MS:
                return Unknown(REASON_BEFORE_TAKEOVER)
            return None
        return self._unproven_timed(minted_ms, known_from_ms, wall_ms)

    def _unproven_timed(
        self, minted_ms: int, known_from_ms: int, wall_ms: int
    ) -> KeyDecision | None:
        ahead_ms = minted_ms - wall_ms - DEFAULT_CALLER_SKEW_MS
        if ahead_ms > 2 * DEFAULT_VM_SKEW_MS:
            return Refused(REASON_AHEAD, ahead_ms)
        if ahead_ms > 0:
            return Unknown(REASON_AHEAD)
        if minted_ms < wall_ms - self.retention_ms + DEFAULT_CALLER_SKEW_MS:
            return Unknown(REASON_TOO_OLD)
        skew_ms = DEFAULT_CALLER_SKEW_MS + 2 * DEFAULT_VM_SKEW_MS
        if known_from_ms and minted_ms <= known_from_ms + skew_ms:
            return Unknown(REASON_BEFORE_TAKEOVER)
        return None

    def _end(self, key: str, state: KeyState, now_ms: int) -> KeyEntry:
        entry = self.entries[key]
        assert entry.state is KeyState.RUNNING, "the key has ended before"
        entry.state = state
        entry.since_ms = now_ms
        entry.source = None
        self.remote.pop(key, None)
        self.entries.move_to_end(key)
        return entry

    def remove(self, key: str) -> None:
        """Remove a key and its response."""
        if key in self.answered:
            self._drop_answer(key)
        self.remote.pop(key, None)
        del self.entries[key]

    def _drop_answer(self, key: str) -> None:
        entry = self.entries[key]
        assert entry.answer is not None, "the key has no stored response"
        self.stored_bytes -= entry.answer.size_bytes
        entry.answer = None
        entry.state = KeyState.LOST
        del self.answered[key]


def _known(entry: KeyEntry, fingerprint: str) -> KeyDecision:
    if entry.fingerprint != fingerprint:
        return Mismatch()
    if entry.state is KeyState.RUNNING:
        return WaitForFirst()
    if entry.answer is None:
        return Unknown(REASON_LOST)
    return Replay(entry.answer)
