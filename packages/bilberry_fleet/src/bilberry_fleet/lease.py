"""Acquire, renew and release the planner's lease.

Each node uses its own monotonic clock; wall clocks are not used. A holder's
term starts when it sent the write that acquired or renewed the lease, and is
shortened by a margin. An observer waits a full term plus the margin from the
moment it first saw the current version of the lease.
"""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from .settings import FleetSettings


class LeaseSpec(msgspec.Struct, kw_only=True, frozen=True):
    """Represent the stored lease; an empty holder means released."""

    holder: str
    epoch: int
    lease_ms: int
    renewal: int = 0


class LeaseWrite(msgspec.Struct, kw_only=True, frozen=True):
    """Describe a conditional write of the lease."""

    spec: LeaseSpec
    if_version: int
    sent_ms: int


class LeaseChange(StrEnum):
    """Describe a change of this node's hold on the lease."""

    ACQUIRED = "acquired"
    LOST = "lost"


@dataclass(slots=True)
class Seen:
    """Store the lease as last read and when it was first seen."""

    spec: LeaseSpec | None
    version: int
    since_ms: int
    deleted: bool = False


class LeaseMachine:
    """Decide when to write the lease and whether it is held."""

    __slots__ = (
        "epoch",
        "holding",
        "name",
        "pending",
        "plan_epoch",
        "reported",
        "seen",
        "settings",
        "until_ms",
    )

    def __init__(self, name: str, settings: FleetSettings) -> None:
        self.name = name
        self.settings = settings
        self.seen: Seen | None = None
        self.pending: LeaseWrite | None = None
        self.reported = False
        self.epoch = 0
        self.plan_epoch = 0
        self.until_ms = 0
        self.holding = False

    def is_held(self, now_ms: int) -> bool:
        """Return whether this node may act as the holder."""
        return self.holding and now_ms < self.until_ms

    def observe(self, spec: LeaseSpec | None, version: int, now_ms: int) -> None:
        """Record the lease as read from the store; no spec means absent.

        A pending write whose reply was lost is confirmed if the store has
        it.
        """
        gone = spec is None and self.seen is not None
        if self.seen is not None and version < self.seen.version and not gone:
            return
        if self.seen is None or version != self.seen.version:
            self.seen = Seen(spec, version, now_ms, deleted=gone)
        pending = self.pending
        if pending is None or version <= pending.if_version:
            return
        self.pending = None
        if spec == pending.spec:
            self.hold(pending, now_ms)

    def next_write(self, now_ms: int, campaign: bool) -> LeaseWrite | None:
        """Return the write to send now, if any."""
        if self.seen is None:
            return None
        if self.is_held(now_ms):
            return self.renewal(now_ms)
        if not campaign or not self.is_free(now_ms):
            return None
        seen_epoch = self.seen.spec.epoch if self.seen.spec else 0
        epoch = max(seen_epoch, self.plan_epoch) + 1
        return self.write(self.name, epoch, 0, now_ms)

    def renewal(self, now_ms: int) -> LeaseWrite | None:
        """Return the renewal to send if one is due."""
        assert self.seen is not None
        spec = self.seen.spec
        if spec is None or spec.holder != self.name or spec.epoch != self.epoch:
            return None
        term_ms = self.settings.lease_ms - self.settings.lease_margin_ms
        renew_at_ms = self.until_ms - term_ms + self.settings.lease_renew_ms
        if now_ms < renew_at_ms:
            return None
        return self.write(self.name, self.epoch, spec.renewal + 1, now_ms)

    def release(self, now_ms: int) -> LeaseWrite | None:
        """Stop holding the lease; return the write that releases it."""
        held = self.is_held(now_ms)
        self.holding = False
        if not held or self.seen is None or self.seen.spec is None:
            return None
        return self.write("", self.epoch, self.seen.spec.renewal + 1, now_ms)

    def written(self, write: LeaseWrite, version: int, now_ms: int) -> None:
        """Record that a write succeeded."""
        self.pending = None
        self.observe(write.spec, version, now_ms)
        self.hold(write, now_ms)

    def hold(self, write: LeaseWrite, now_ms: int) -> None:
        """Start a term at the time when the write was sent."""
        spec = write.spec
        if spec.holder != self.name or spec.epoch < self.epoch:
            return
        term_ms = self.settings.lease_ms - self.settings.lease_margin_ms
        self.until_ms = write.sent_ms + term_ms
        self.epoch = spec.epoch
        self.holding = now_ms < self.until_ms

    def change(self, now_ms: int) -> LeaseChange | None:
        """Return how this node's hold changed since the last call."""
        held = self.is_held(now_ms)
        if held == self.reported:
            return None
        self.reported = held
        if held:
            return LeaseChange.ACQUIRED
        self.holding = False
        return LeaseChange.LOST

    def is_free(self, now_ms: int) -> bool:
        """Return whether the observed lease may be claimed."""
        assert self.seen is not None
        if self.seen.spec is not None and not self.seen.spec.holder:
            return True
        if self.seen.spec is None and not self.seen.deleted:
            return True
        term_ms = self.settings.lease_ms
        if self.seen.spec is not None:
            term_ms = self.seen.spec.lease_ms
        term_ms += self.settings.lease_margin_ms
        return now_ms - self.seen.since_ms >= term_ms

    def write(self, holder: str, epoch: int, renewal: int, now_ms: int) -> LeaseWrite:
        """Return a write conditional on the observed version.

        A repeated write keeps its first sending time, as the store may
        already have applied it.
        """
        assert self.seen is not None
        spec = LeaseSpec(
            holder=holder,
            epoch=epoch,
            lease_ms=self.settings.lease_ms,
            renewal=renewal,
        )
        sent_ms = now_ms
        if self.pending is not None and self.pending.spec == spec:
            sent_ms = self.pending.sent_ms
        self.pending = LeaseWrite(
            spec=spec, if_version=self.seen.version, sent_ms=sent_ms
        )
        return self.pending
