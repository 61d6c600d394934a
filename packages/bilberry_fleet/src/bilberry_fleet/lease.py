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
class ObservedLease:
    """Store the lease as last read and when it was first seen."""

    spec: LeaseSpec | None
    version: int
    first_seen_ms: int
    deleted: bool = False


class LeaseStateMachine:
    """Decide when to write the lease and whether it is held."""

    __slots__ = (
        "epoch",
        "held_until_ms",
        "holding",
        "name",
        "observed",
        "pending_write",
        "plan_epoch",
        "reported_held",
        "settings",
    )

    def __init__(self, name: str, settings: FleetSettings) -> None:
        self.name = name
        self.settings = settings
        self.observed: ObservedLease | None = None
        self.pending_write: LeaseWrite | None = None
        self.reported_held = False
        self.epoch = 0
        self.plan_epoch = 0
        self.held_until_ms = 0
        self.holding = False

    def is_held(self, now_ms: int) -> bool:
        """Return whether this node may act as the holder."""
        return self.holding and now_ms < self.held_until_ms

    def observe(self, spec: LeaseSpec | None, version: int, now_ms: int) -> None:
        """Record the lease as read from the store; no spec means absent.

        A pending write whose reply was lost is confirmed if the store has
        it.
        """
        was_deleted = spec is None and self.observed is not None
        if (
            self.observed is not None
            and version < self.observed.version
            and not was_deleted
        ):
            return
        if self.observed is None or version != self.observed.version:
            self.observed = ObservedLease(spec, version, now_ms, deleted=was_deleted)
        pending_write = self.pending_write
        if pending_write is None or version <= pending_write.if_version:
            return
        self.pending_write = None
        if spec == pending_write.spec:
            self.start_term(pending_write, now_ms)

    def next_write(self, now_ms: int, campaign: bool) -> LeaseWrite | None:
        """Return the write to send now, if any."""
        if self.observed is None:
            return None
        if self.is_held(now_ms):
            return self.next_renewal(now_ms)
        if not campaign or not self.is_claimable(now_ms):
            return None
        observed_epoch = self.observed.spec.epoch if self.observed.spec else 0
        epoch = max(observed_epoch, self.plan_epoch) + 1
        return self.prepare_write(self.name, epoch, 0, now_ms)

    def next_renewal(self, now_ms: int) -> LeaseWrite | None:
        """Return the renewal to send if one is due."""
        assert self.observed is not None
        spec = self.observed.spec
        if spec is None or spec.holder != self.name or spec.epoch != self.epoch:
            return None
        term_ms = self.settings.lease_ms - self.settings.lease_margin_ms
        renew_at_ms = self.held_until_ms - term_ms + self.settings.lease_renew_ms
        if now_ms < renew_at_ms:
            return None
        return self.prepare_write(self.name, self.epoch, spec.renewal + 1, now_ms)

    def release(self, now_ms: int) -> LeaseWrite | None:
        """Stop holding the lease; return the write that releases it."""
        held = self.is_held(now_ms)
        self.holding = False
        if not held or self.observed is None or self.observed.spec is None:
            return None
        return self.prepare_write(
            "", self.epoch, self.observed.spec.renewal + 1, now_ms
        )

    def record_write(self, write: LeaseWrite, version: int, now_ms: int) -> None:
        """Record that a write succeeded."""
        self.pending_write = None
        self.observe(write.spec, version, now_ms)
        self.start_term(write, now_ms)

    def start_term(self, write: LeaseWrite, now_ms: int) -> None:
        """Start a term at the time when the write was sent."""
        spec = write.spec
        if spec.holder != self.name or spec.epoch < self.epoch:
            return
        term_ms = self.settings.lease_ms - self.settings.lease_margin_ms
        self.held_until_ms = write.sent_ms + term_ms
        self.epoch = spec.epoch
        self.holding = now_ms < self.held_until_ms

    def pop_change(self, now_ms: int) -> LeaseChange | None:
        """Return how this node's hold changed since the last call."""
        held = self.is_held(now_ms)
        if held == self.reported_held:
            return None
        self.reported_held = held
        if held:
            return LeaseChange.ACQUIRED
        self.holding = False
        return LeaseChange.LOST

    def is_claimable(self, now_ms: int) -> bool:
        """Return whether the observed lease may be claimed."""
        assert self.observed is not None
        if self.observed.spec is not None and not self.observed.spec.holder:
            return True
        if self.observed.spec is None and not self.observed.deleted:
            return True
        term_ms = self.settings.lease_ms
        if self.observed.spec is not None:
            term_ms = self.observed.spec.lease_ms
        term_ms += self.settings.lease_margin_ms
        return now_ms - self.observed.first_seen_ms >= term_ms

    def prepare_write(
        self, holder: str, epoch: int, renewal: int, now_ms: int
    ) -> LeaseWrite:
        """Return a write conditional on the observed version.

        A repeated write keeps its first sending time, as the store may
        already have applied it.
        """
        assert self.observed is not None
        spec = LeaseSpec(
            holder=holder,
            epoch=epoch,
            lease_ms=self.settings.lease_ms,
            renewal=renewal,
        )
        sent_ms = now_ms
        if self.pending_write is not None and self.pending_write.spec == spec:
            sent_ms = self.pending_write.sent_ms
        self.pending_write = LeaseWrite(
            spec=spec, if_version=self.observed.version, sent_ms=sent_ms
        )
        return self.pending_write
