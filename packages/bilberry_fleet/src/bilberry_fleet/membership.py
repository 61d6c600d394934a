"""Detect failed members by their heartbeats; suspect before removal.

Each member's fact is stamped with its incarnation and change count. The relay
to which a member is assigned monitors it. Any node that gets a direct
heartbeat from a suspect or dead member returns that claim to it. The member
refutes the claim with a higher stamp, raising its incarnation if needed.
"""

from collections.abc import Collection, Iterable
from functools import lru_cache

import msgspec

from bilberry_resources.codec import encode
from bilberry_store.wire import VmItem, VmState

from .const import FACT_PREFIX_MEMBER, FACT_PREFIX_RELAY_HEARTBEAT, FACT_PREFIX_STATUS
from .facts import FactTable
from .messages import Fact, Member, MemberState
from .relay import assigned_relay, choose_relays
from .settings import FleetSettings

STATES_BY_SEVERITY = (
    MemberState.JOINING,
    MemberState.LIVE,
    MemberState.LEAVING,
    MemberState.SUSPECT,
    MemberState.DEAD,
)
RANKS_PER_CHANGE = 8
MAX_DECODED_MEMBERS = 4_096
MAX_BOOTSTRAP_RELAYS = 8

USABLE_STATES = (MemberState.LIVE, MemberState.JOINING)
MONITORED_STATES = (MemberState.LIVE, MemberState.JOINING, MemberState.LEAVING)


def stamp_of(member: Member, change_count: int) -> tuple[int, int]:
    """Return a stamp that no other state of the member shares.

    Of two concurrent changes, the more severe state wins on every node, so
    that the member receives it and can refute it.
    """
    rank = STATES_BY_SEVERITY.index(member.state)
    return (member.incarnation, change_count * RANKS_PER_CHANGE + rank)


@lru_cache(maxsize=MAX_DECODED_MEMBERS)
def decode_member(body: bytes) -> Member:
    """Return the member that a fact's body describes."""
    return msgspec.json.decode(body, type=Member)


class Membership:
    """Maintain the roster as one node sees it."""

    __slots__ = (
        "avoided_until_ms",
        "change_counts",
        "dead_names",
        "facts",
        "last_change_ms",
        "last_heartbeat_ms",
        "leaving_incarnations",
        "listed_vms",
        "members_by_domain",
        "own",
        "relay_cache",
        "roster",
        "roster_changed",
        "settings",
    )

    def __init__(self, own: Member, facts: FactTable, settings: FleetSettings) -> None:
        self.own = own
        self.facts = facts
        self.settings = settings
        self.roster: dict[str, Member] = {}
        self.change_counts: dict[str, int] = {}
        self.dead_names: set[str] = set()
        self.members_by_domain: dict[str, dict[str, Member]] = {}
        self.last_heartbeat_ms: dict[str, int] = {}
        self.last_change_ms: dict[str, int] = {}
        self.avoided_until_ms: dict[str, int] = {}
        self.relay_cache: dict[str, list[str]] = {}
        self.listed_vms: frozenset[str] = frozenset()
        # The incarnations that the VM list named as leaving.
        self.leaving_incarnations: dict[str, int] = {}
        self.roster_changed = False

    def start(self, now_ms: int) -> None:
        """Announce this node as joining."""
        self.announce(self.own, 0, now_ms)

    def set_own_state(self, state: MemberState, now_ms: int) -> None:
        """Announce a new state of this node."""
        if self.own.state is not state:
            self.own = msgspec.structs.replace(self.own, state=state)
            self.announce(self.own, self.change_counts[self.own.name] + 1, now_ms)

    def announce(self, member: Member, change_count: int, now_ms: int) -> None:
        """Store a member's fact and add the member to the roster."""
        fact = Fact(
            key=FACT_PREFIX_MEMBER + member.name,
            stamp=stamp_of(member, change_count),
            body=msgspec.Raw(encode(member)),
        )
        if self.facts.put(fact, now_ms):
            self.update_roster(member, change_count, now_ms)

    def apply_fact(self, fact: Fact, sender: str, now_ms: int) -> None:
        """Apply a member's fact that the fact table accepted as newer."""
        member = decode_member(bytes(fact.body))
        if member.name == self.own.name:
            self.refute(fact, member, now_ms)
            return
        self.update_roster(member, fact.stamp[1] // RANKS_PER_CHANGE, now_ms)
        self.announce_listed_leaving(member.name, now_ms)
        if member.name == sender:
            self.last_heartbeat_ms[sender] = now_ms
            self.declare_former_holder_dead(member, now_ms)

    def refute(self, fact: Fact, claimed: Member, now_ms: int) -> None:
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
        self.announce(own, fact.stamp[1] // RANKS_PER_CHANGE + 1, now_ms)

    def update_roster(self, member: Member, change_count: int, now_ms: int) -> None:
        """Add or replace a member in the roster."""
        previous = self.roster.get(member.name)
        if previous is not None:
            del self.members_by_domain[previous.failure_domain][member.name]
        self.roster[member.name] = member
        self.members_by_domain.setdefault(member.failure_domain, {})[member.name] = (
            member
        )
        if member.state is MemberState.DEAD:
            self.dead_names.add(member.name)
        else:
            self.dead_names.discard(member.name)
        self.change_counts[member.name] = change_count
        self.last_change_ms[member.name] = now_ms
        if previous != member:
            self.roster_changed = True
            self.relay_cache.clear()

    def record_heartbeat(self, name: str, incarnation: int, now_ms: int) -> Fact | None:
        """Record a heartbeat received directly from a member.

        Return the stored fact about the sender if it has to refute it.
        """
        member = self.roster.get(name)
        if member is None or member.incarnation < incarnation:
            return None
        if member.incarnation == incarnation:
            self.last_heartbeat_ms[name] = now_ms
            self.readmit_as_relay(name)
        is_failed = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        if is_failed or member.incarnation > incarnation:
            return self.facts.get(FACT_PREFIX_MEMBER + name)
        return None

    def declare_former_holder_dead(self, member: Member, now_ms: int) -> None:
        """Declare dead any other member with the same peer address."""
        for other in list(self.roster.values()):
            has_same_address = other.peer_address == member.peer_address != ""
            if has_same_address and other.name != member.name:
                self.change_state(other, MemberState.DEAD, now_ms)

    def change_state(self, member: Member, state: MemberState, now_ms: int) -> None:
        """Announce a new state of another member."""
        if member.state is not state and member.name != self.own.name:
            updated = msgspec.structs.replace(member, state=state)
            self.announce(updated, self.change_counts[member.name] + 1, now_ms)

    def tick(self, now_ms: int) -> None:
        """Suspect silent members, declare them dead and remove them."""
        expired = [
            name for name, until in self.avoided_until_ms.items() if until <= now_ms
        ]
        for name in expired:
            self.readmit_as_relay(name)
        if self.is_relay():
            for member in list(
                self.members_by_domain[self.own.failure_domain].values()
            ):
                self.update_liveness(member, now_ms)
        self.remove_long_dead(now_ms)

    def update_liveness(self, member: Member, now_ms: int) -> None:
        """Suspect a silent member, or declare it dead, if assigned here."""
        if member.name == self.own.name or not self.is_monitor_of(member):
            return
        silent_ms = now_ms - self.last_activity_ms(member.name)
        if member.state in MONITORED_STATES and silent_ms > self.suspect_after_ms:
            self.change_state(member, MemberState.SUSPECT, now_ms)
        elif member.state is MemberState.SUSPECT and silent_ms > self.settings.dead_ms:
            self.change_state(member, MemberState.DEAD, now_ms)

    @property
    def suspect_after_ms(self) -> int:
        """Return the time without a heartbeat until a member is suspect."""
        return self.settings.poll_hold_ms + self.settings.suspect_ms

    def last_activity_ms(self, name: str) -> int:
        """Return when a member last sent a heartbeat or changed."""
        return max(
            self.last_heartbeat_ms.get(name, 0), self.last_change_ms.get(name, 0)
        )

    def is_monitor_of(self, member: Member) -> bool:
        """Return whether this node is the relay that the member polls."""
        if member.failure_domain != self.own.failure_domain:
            return False
        return assigned_relay(member.name, self.relays()) == self.own.name

    def remove_long_dead(self, now_ms: int) -> None:
        """Remove members that have been dead for `forget_ms`."""
        limit_ms = self.settings.forget_ms
        for name in list(self.dead_names):
            if now_ms - self.last_change_ms[name] > limit_ms:
                self.remove(self.roster[name])

    def remove(self, member: Member) -> None:
        """Remove a member and its facts."""
        name = member.name
        del self.roster[name]
        del self.members_by_domain[member.failure_domain][name]
        del self.change_counts[name]
        del self.last_change_ms[name]
        self.dead_names.discard(name)
        self.last_heartbeat_ms.pop(name, None)
        for prefix in (FACT_PREFIX_MEMBER, FACT_PREFIX_STATUS):
            self.facts.remove(prefix + name)
        self.facts.remove(
            f"{FACT_PREFIX_RELAY_HEARTBEAT}{member.failure_domain}/{name}"
        )
        self.relay_cache.clear()

    def avoid_as_relay(self, name: str, now_ms: int) -> None:
        """Exclude a member from relay selection for `avoid_ms`."""
        self.avoided_until_ms[name] = now_ms + self.settings.avoid_ms
        self.relay_cache.clear()

    def readmit_as_relay(self, name: str) -> None:
        """Allow a member to be chosen as relay again."""
        if self.avoided_until_ms.pop(name, None) is not None:
            self.relay_cache.clear()

    def apply_vm_list(
        self, items: list[VmItem], unreachable: list[str], now_ms: int
    ) -> bool:
        """Apply the platform's VM list; return whether this node changed.

        The list may lag behind. Members listed as leaving become leaving,
        this node too. A member that is not listed is declared dead only in
        an unreachable failure domain; elsewhere its relay monitors its
        heartbeats.
        """
        former = self.own
        self.leaving_incarnations = {
            item.name: self.roster[item.name].incarnation
            for item in items
            if item.state == VmState.LEAVING and item.name in self.roster
        }
        for name in self.leaving_incarnations:
            self.announce_listed_leaving(name, now_ms)
        listed_vms = frozenset(item.name for item in items)
        self.listed_vms = listed_vms
        for domain in unreachable:
            for member in list(self.members_by_domain.get(domain, {}).values()):
                if listed_vms and member.name not in listed_vms:
                    self.change_state(member, MemberState.DEAD, now_ms)
        return self.own is not former

    def announce_listed_leaving(self, name: str, now_ms: int) -> None:
        """Announce a usable member that the VM list named as leaving.

        A member that refutes a concurrent suspicion is usable once more.
        """
        member = self.roster[name]
        is_listed = self.leaving_incarnations.get(name) == member.incarnation
        if not is_listed or member.state not in USABLE_STATES:
            return
        if name == self.own.name:
            self.set_own_state(MemberState.LEAVING, now_ms)
        else:
            self.change_state(member, MemberState.LEAVING, now_ms)

    def is_departed(self, name: str) -> bool:
        """Return whether a VM is silent and no longer on the VM list."""
        if not self.listed_vms or name in self.listed_vms:
            return False
        member = self.roster.get(name)
        return member is None or member.state is MemberState.DEAD

    def unknown_addresses(self, items: Iterable[VmItem]) -> list[str]:
        """Return the addresses of listed VMs that are unknown or dead."""
        addresses = []
        for item in items:
            member = self.roster.get(item.name)
            is_known = member is not None and member.state is not MemberState.DEAD
            is_own = item.peer_address in ("", self.own.peer_address)
            if not is_known and not is_own and item.state != VmState.LEAVING:
                addresses.append(item.peer_address)
        return addresses

    def is_alone(self) -> bool:
        """Return whether no other usable member is known."""
        own = self.own.name
        others = (m for m in self.roster.values() if m.name != own)
        return not any(m.state in USABLE_STATES for m in others)

    def relays(self, failure_domain: str | None = None) -> list[str]:
        """Return the relays of a failure domain, by default this node's."""
        domain = self.own.failure_domain if failure_domain is None else failure_domain
        chosen = self.relay_cache.get(domain)
        if chosen is None:
            members = self.members_by_domain.get(domain, {}).values()
            candidates = [m for m in members if m.name not in self.avoided_until_ms]
            chosen = choose_relays(domain, candidates)
            self.relay_cache[domain] = chosen
        return chosen

    def is_relay(self) -> bool:
        """Return whether this node is a relay of its failure domain."""
        return self.own.name in self.relays()

    def failure_domains(self) -> list[str]:
        """Return the failure domains with usable members, sorted."""
        return sorted(
            domain
            for domain, members in self.members_by_domain.items()
            if any(member.state in USABLE_STATES for member in members.values())
        )

    def all_relays(self) -> list[str]:
        """Return the relays of all failure domains."""
        chosen = [self.relays(domain) for domain in self.failure_domains()]
        return [name for relays in chosen for name in relays]

    def relay_addresses(self) -> list[str]:
        """Return the relay addresses to pull from while joining."""
        relays = [*self.relays(), *self.all_relays()]
        addresses = [self.roster[name].peer_address for name in relays]
        others = [a for a in addresses if a != self.own.peer_address]
        return others[:MAX_BOOTSTRAP_RELAYS]

    def store_readers(self) -> list[str]:
        """Return the nodes that read the VM list in turns, with this one."""
        relays = self.all_relays()
        if self.is_alone() or self.own.name not in relays:
            return [self.own.name]
        return relays

    def members(self, unreachable_domains: Collection[str]) -> list[Member]:
        """Return all members, live ones that are unreachable as suspect."""
        return [
            msgspec.structs.replace(member, state=MemberState.SUSPECT)
            if member.failure_domain in unreachable_domains
            and member.state is MemberState.LIVE
            else member
            for member in self.roster.values()
        ]
