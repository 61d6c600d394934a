"""Schedule pulls: which peer to pull from, and when."""

import random
from dataclasses import dataclass
from enum import StrEnum

from bilberry_core.ids import rendezvous_order

from .const import BOOTSTRAP_PEERS, PARTNER_RELAYS
from .membership import Membership
from .relay import assigned_relay


class PullKind(StrEnum):
    """Kinds of pull; at most one of each is in flight."""

    RELAY = "relay"
    PARTNER = "other"
    URGENT = "urgent"
    CATCH_UP = "chase"
    BOOTSTRAP = "bootstrap"


@dataclass(slots=True, frozen=True)
class PullTarget:
    """Represent a peer to pull from; `name` is empty if unknown."""

    kind: PullKind
    name: str
    address: str
    hold_ms: int


@dataclass(slots=True)
class PullState:
    """Store when a pull last began and when the next may begin."""

    in_flight: bool = False
    began_ms: int = 0
    next_ms: int = 0


class PullSchedule:
    """Choose the pulls that are due."""

    __slots__ = (
        "ahead_peer",
        "bootstrap_addresses",
        "membership",
        "rng",
        "states",
        "urgent",
    )

    def __init__(self, membership: Membership, seed: int) -> None:
        self.membership = membership
        self.rng = random.Random(seed)
        self.states = {kind: PullState() for kind in PullKind}
        self.bootstrap_addresses: list[str] = []
        self.ahead_peer = ""
        self.urgent = False

    def due(self, now_ms: int) -> list[PullTarget]:
        """Return the pulls that are due and mark them as waiting."""
        targets: list[PullTarget] = []
        for kind, state in self.states.items():
            if state.in_flight or now_ms < state.next_ms:
                continue
            target = self.target_for(kind)
            if target is not None:
                state.in_flight = True
                state.began_ms = now_ms
                targets.append(target)
        return targets

    def target_for(self, kind: PullKind) -> PullTarget | None:
        """Return the peer for a kind of pull."""
        if kind is PullKind.BOOTSTRAP:
            return self.bootstrap_target()
        name = self.peer_for(kind)
        member = self.membership.roster.get(name)
        if member is None or not member.peer_address:
            return None
        hold_ms = 0
        if kind in (PullKind.RELAY, PullKind.PARTNER):
            hold_ms = self.hold_ms()
        return PullTarget(kind, name, member.peer_address, hold_ms)

    def hold_ms(self) -> int:
        """Return how long the peer may hold a pull until it has updates."""
        settings = self.membership.settings
        if self.membership.is_relay():
            return settings.gossip_ms
        return settings.poll_hold_ms

    def peer_for(self, kind: PullKind) -> str:
        """Return the name of the peer for a kind of pull, empty for none."""
        if kind is PullKind.CATCH_UP:
            return self.ahead_peer
        own = self.membership.own.name
        relays = self.membership.relays()
        relay = assigned_relay(own, relays) or ""
        if kind is PullKind.RELAY:
            return relay
        if kind is PullKind.URGENT:
            return relay if self.urgent else ""
        return self.choose_partner() if own in relays else ""

    def choose_partner(self) -> str:
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
        partners = rendezvous_order(self.membership.own.name, relays)[:PARTNER_RELAYS]
        return self.rng.choice(partners) if partners else ""

    def schedule_bootstrap(self, addresses: list[str], is_alone: bool) -> None:
        """Schedule pulls from one random address, or several when alone."""
        count = 2 * BOOTSTRAP_PEERS if is_alone else 1
        self.bootstrap_addresses = self.rng.sample(
            addresses, min(count, len(addresses))
        )

    def bootstrap_target(self) -> PullTarget | None:
        """Return the next bootstrap address to pull from."""
        if not self.bootstrap_addresses:
            return None
        return PullTarget(PullKind.BOOTSTRAP, "", self.bootstrap_addresses[0], 0)

    def record_end(self, target: PullTarget, failed: bool, now_ms: int) -> None:
        """Record the end of a pull and when the next may begin."""
        state = self.states[target.kind]
        state.in_flight = False
        if target.kind is PullKind.BOOTSTRAP:
            self.bootstrap_addresses = [
                a for a in self.bootstrap_addresses if a != target.address
            ]
            return
        if target.kind is PullKind.CATCH_UP:
            self.ahead_peer = ""
        if target.kind is PullKind.URGENT and not failed:
            self.urgent = False
        spacing_ms = self.membership.settings.pull_spacing_ms
        if failed:
            spacing_ms = self.membership.settings.retry_ms
            if target.name:
                self.membership.avoid_as_relay(target.name, now_ms)
        state.next_ms = max(now_ms, state.began_ms + spacing_ms)
