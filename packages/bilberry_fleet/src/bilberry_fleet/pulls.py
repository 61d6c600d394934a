"""Schedule pulls: which peer to pull from, and when."""

import random
from dataclasses import dataclass
from enum import StrEnum

from bilberry_core.ids import rendezvous_order

from .const import BOOTSTRAP_PEERS, PARTNERS
from .membership import Membership
from .relay import assigned_relay


class Slot(StrEnum):
    """Kinds of pull; at most one of each is in flight."""

    RELAY = "relay"
    OTHER = "other"
    URGENT = "urgent"
    CHASE = "chase"
    BOOTSTRAP = "bootstrap"


@dataclass(slots=True, frozen=True)
class PullTarget:
    """Represent a peer to pull from; `name` is empty if unknown."""

    slot: Slot
    name: str
    address: str
    hold_ms: int


@dataclass(slots=True)
class SlotState:
    """Store when a pull last began and when the next may begin."""

    waiting: bool = False
    began_ms: int = 0
    next_ms: int = 0


class PullSchedule:
    """Choose the pulls that are due."""

    __slots__ = ("bootstrap", "chased", "membership", "rng", "slots", "urgent")

    def __init__(self, membership: Membership, seed: int) -> None:
        self.membership = membership
        self.rng = random.Random(seed)
        self.slots = {slot: SlotState() for slot in Slot}
        self.bootstrap: list[str] = []
        self.chased = ""
        self.urgent = False

    def due(self, now_ms: int) -> list[PullTarget]:
        """Return the pulls that are due and mark them as waiting."""
        found: list[PullTarget] = []
        for slot, state in self.slots.items():
            if state.waiting or now_ms < state.next_ms:
                continue
            target = self.target(slot)
            if target is not None:
                state.waiting = True
                state.began_ms = now_ms
                found.append(target)
        return found

    def target(self, slot: Slot) -> PullTarget | None:
        """Return the peer for a kind of pull."""
        if slot is Slot.BOOTSTRAP:
            return self.bootstrap_target()
        name = self.peer(slot)
        member = self.membership.roster.get(name)
        if member is None or not member.peer_address:
            return None
        hold_ms = 0
        if slot in (Slot.RELAY, Slot.OTHER):
            hold_ms = self.hold_ms()
        return PullTarget(slot, name, member.peer_address, hold_ms)

    def hold_ms(self) -> int:
        """Return how long the peer may hold a pull until it has updates."""
        settings = self.membership.settings
        if self.membership.is_relay():
            return settings.gossip_ms
        return settings.poll_hold_ms

    def peer(self, slot: Slot) -> str:
        """Return the name of the peer for a kind of pull, empty for none."""
        if slot is Slot.CHASE:
            return self.chased
        own = self.membership.own.name
        relays = self.membership.relays()
        relay = assigned_relay(own, relays) or ""
        if slot is Slot.RELAY:
            return relay
        if slot is Slot.URGENT:
            return relay if self.urgent else ""
        return self.other_relay() if own in relays else ""

    def other_relay(self) -> str:
        """Return one of this node's partner relays in other failure domains.

        The partners are few and stable, so that each pull transfers only
        what changed since the last one.
        """
        domain = self.membership.own.failure_domain
        relays = [
            name
            for name in self.membership.all_relays()
            if self.membership.roster[name].failure_domain != domain
        ]
        partners = rendezvous_order(self.membership.own.name, relays)[:PARTNERS]
        return self.rng.choice(partners) if partners else ""

    def call_on(self, addresses: list[str], alone: bool) -> None:
        """Schedule pulls from one random address, or several when alone."""
        count = 2 * BOOTSTRAP_PEERS if alone else 1
        self.bootstrap = self.rng.sample(addresses, min(count, len(addresses)))

    def bootstrap_target(self) -> PullTarget | None:
        """Return the next bootstrap address to pull from."""
        if not self.bootstrap:
            return None
        return PullTarget(Slot.BOOTSTRAP, "", self.bootstrap[0], 0)

    def finished(self, target: PullTarget, failed: bool, now_ms: int) -> None:
        """Record the end of a pull and when the next may begin."""
        state = self.slots[target.slot]
        state.waiting = False
        if target.slot is Slot.BOOTSTRAP:
            self.bootstrap = [a for a in self.bootstrap if a != target.address]
            return
        if target.slot is Slot.CHASE:
            self.chased = ""
        if target.slot is Slot.URGENT and not failed:
            self.urgent = False
        spacing_ms = self.membership.settings.pull_spacing_ms
        if failed:
            spacing_ms = self.membership.settings.retry_ms
            if target.name:
                self.membership.avoid_as_relay(target.name, now_ms)
        state.next_ms = max(now_ms, state.began_ms + spacing_ms)
