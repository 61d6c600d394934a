"""Detect failed members by their heartbeats; suspect before removal.

Each member's fact is stamped with its incarnation and change count. The relay
to which a member is assigned monitors it. Any node that gets a direct
heartbeat from a suspect or dead member returns that claim to it. The member
refutes the claim with a higher stamp, raising its incarnation if needed.
"""

from collections.abc import Iterable
from functools import lru_cache

import msgspec

from bilberry_resources.codec import encode
from bilberry_store.wire import VmItem, VmState

from .const import FACT_BEAT, FACT_MEMBER, FACT_STATUS
from .facts import FactTable
from .messages import Fact, Member, MemberState
from .relay import assigned_relay, choose_relays
from .settings import FleetSettings

STATE_ORDER = (
    MemberState.JOINING,
    MemberState.LIVE,
    MemberState.LEAVING,
    MemberState.SUSPECT,
    MemberState.DEAD,
)
STATE_RANKS = 8
MAX_DECODED_MEMBERS = 4_096

USABLE = (MemberState.LIVE, MemberState.JOINING)
JUDGED = (MemberState.LIVE, MemberState.JOINING, MemberState.LEAVING)


def stamp_of(member: Member, change: int) -> tuple[int, int]:
    """Return a stamp that no other state of the member shares.

    Of two concurrent changes, the more severe state wins on every node, so
    that the member receives it and can refute it.
    """
    rank = STATE_ORDER.index(member.state)
    return (member.incarnation, change * STATE_RANKS + rank)


@lru_cache(maxsize=MAX_DECODED_MEMBERS)
def decode_member(body: bytes) -> Member:
    """Return the member that a fact's body describes."""
    return msgspec.json.decode(body, type=Member)


class Membership:
    """Maintain the roster as one node sees it."""

    __slots__ = (
        "avoided",
        "changed",
        "changes",
        "dead",
        "domains",
        "facts",
        "heard",
        "listed",
        "own",
        "relay_cache",
        "roster",
        "settings",
        "watched",
    )

    def __init__(self, own: Member, facts: FactTable, settings: FleetSettings) -> None:
        self.own = own
        self.facts = facts
        self.settings = settings
        self.roster: dict[str, Member] = {}
        self.changes: dict[str, int] = {}
        self.dead: set[str] = set()
        self.domains: dict[str, dict[str, Member]] = {}
        self.heard: dict[str, int] = {}
        self.watched: dict[str, int] = {}
        self.avoided: dict[str, int] = {}
        self.relay_cache: dict[str, list[str]] = {}
        self.listed: frozenset[str] = frozenset()
        self.changed = False

    def start(self, now_ms: int) -> None:
        """Announce this node as joining."""
        self.announce(self.own, 0, now_ms)

    def set_own_state(self, state: MemberState, now_ms: int) -> None:
        """Announce a new state of this node."""
        if self.own.state is not state:
            self.own = msgspec.structs.replace(self.own, state=state)
            self.announce(self.own, self.changes[self.own.name] + 1, now_ms)

    def announce(self, member: Member, change: int, now_ms: int) -> None:
        """Store a member's fact and add the member to the roster."""
        fact = Fact(
            key=FACT_MEMBER + member.name,
            stamp=stamp_of(member, change),
            body=msgspec.Raw(encode(member)),
        )
        if self.facts.put(fact, now_ms):
            self.install(member, change, now_ms)

    def take_fact(self, fact: Fact, sender: str, now_ms: int) -> None:
        """Apply a member's fact that the fact table accepted as newer."""
        member = decode_member(bytes(fact.body))
        if member.name == self.own.name:
            self.defend(fact, member, now_ms)
            return
        self.install(member, fact.stamp[1] // STATE_RANKS, now_ms)
        if member.name == sender:
            self.heard[sender] = now_ms
            self.bury_former_holder(member, now_ms)

    def defend(self, fact: Fact, claimed: Member, now_ms: int) -> None:
        """Announce this node with a higher stamp than a claim about it.

        A live node that was declared dead becomes joining and catches up
        first.
        """
        own = self.own
        if fact.stamp[0] > own.incarnation:
            own = msgspec.structs.replace(own, incarnation=fact.stamp[0] + 1)
        if claimed.state is MemberState.DEAD and own.state is MemberState.LIVE:
            own = msgspec.structs.replace(own, state=MemberState.JOINING)
        if claimed.state is MemberState.LEAVING:
            own = msgspec.structs.replace(own, state=MemberState.LEAVING)
        self.own = own
        self.announce(own, fact.stamp[1] // STATE_RANKS + 1, now_ms)

    def install(self, member: Member, change: int, now_ms: int) -> None:
        """Add or replace a member in the roster."""
        before = self.roster.get(member.name)
        if before is not None:
            del self.domains[before.failure_domain][member.name]
        self.roster[member.name] = member
        self.domains.setdefault(member.failure_domain, {})[member.name] = member
        if member.state is MemberState.DEAD:
            self.dead.add(member.name)
        else:
            self.dead.discard(member.name)
        self.changes[member.name] = change
        self.watched[member.name] = now_ms
        if before != member:
            self.changed = True
            self.relay_cache.clear()

    def hear(self, name: str, incarnation: int, now_ms: int) -> Fact | None:
        """Record a heartbeat received directly from a member.

        Return the stored fact about the sender if it has to refute it.
        """
        member = self.roster.get(name)
        if member is None or member.incarnation < incarnation:
            return None
        if member.incarnation == incarnation:
            self.heard[name] = now_ms
            self.trust(name)
        judged = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        if judged or member.incarnation > incarnation:
            return self.facts.get(FACT_MEMBER + name)
        return None

    def bury_former_holder(self, member: Member, now_ms: int) -> None:
        """Declare dead any other member with the same peer address."""
        for other in list(self.roster.values()):
            same = other.peer_address == member.peer_address != ""
            if same and other.name != member.name:
                self.change_state(other, MemberState.DEAD, now_ms)

    def change_state(self, member: Member, state: MemberState, now_ms: int) -> None:
        """Announce a new state of another member."""
        if member.state is not state and member.name != self.own.name:
            changed = msgspec.structs.replace(member, state=state)
            self.announce(changed, self.changes[member.name] + 1, now_ms)

    def tick(self, now_ms: int) -> None:
        """Suspect silent members, declare them dead and remove them."""
        over = [name for name, until in self.avoided.items() if until <= now_ms]
        for name in over:
            self.trust(name)
        if self.is_relay():
            for member in list(self.domains[self.own.failure_domain].values()):
                self.judge(member, now_ms)
        self.forget(now_ms)

    def judge(self, member: Member, now_ms: int) -> None:
        """Suspect a silent member, or declare it dead, if assigned here."""
        if member.name == self.own.name or not self.is_judge_of(member):
            return
        silent_ms = now_ms - self.last_sign_ms(member.name)
        if member.state in JUDGED and silent_ms > self.suspect_after_ms:
            self.change_state(member, MemberState.SUSPECT, now_ms)
        elif member.state is MemberState.SUSPECT and silent_ms > self.settings.dead_ms:
            self.change_state(member, MemberState.DEAD, now_ms)

    @property
    def suspect_after_ms(self) -> int:
        """Return the time without a heartbeat until a member is suspect."""
        return self.settings.poll_hold_ms + self.settings.suspect_ms

    def last_sign_ms(self, name: str) -> int:
        """Return when a member last sent a heartbeat or changed."""
        return max(self.heard.get(name, 0), self.watched.get(name, 0))

    def is_judge_of(self, member: Member) -> bool:
        """Return whether this node is the relay that the member polls."""
        if member.failure_domain != self.own.failure_domain:
            return False
        return assigned_relay(member.name, self.relays()) == self.own.name

    def forget(self, now_ms: int) -> None:
        """Remove members that have been dead for `forget_ms`."""
        limit_ms = self.settings.forget_ms
        for name in list(self.dead):
            if now_ms - self.watched[name] > limit_ms:
                self.remove(self.roster[name])

    def remove(self, member: Member) -> None:
        """Remove a member and its facts."""
        name = member.name
        del self.roster[name]
        del self.domains[member.failure_domain][name]
        del self.changes[name]
        del self.watched[name]
        self.dead.discard(name)
        self.heard.pop(name, None)
        for prefix in (FACT_MEMBER, FACT_STATUS):
            self.facts.drop(prefix + name)
        self.facts.drop(f"{FACT_BEAT}{member.failure_domain}/{name}")
        self.relay_cache.clear()

    def avoid(self, name: str, now_ms: int) -> None:
        """Exclude a member from relay selection for `avoid_ms`."""
        self.avoided[name] = now_ms + self.settings.avoid_ms
        self.relay_cache.clear()

    def trust(self, name: str) -> None:
        """Allow a member to be chosen as relay again."""
        if self.avoided.pop(name, None) is not None:
            self.relay_cache.clear()

    def take_vms(
        self, items: list[VmItem], unreachable: list[str], now_ms: int
    ) -> None:
        """Apply the platform's VM list, which may lag behind.

        Members listed as leaving become leaving. A member that is not
        listed is declared dead only in an unreachable failure domain;
        elsewhere its relay monitors its heartbeats.
        """
        for item in items:
            member = self.roster.get(item.name)
            usable = member is not None and member.state in USABLE
            if member is not None and usable and item.state == VmState.LEAVING:
                self.change_state(member, MemberState.LEAVING, now_ms)
        listed = frozenset(item.name for item in items)
        self.listed = listed
        for domain in unreachable:
            for member in list(self.domains.get(domain, {}).values()):
                if listed and member.name not in listed:
                    self.change_state(member, MemberState.DEAD, now_ms)

    def is_gone(self, name: str) -> bool:
        """Return whether a VM is silent and no longer on the VM list."""
        if not self.listed or name in self.listed:
            return False
        member = self.roster.get(name)
        return member is None or member.state is MemberState.DEAD

    def strangers(self, items: Iterable[VmItem]) -> list[str]:
        """Return the addresses of listed VMs that are unknown or dead."""
        found = []
        for item in items:
            member = self.roster.get(item.name)
            known = member is not None and member.state is not MemberState.DEAD
            own = item.peer_address in ("", self.own.peer_address)
            if not known and not own and item.state != VmState.LEAVING:
                found.append(item.peer_address)
        return found

    def is_alone(self) -> bool:
        """Return whether no other usable member is known."""
        own = self.own.name
        others = (m for m in self.roster.values() if m.name != own)
        return not any(m.state in USABLE for m in others)

    def relays(self, failure_domain: str | None = None) -> list[str]:
        """Return the relays of a failure domain, by default this node's."""
        domain = self.own.failure_domain if failure_domain is None else failure_domain
        chosen = self.relay_cache.get(domain)
        if chosen is None:
            members = self.domains.get(domain, {}).values()
            trusted = [m for m in members if m.name not in self.avoided]
            chosen = choose_relays(domain, trusted)
            self.relay_cache[domain] = chosen
        return chosen

    def is_relay(self) -> bool:
        """Return whether this node is a relay of its failure domain."""
        return self.own.name in self.relays()

    def failure_domains(self) -> list[str]:
        """Return the failure domains with usable members, sorted."""
        return sorted(
            domain
            for domain, members in self.domains.items()
            if any(member.state in USABLE for member in members.values())
        )

    def all_relays(self) -> list[str]:
        """Return the relays of all failure domains."""
        chosen = [self.relays(domain) for domain in self.failure_domains()]
        return [name for relays in chosen for name in relays]
