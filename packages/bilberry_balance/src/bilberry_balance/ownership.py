"""Decide which node owns an idempotency key, and whether it may act on it.

An epoch lists the current members and those of the epoch before. It is
written to the platform's store by a conditional update, and its number
rises by one with each change. A member is one run of a process: a
restarted node joins under a new name, since its table is empty.

A node acts as owner only if its epoch was confirmed as the newest one less
than `confirmation_ttl_ms` ago: by a read of the store or, up to an hour
after the last such read, by all other members, none of which has seen a
newer one. A node that gains keys waits for `confirmation_ttl_ms` and a
margin, after which the former owner has stopped acting on them; a hand-over
of the former owner's complete table ends the wait. The very first epoch has
no former owners. Times are monotonic ms, those named wall are ms since the
Unix epoch.
"""

from dataclasses import dataclass, field
from enum import StrEnum, auto

from bilberry_core.ids import stable_hash

from .const import (
    DEFAULT_CONFIRMATION_TTL_MS,
    DEFAULT_KEY_RETENTION_MS,
    DEFAULT_PEER_CONFIRMATION_LIMIT_MS,
    DEFAULT_SETTLE_MARGIN_MS,
)

FIRST_EPOCH = 1


class OwnershipStatus(StrEnum):
    """List the relations of this node to a key.

    `SETTLING` means that a former owner may still act on the key.
    """

    OWNER = auto()
    ELSEWHERE = auto()
    SETTLING = auto()
    UNCONFIRMED = auto()


@dataclass(slots=True, frozen=True)
class SettleTime:
    """Store the time from which a node may act on the keys it gained."""

    at_ms: int
    at_wall_ms: int

    def delayed_by(self, delay_ms: int) -> "SettleTime":
        """Return the time delayed by `delay_ms`."""
        return SettleTime(self.at_ms + delay_ms, self.at_wall_ms + delay_ms)


@dataclass(slots=True)
class Epoch:
    """Store an epoch as this node has seen it.

    A node that was not a member before gets a late `settle_time` until it
    has heard from one that was, or knows that all of those have ended; then
    `heard_from_former_member` is set. `known_from_wall_ms` has an entry for
    each former owner that handed its complete table over.
    """

    number: int
    members: tuple[str, ...]
    former_members: tuple[str, ...]
    seen_ms: int
    settle_time: SettleTime
    heard_from_former_member: bool
    ended_members: set[str] = field(default_factory=set)
    known_from_wall_ms: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class KeyHistory:
    """Store since when this node knows every execution of a key."""

    settle_time: SettleTime
    known_from_wall_ms: int


ALWAYS_SETTLED = SettleTime(0, 0)


class Ownership:
    """Track the epochs that a node has seen and their confirmations."""

    __slots__ = (
        "confirmation_ttl_ms",
        "confirmed_ms",
        "epochs",
        "node",
        "peer_confirmed_ms",
        "store_confirmed_ms",
    )

    def __init__(
        self, node: str, confirmation_ttl_ms: int = DEFAULT_CONFIRMATION_TTL_MS
    ) -> None:
        self.node = node
        self.confirmation_ttl_ms = confirmation_ttl_ms
        self.confirmed_ms: int | None = None
        self.store_confirmed_ms: int | None = None
        self.peer_confirmed_ms: dict[str, int] = {}
        self.epochs: list[Epoch] = []

    @property
    def newest(self) -> Epoch | None:
        """Return the newest epoch seen, if any."""
        return self.epochs[-1] if self.epochs else None

    def on_epoch(
        self,
        number: int,
        members: tuple[str, ...],
        former_members: tuple[str, ...],
        now_ms: int,
        wall_ms: int,
    ) -> bool:
        """Add a newer epoch; return False if it isn't newer."""
        if self.epochs and number <= self.epochs[-1].number:
            return False
        heard_from_former_member = self.node in former_members or not former_members
        settle_time = self._settle_time_after(now_ms, wall_ms)
        if number == FIRST_EPOCH:
            settle_time = ALWAYS_SETTLED
            heard_from_former_member = True
        elif not heard_from_former_member:
            settle_time = settle_time.delayed_by(DEFAULT_PEER_CONFIRMATION_LIMIT_MS)
        epoch = Epoch(
            number,
            members,
            former_members,
            now_ms,
            settle_time,
            heard_from_former_member,
        )
        self.epochs.append(epoch)
        self.confirmed_ms = None
        self.peer_confirmed_ms = {}
        self._drop_old_epochs(now_ms)
        return True

    def on_confirmed(self, number: int, asked_ms: int) -> None:
        """Record that the store's newest epoch was `number` at `asked_ms`.

        `asked_ms` is the time at which the read was sent, or earlier.
        """
        if not self.epochs or number != self.epochs[-1].number:
            return
        self.confirmed_ms = max(self.confirmed_ms or 0, asked_ms)
        self.store_confirmed_ms = max(self.store_confirmed_ms or 0, asked_ms)

    def on_peer_epoch(
        self, peer: str, number: int, asked_ms: int, now_ms: int, wall_ms: int
    ) -> None:
        """Record which epoch was a peer's newest when asked at `asked_ms`."""
        newest = self.newest
        if newest is None or peer == self.node:
            return
        is_former = peer in newest.former_members and number >= newest.number
        if not newest.heard_from_former_member and is_former:
            newest.settle_time = self._settle_time_after(now_ms, wall_ms)
            newest.heard_from_former_member = True
        if number != newest.number or peer not in newest.members:
            return
        self.peer_confirmed_ms[peer] = max(
            self.peer_confirmed_ms.get(peer, 0), asked_ms
        )
        others = [name for name in newest.members if name != self.node]
        if all(name in self.peer_confirmed_ms for name in others):
            self._confirm_by_peers(min(self.peer_confirmed_ms[name] for name in others))

    def on_member_ended(self, member: str, now_ms: int, wall_ms: int) -> None:
        """Record that the process of a former member has ended for certain.

        Once all of them have, no node can act on an older epoch.
        """
        newest = self.newest
        if newest is None or newest.heard_from_former_member:
            return
        newest.ended_members.add(member)
        if newest.ended_members.issuperset(newest.former_members):
            newest.settle_time = SettleTime(now_ms, wall_ms)
            newest.heard_from_former_member = True

    def on_handover(self, source: str, number: int, known_from_wall_ms: int) -> bool:
        """Record a former owner's complete table.

        Return False if it belongs to another epoch than the newest.
        """
        newest = self.newest
        if newest is None or newest.number != number:
            return False
        newest.known_from_wall_ms[source] = known_from_wall_ms
        return True

    def owner(self, key: str) -> str | None:
        """Return the owner of `key` in the newest epoch, if any."""
        return _owner(key, self.epochs[-1].members) if self.epochs else None

    def check_ownership(self, key: str, now_ms: int) -> OwnershipStatus:
        """Return this node's relation to `key` at `now_ms`."""
        if self.owner(key) != self.node:
            return OwnershipStatus.ELSEWHERE
        if not self._is_confirmed(now_ms):
            return OwnershipStatus.UNCONFIRMED
        if now_ms < self.key_history(key).settle_time.at_ms:
            return OwnershipStatus.SETTLING
        return OwnershipStatus.OWNER

    def key_history(self, key: str) -> KeyHistory:
        """Return since when this node knows every execution of `key`."""
        for index in range(len(self.epochs) - 1, -1, -1):
            epoch = self.epochs[index]
            former_owner = _owner(key, epoch.former_members)
            if former_owner == self.node and self._follows_previous(index):
                continue
            handover_wall_ms = epoch.known_from_wall_ms.get(former_owner or "")
            if handover_wall_ms is not None:
                return KeyHistory(ALWAYS_SETTLED, handover_wall_ms)
            return KeyHistory(epoch.settle_time, epoch.settle_time.at_wall_ms)
        return KeyHistory(ALWAYS_SETTLED, 0)

    def lost_keys_known_from_wall_ms(self, now_ms: int) -> int | None:
        """Return since when every execution of the keys just lost is known.

        Return None if this isn't known: after a missed epoch, or if this
        node hadn't settled yet.
        """
        latest_ms = 0
        for index, epoch in enumerate(self.epochs[:-1]):
            if not self._may_have_gained_keys(index):
                continue
            known_ms = self._gained_keys_known_from_wall_ms(epoch, now_ms)
            if known_ms is None:
                return None
            latest_ms = max(latest_ms, known_ms)
        return latest_ms if self._follows_previous(len(self.epochs) - 1) else None

    def _may_have_gained_keys(self, index: int) -> bool:
        """Return whether this node may have gained keys with an epoch."""
        epoch = self.epochs[index]
        if not self._follows_previous(index) or self.node not in epoch.former_members:
            return True
        return any(name not in epoch.members for name in epoch.former_members)

    def _gained_keys_known_from_wall_ms(self, epoch: Epoch, now_ms: int) -> int | None:
        """Return since when every execution of the gained keys is known."""
        others = [name for name in epoch.former_members if name != self.node]
        handed_over = [epoch.known_from_wall_ms.get(name) for name in others]
        known = [wall_ms for wall_ms in handed_over if wall_ms is not None]
        if others and len(known) == len(others):
            return max(known)
        return (
            epoch.settle_time.at_wall_ms if epoch.settle_time.at_ms <= now_ms else None
        )

    def _settle_time_after(self, now_ms: int, wall_ms: int) -> SettleTime:
        wait_ms = self.confirmation_ttl_ms + DEFAULT_SETTLE_MARGIN_MS
        return SettleTime(now_ms + wait_ms, wall_ms + wait_ms)

    def _confirm_by_peers(self, asked_ms: int) -> None:
        if self.store_confirmed_ms is None:
            return
        limit_ms = self.store_confirmed_ms + DEFAULT_PEER_CONFIRMATION_LIMIT_MS
        if asked_ms <= limit_ms:
            self.confirmed_ms = max(self.confirmed_ms or 0, asked_ms)

    def _follows_previous(self, index: int) -> bool:
        if index <= 0:
            return False
        return self.epochs[index].number == self.epochs[index - 1].number + 1

    def _is_confirmed(self, now_ms: int) -> bool:
        if self.confirmed_ms is None:
            return False
        return now_ms < self.confirmed_ms + self.confirmation_ttl_ms

    def _drop_old_epochs(self, now_ms: int) -> None:
        cutoff_ms = now_ms - 2 * DEFAULT_KEY_RETENTION_MS
        while len(self.epochs) > 1 and self.epochs[1].seen_ms < cutoff_ms:
            del self.epochs[0]


def _owner(key: str, members: tuple[str, ...]) -> str | None:
    return min(members, key=lambda name: (stable_hash(key, name), name), default=None)
