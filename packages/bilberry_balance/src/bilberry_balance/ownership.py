"""Decide which node owns an idempotency key, and whether it may act on it.

An epoch lists the current members and those of the epoch before. It is
written to the platform's store by a conditional update, and its number
rises by one with each change. A member is one run of a process: a
restarted node joins under a new name, since its table is empty.

A node acts as owner only if its epoch was confirmed as the newest one less
than `confirm_ms` ago: by a read of the store or, up to an hour after the
last such read, by all other members, none of which has seen a newer one. A
node that gains keys waits for `confirm_ms` and a margin, after which the
former owner has stopped acting on them; a hand-over of the former owner's
complete table ends the wait. The very first epoch has no former owners.
Times are monotonic ms, those named wall are ms since the Unix epoch.
"""

from dataclasses import dataclass, field
from enum import StrEnum, auto

from bilberry_core.ids import stable_hash

from .const import (
    DEFAULT_CONFIRM_MS,
    DEFAULT_KEY_RETENTION_MS,
    DEFAULT_PEER_CONFIRM_LIMIT_MS,
    DEFAULT_SETTLE_MARGIN_MS,
)

FIRST_EPOCH = 1


class Standing(StrEnum):
    """List the relations of this node to a key.

    `SETTLING` means that a former owner may still act on the key.
    """

    OWNER = auto()
    ELSEWHERE = auto()
    SETTLING = auto()
    UNCONFIRMED = auto()


@dataclass(slots=True, frozen=True)
class Settled:
    """Store the time from which a node may act on the keys it gained."""

    at_ms: int
    at_wall_ms: int

    def after(self, delay_ms: int) -> "Settled":
        """Return the time delayed by `delay_ms`."""
        return Settled(self.at_ms + delay_ms, self.at_wall_ms + delay_ms)


@dataclass(slots=True)
class Epoch:
    """Store an epoch as this node has seen it.

    A node that was not a member before gets a late `settled` until it has
    heard from one that was, which sets `is_heard`. `known_from_wall_ms` has
    an entry for each former owner that handed its complete table over.
    """

    number: int
    members: tuple[str, ...]
    former: tuple[str, ...]
    seen_ms: int
    settled: Settled
    is_heard: bool
    ended: set[str] = field(default_factory=set)
    known_from_wall_ms: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Knowledge:
    """Store since when this node knows every execution of a key."""

    settled: Settled
    from_wall_ms: int


NOTHING_BEFORE = Settled(0, 0)


class Ownership:
    """Track the epochs that a node has seen and their confirmations."""

    __slots__ = (
        "acks",
        "confirm_ms",
        "confirmed_ms",
        "epochs",
        "node",
        "store_confirmed_ms",
    )

    def __init__(self, node: str, confirm_ms: int = DEFAULT_CONFIRM_MS) -> None:
        self.node = node
        self.confirm_ms = confirm_ms
        self.confirmed_ms: int | None = None
        self.store_confirmed_ms: int | None = None
        self.acks: dict[str, int] = {}
        self.epochs: list[Epoch] = []

    @property
    def newest(self) -> Epoch | None:
        """Return the newest epoch seen, if any."""
        return self.epochs[-1] if self.epochs else None

    def on_epoch(
        self,
        number: int,
        members: tuple[str, ...],
        former: tuple[str, ...],
        now_ms: int,
        wall_ms: int,
    ) -> bool:
        """Add a newer epoch; return False if it isn't newer."""
        if self.epochs and number <= self.epochs[-1].number:
            return False
        is_heard = self.node in former or not former
        settled = self._settled_from(now_ms, wall_ms)
        if number == FIRST_EPOCH:
            settled = NOTHING_BEFORE
            is_heard = True
        elif not is_heard:
            settled = settled.after(DEFAULT_PEER_CONFIRM_LIMIT_MS)
        epoch = Epoch(number, members, former, now_ms, settled, is_heard)
        self.epochs.append(epoch)
        self.confirmed_ms = None
        self.acks = {}
        self._forget_old(now_ms)
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
        is_former = peer in newest.former and number >= newest.number
        if not newest.is_heard and is_former:
            newest.settled = self._settled_from(now_ms, wall_ms)
            newest.is_heard = True
        if number != newest.number or peer not in newest.members:
            return
        self.acks[peer] = max(self.acks.get(peer, 0), asked_ms)
        others = [name for name in newest.members if name != self.node]
        if all(name in self.acks for name in others):
            self._confirm_by_peers(min(self.acks[name] for name in others))

    def on_ended(self, member: str, now_ms: int, wall_ms: int) -> None:
        """Record that the process of a former member has ended for certain.

        Once all of them have, no node can act on an older epoch.
        """
        newest = self.newest
        if newest is None or newest.is_heard:
            return
        newest.ended.add(member)
        if newest.ended.issuperset(newest.former):
            newest.settled = Settled(now_ms, wall_ms)
            newest.is_heard = True

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

    def standing(self, key: str, now_ms: int) -> Standing:
        """Return this node's relation to `key` at `now_ms`."""
        if self.owner(key) != self.node:
            return Standing.ELSEWHERE
        if not self._is_confirmed(now_ms):
            return Standing.UNCONFIRMED
        if now_ms < self.knowledge(key).settled.at_ms:
            return Standing.SETTLING
        return Standing.OWNER

    def knowledge(self, key: str) -> Knowledge:
        """Return since when this node knows every execution of `key`."""
        for index in range(len(self.epochs) - 1, -1, -1):
            epoch = self.epochs[index]
            before = _owner(key, epoch.former)
            if before == self.node and self._follows(index):
                continue
            handed_wall_ms = epoch.known_from_wall_ms.get(before or "")
            if handed_wall_ms is not None:
                return Knowledge(NOTHING_BEFORE, handed_wall_ms)
            return Knowledge(epoch.settled, epoch.settled.at_wall_ms)
        return Knowledge(NOTHING_BEFORE, 0)

    def handed_from_wall_ms(self, now_ms: int) -> int | None:
        """Return since when every execution of the keys just lost is known.

        Return None if this isn't known: after a missed epoch, or if this
        node hadn't settled yet.
        """
        latest_ms = 0
        for index, epoch in enumerate(self.epochs[:-1]):
            if not self._gained(index):
                continue
            known_ms = self._known_from_wall_ms(epoch, now_ms)
            if known_ms is None:
                return None
            latest_ms = max(latest_ms, known_ms)
        return latest_ms if self._follows(len(self.epochs) - 1) else None

    def _gained(self, index: int) -> bool:
        """Return whether this node may have gained keys with an epoch."""
        epoch = self.epochs[index]
        if not self._follows(index) or self.node not in epoch.former:
            return True
        return any(name not in epoch.members for name in epoch.former)

    def _known_from_wall_ms(self, epoch: Epoch, now_ms: int) -> int | None:
        """Return since when every execution of the gained keys is known."""
        others = [name for name in epoch.former if name != self.node]
        handed = [epoch.known_from_wall_ms.get(name) for name in others]
        known = [wall_ms for wall_ms in handed if wall_ms is not None]
        if others and len(known) == len(others):
            return max(known)
        return epoch.settled.at_wall_ms if epoch.settled.at_ms <= now_ms else None

    def _settled_from(self, now_ms: int, wall_ms: int) -> Settled:
        wait_ms = self.confirm_ms + DEFAULT_SETTLE_MARGIN_MS
        return Settled(now_ms + wait_ms, wall_ms + wait_ms)

    def _confirm_by_peers(self, asked_ms: int) -> None:
        if self.store_confirmed_ms is None:
            return
        limit_ms = self.store_confirmed_ms + DEFAULT_PEER_CONFIRM_LIMIT_MS
        if asked_ms <= limit_ms:
            self.confirmed_ms = max(self.confirmed_ms or 0, asked_ms)

    def _follows(self, index: int) -> bool:
        if index <= 0:
            return False
        return self.epochs[index].number == self.epochs[index - 1].number + 1

    def _is_confirmed(self, now_ms: int) -> bool:
        if self.confirmed_ms is None:
            return False
        return now_ms < self.confirmed_ms + self.confirm_ms

    def _forget_old(self, now_ms: int) -> None:
        horizon_ms = now_ms - 2 * DEFAULT_KEY_RETENTION_MS
        while len(self.epochs) > 1 and self.epochs[1].seen_ms < horizon_ms:
            del self.epochs[0]


def _owner(key: str, members: tuple[str, ...]) -> str | None:
    return min(members, key=lambda name: (stable_hash(key, name), name), default=None)
