"""Divide the slots and connections of endpoints among the nodes.

Each node computes the same division from the same members, so the shares
add up to no more than the totals.
"""

from collections.abc import Sequence

from bilberry_core.ids import stable_hash

from .const import SPARE_MEMBERS


def compute_node_share(
    total: int, members: Sequence[str], node: str, offset: int = 0
) -> int:
    """Return the part of `total` units that `node` gets.

    `offset` is the number of units assigned before, so that the nodes take
    turns in getting the units of a remainder.
    """
    if node not in members:
        return 0
    sorted_members = sorted(members)
    member_count = len(sorted_members)
    position = (sorted_members.index(node) - offset) % member_count
    return total // member_count + (1 if position < total % member_count else 0)


def compute_connection_share(total: int, members: Sequence[str]) -> int:
    """Return how many connections each member may hold, at least one.

    The total is divided by one member more than are known, so that it isn't
    exceeded while some nodes don't know yet of a node that joins, or still
    runs although it is considered dead.
    """
    return max(1, total // (len(members) + SPARE_MEMBERS))


def compute_slot_shares(
    slots: Sequence[tuple[str, int]], members: Sequence[str], node: str
) -> dict[str, int]:
    """Return this node's slots at each endpoint.

    Slots are assigned round robin across all endpoints, so that the nodes'
    totals over the pool differ by one slot at most.
    """
    shares: dict[str, int] = {}
    assigned = stable_hash(*sorted(name for name, _ in slots)) % max(1, len(members))
    for name, total in sorted(slots):
        shares[name] = compute_node_share(total, members, node, assigned)
        assigned += total
    return shares
