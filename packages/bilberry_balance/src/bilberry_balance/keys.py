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
    DEFAULT_CALLER_CLOCK_SKEW_MS,
    DEFAULT_KEY_RETENTION_MS,
    DEFAULT_MAX_KEYS,
    DEFAULT_MAX_RESPONSE_BYTES,
    DEFAULT_REMOTE_RUN_TIMEOUT_MS,
    DEFAULT_VM_CLOCK_SKEW_MS,
)
from .ownership import Ownership, OwnershipStatus


class KeyState(StrEnum):
    """List the states of the first request with a key.

    `LOST` means that it may have run, and that its response is not stored.
    """

    RUNNING = auto()
    STORED = auto()
    LOST = auto()


class StoredResponse(msgspec.Struct, frozen=True):
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

    `running_at` names the former owner if the request still runs there.
    """

    fingerprint: str
    state: KeyState
    state_since_ms: int
    response: StoredResponse | None = None
    running_at: str | None = None


@dataclass(slots=True, frozen=True)
class Execute:
    """Run the request; then call `store`, `mark_lost` or `release`."""


@dataclass(slots=True, frozen=True)
class WaitForFirst:
    """Wait until the first request with the key has ended."""


@dataclass(slots=True, frozen=True)
class Replay:
    """Return the stored response of the first request."""

    response: StoredResponse


@dataclass(slots=True, frozen=True)
class FingerprintMismatch:
    """Answer 422 `not-run`: the key was used with another request."""


@dataclass(slots=True, frozen=True)
class UnknownOutcome:
    """Answer 409 `unknown`: the first request may have run."""

    reason: str


@dataclass(slots=True, frozen=True)
class ForwardToOwner:
    """Send the request to the node that owns the key."""

    owner: str | None


@dataclass(slots=True, frozen=True)
class Refused:
    """Answer 503 `not-run`: the key was never run and can't be now."""

    reason: str
    retry_after_ms: int


KeyDecision = (
    Execute
    | WaitForFirst
    | Replay
    | FingerprintMismatch
    | UnknownOutcome
    | ForwardToOwner
    | Refused
)

REASON_LOST = "the first request's end is not known"
REASON_SETTLING = "the key's owner is changing"
REASON_UNCONFIRMED = "the key's owner is not confirmed"
REASON_BEFORE_TAKEOVER = "the key may have run at its former owner"
REASON_TOO_OLD = "the key is older than its retention"
REASON_KEY_AHEAD_OF_CLOCK = "the key's time is ahead of the clock"
REASON_TABLE_FULL = "the table of keys is full"
TABLE_FULL_RETRY_AFTER_MS = 5_000


class KeyTable:
    """Store the keys that this node owns or owned before.

    Memory is bounded by `max_keys` and, for responses, `max_response_bytes`.
    When a response is evicted its key stays, and resends of it get 409; a
    full table refuses new keys. No key is dropped within its retention, so
    eviction never leads to a second execution.
    """

    __slots__ = (
        "entries",
        "keys_with_response",
        "max_keys",
        "max_response_bytes",
        "ownership",
        "remote_since_ms",
        "response_bytes",
        "retention_ms",
    )

    def __init__(
        self,
        ownership: Ownership,
        max_keys: int = DEFAULT_MAX_KEYS,
        max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
        retention_ms: int = DEFAULT_KEY_RETENTION_MS,
    ) -> None:
        self.ownership = ownership
        self.max_keys = max_keys
        self.max_response_bytes = max_response_bytes
        self.retention_ms = retention_ms
        self.entries: OrderedDict[str, KeyEntry] = OrderedDict()
        self.remote_since_ms: dict[str, int] = {}
        self.keys_with_response: OrderedDict[str, None] = OrderedDict()
        self.response_bytes = 0

    def begin(
        self, key: str, fingerprint: str, now_ms: int, wall_ms: int
    ) -> KeyDecision:
        """Return the decision on a request; mark a new key as running."""
        self.expire(now_ms)
        entry = self.entries.get(key)
        if entry is not None:
            return _decide_known_key(entry, fingerprint)
        decision = self._decide_unseen_key(key, now_ms, wall_ms)
        if isinstance(decision, Execute):
            self.entries[key] = KeyEntry(fingerprint, KeyState.RUNNING, now_ms)
        return decision

    def store(self, key: str, response: StoredResponse, now_ms: int) -> None:
        """Store the complete response of a running key."""
        self._finish(key, KeyState.STORED, now_ms)
        self.attach_response(key, response)

    def attach_response(self, key: str, response: StoredResponse) -> None:
        """Attach a response to a key and evict the oldest beyond the bound."""
        self.entries[key].response = response
        self.keys_with_response[key] = None
        self.response_bytes += response.size_bytes
        while self.response_bytes > self.max_response_bytes:
            self._evict_response(next(iter(self.keys_with_response)))

    def mark_lost(self, key: str, now_ms: int) -> None:
        """Record that a running key may have run and has no response."""
        self._finish(key, KeyState.LOST, now_ms)

    def release(self, key: str) -> None:
        """Remove a running key whose request provably did not run."""
        entry = self.entries.pop(key)
        assert entry.state is KeyState.RUNNING, "the key is not running"

    def expire(self, now_ms: int) -> None:
        """Drop ended keys after their retention.

        A key that runs at a former owner becomes lost if that owner doesn't
        report its end in time.
        """
        report_cutoff_ms = now_ms - DEFAULT_REMOTE_RUN_TIMEOUT_MS
        for key in [
            k for k, since in self.remote_since_ms.items() if since <= report_cutoff_ms
        ]:
            self._finish(key, KeyState.LOST, now_ms)
        for key in self._ended_before(now_ms - self.retention_ms):
            self.remove(key)

    def insert_from_former_owner(self, key: str, entry: KeyEntry) -> None:
        """Insert a key received from its former owner."""
        self.entries[key] = entry
        if entry.running_at is not None:
            self.remote_since_ms[key] = entry.state_since_ms

    def _ended_before(self, cutoff_ms: int) -> list[str]:
        ended: list[str] = []
        for key, entry in self.entries.items():
            if entry.state_since_ms > cutoff_ms:
                break
            if entry.state is not KeyState.RUNNING:
                ended.append(key)
        return ended

    def _decide_unseen_key(self, key: str, now_ms: int, wall_ms: int) -> KeyDecision:
        ownership_status = self.ownership.check_ownership(key, now_ms)
        if ownership_status is OwnershipStatus.ELSEWHERE:
            return ForwardToOwner(self.ownership.owner(key))
        if ownership_status is OwnershipStatus.UNCONFIRMED:
            return UnknownOutcome(REASON_UNCONFIRMED)
        if ownership_status is OwnershipStatus.SETTLING:
            return UnknownOutcome(REASON_SETTLING)
        rejection = self._check_key_history(key, wall_ms)
        if rejection is not None:
            return rejection
        if len(self.entries) >= self.max_keys:
            return Refused(REASON_TABLE_FULL, TABLE_FULL_RETRY_AFTER_MS)
        return Execute()

    def _check_key_history(self, key: str, wall_ms: int) -> KeyDecision | None:
        known_from_ms = self.ownership.key_history(key).known_from_wall_ms
        created_ms = uuid7_ms(key)
        if created_ms is None:
            if wall_ms < known_from_ms + self.retention_ms + DEFAULT_VM_CLOCK_SKEW_MS:
                return UnknownOutcome(REASON_BEFORE_TAKEOVER)
            return None
        return self._check_timed_key(created_ms, known_from_ms, wall_ms)

    def _check_timed_key(
        self, created_ms: int, known_from_ms: int, wall_ms: int
    ) -> KeyDecision | None:
        ahead_ms = created_ms - wall_ms - DEFAULT_CALLER_CLOCK_SKEW_MS
        if ahead_ms > 2 * DEFAULT_VM_CLOCK_SKEW_MS:
            return Refused(REASON_KEY_AHEAD_OF_CLOCK, ahead_ms)
        if ahead_ms > 0:
            return UnknownOutcome(REASON_KEY_AHEAD_OF_CLOCK)
        if created_ms < wall_ms - self.retention_ms + DEFAULT_CALLER_CLOCK_SKEW_MS:
            return UnknownOutcome(REASON_TOO_OLD)
        skew_ms = DEFAULT_CALLER_CLOCK_SKEW_MS + 2 * DEFAULT_VM_CLOCK_SKEW_MS
        if known_from_ms and created_ms <= known_from_ms + skew_ms:
            return UnknownOutcome(REASON_BEFORE_TAKEOVER)
        return None

    def _finish(self, key: str, state: KeyState, now_ms: int) -> KeyEntry:
        entry = self.entries[key]
        assert entry.state is KeyState.RUNNING, "the key has ended before"
        entry.state = state
        entry.state_since_ms = now_ms
        entry.running_at = None
        self.remote_since_ms.pop(key, None)
        self.entries.move_to_end(key)
        return entry

    def remove(self, key: str) -> None:
        """Remove a key and its response."""
        if key in self.keys_with_response:
            self._evict_response(key)
        self.remote_since_ms.pop(key, None)
        del self.entries[key]

    def _evict_response(self, key: str) -> None:
        entry = self.entries[key]
        assert entry.response is not None, "the key has no stored response"
        self.response_bytes -= entry.response.size_bytes
        entry.response = None
        entry.state = KeyState.LOST
        del self.keys_with_response[key]


def _decide_known_key(entry: KeyEntry, fingerprint: str) -> KeyDecision:
    if entry.fingerprint != fingerprint:
        return FingerprintMismatch()
    if entry.state is KeyState.RUNNING:
        return WaitForFirst()
    if entry.response is None:
        return UnknownOutcome(REASON_LOST)
    return Replay(entry.response)
