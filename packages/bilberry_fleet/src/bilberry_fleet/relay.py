"""Choose relays by rendezvous hashing over the live members."""

from collections.abc import Iterable

from bilberry_core.ids import rendezvous_order, stable_hash

from .const import MAX_LEASE_CANDIDATES, RELAYS_PER_FAILURE_DOMAIN
from .messages import Member, MemberState


def choose_relays(failure_domain: str, members: Iterable[Member]) -> list[str]:
    """Return the names of a failure domain's relays, in order of preference.

    Joining members are chosen only if no member is live.
    """
    local = [m for m in members if m.failure_domain == failure_domain]
    names = [m.name for m in local if m.state is MemberState.LIVE]
    if not names:
        names = [m.name for m in local if m.state is MemberState.JOINING]
    return rendezvous_order(failure_domain, names)[:RELAYS_PER_FAILURE_DOMAIN]


def assigned_relay(name: str, relays: list[str]) -> str | None:
    """Return the relay that `name` polls; relays poll each other."""
    others = [relay for relay in relays if relay != name]
    if not others:
        return None
    return min(others, key=lambda relay: (stable_hash(relay, name), relay))


def lease_candidates(relays: Iterable[str]) -> list[str]:
    """Return the few relays that campaign for the planner's lease."""
    return rendezvous_order("planner", relays)[:MAX_LEASE_CANDIDATES]
