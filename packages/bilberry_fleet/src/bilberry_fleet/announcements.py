"""Create the facts that a node announces to the whole fleet."""

import msgspec

from bilberry_resources.codec import encode

from .const import FACT_KEY_PLANNER, FACT_PREFIX_ENTRY, MAX_FACT_BYTES
from .messages import Fact, PlannerAnnouncement, SharedEntry


def entry_fact(entry: SharedEntry, wall_ms: int) -> Fact:
    """Return the fact that replicates a shared entry to every node."""
    body = msgspec.Raw(encode(entry))
    assert len(bytes(body)) <= MAX_FACT_BYTES, "shared entry exceeds MAX_FACT_BYTES"
    return Fact(
        key=f"{FACT_PREFIX_ENTRY}{entry.key}",
        stamp=(wall_ms, 0),
        body=body,
        ttl_ms=entry.ttl_ms,
    )


def planner_fact(node: str, epoch: int) -> Fact:
    """Return the fact that names the holder of the planner's lease."""
    body = msgspec.Raw(encode(PlannerAnnouncement(name=node, epoch=epoch)))
    return Fact(key=FACT_KEY_PLANNER, stamp=(epoch, 0), body=body)
