"""Divide capacity among nodes by escrow, so that it is never overdrawn.

A node may use the quota of any plan from the one that it last acknowledged
to the newest, the floor of such a plan once it expired, or the bootstrap
quota after a restart. Quotas grow only by capacity that no node can still
use in one of these ways, in whatever order messages arrive.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from .const import AMOUNT_DECIMALS, MAX_CLOCK_SKEW_MS, QUOTA_HYSTERESIS
from .messages import NodeQuota, Plan, PlanRef, ReservedQuota

AMOUNT_SCALE = 10**AMOUNT_DECIMALS
MAX_RESERVED_QUOTAS = 3


@dataclass(slots=True)
class Reservation:
    """Represent the amounts that a node may still use by earlier plans."""

    held: list[ReservedQuota] = field(default_factory=list)
    floors: list[ReservedQuota] = field(default_factory=list)

    def max_amounts(self, size: int) -> list[float]:
        """Return the largest amount of each resource that may be in use."""
        totals = [0.0] * size
        for entry in self.entries:
            totals = list(map(max, totals, entry.amounts))
        return totals

    @property
    def entries(self) -> list[ReservedQuota]:
        """Return the entries of plans and floors."""
        return self.held + self.floors

    @property
    def is_empty(self) -> bool:
        """Return whether the node may use nothing any more."""
        return not any(any(entry.amounts) for entry in self.entries)


def reservation_after(
    plan: Plan, quota: NodeQuota, acknowledged: PlanRef, now_ms: int
) -> Reservation:
    """Return what a node may use after `plan`.

    `acknowledged` is the newest plan that the node acknowledged.
    """
    reservation = Reservation(
        [entry for entry in quota.held if is_reserved(entry, acknowledged, now_ms)],
        [entry for entry in quota.floors if is_reserved(entry, acknowledged, now_ms)],
    )
    until_ms = plan.expires_ms + MAX_CLOCK_SKEW_MS
    current_quota = ReservedQuota(quota.amounts, until_ms, plan.version)
    if is_reserved(current_quota, acknowledged, now_ms):
        reservation.held = add_reserved(reservation.held, current_quota)
    floor_until_ms = plan.made_at_ms + plan.floor_valid_ms + MAX_CLOCK_SKEW_MS
    amounts = floor_amounts(plan, quota.region, quota.amounts)
    floor_quota = ReservedQuota(amounts, floor_until_ms, plan.version)
    if is_reserved(floor_quota, acknowledged, now_ms):
        reservation.floors = add_reserved(reservation.floors, floor_quota)
    return reservation


def is_reserved(entry: ReservedQuota, acknowledged: PlanRef, now_ms: int) -> bool:
    """Return whether a node may still use an entry.

    It may not after it has acknowledged a plan newer than the entry's, or
    after the entry has expired.
    """
    return now_ms < entry.until_ms and acknowledged.version <= entry.version


def floor_amounts(plan: Plan, region: str, amounts: Sequence[float]) -> list[float]:
    """Return the amounts that a node keeps after the plan has expired."""
    shares = plan.floors.get(region)
    if shares is None:
        return [0.0] * len(amounts)
    return [amount * share for amount, share in zip(amounts, shares, strict=True)]


def add_reserved(
    entries: list[ReservedQuota], new: ReservedQuota
) -> list[ReservedQuota]:
    """Return at most `MAX_RESERVED_QUOTAS` entries that bound all amounts.

    Only the two newest entries are merged, so that older ones keep their
    expiry time: the large old amounts of a node that doesn't report expire,
    even if every round sends it a new small amount.
    """
    kept = [entry for entry in entries if not covers(new.amounts, entry.amounts)]
    if len(kept) < MAX_RESERVED_QUOTAS:
        return [*kept, new]
    recent = kept[-1]
    merged = [max(a, b) for a, b in zip(recent.amounts, new.amounts, strict=True)]
    until_ms = max(recent.until_ms, new.until_ms)
    return [*kept[:-1], ReservedQuota(merged, until_ms, new.version)]


def covers(larger: Sequence[float], smaller: Sequence[float]) -> bool:
    """Return whether no amount in `smaller` exceeds that in `larger`."""
    return all(a >= b for a, b in zip(larger, smaller, strict=True))


def reorder_reservation(
    reservation: Reservation, old: Sequence[str], new: Sequence[str]
) -> Reservation:
    """Return a reservation in the order of the `new` resources."""
    if list(old) == list(new):
        return reservation
    index = {resource: i for i, resource in enumerate(old)}
    old_indexes = [index.get(resource) for resource in new]
    return Reservation(
        _reorder_amounts(reservation.held, old_indexes),
        _reorder_amounts(reservation.floors, old_indexes),
    )


def allocate(
    budget: float, reserved: Sequence[float], wanted: Sequence[float]
) -> list[float]:
    """Return new amounts such that max(reserved, new) fits `budget` in sum.

    No amount grows if the reserved amounts already exceed the budget.
    """
    free = max(0.0, budget - sum(reserved))
    growth = [max(0.0, w - r) for w, r in zip(wanted, reserved, strict=True)]
    total = sum(growth)
    scale = min(1.0, free / total) if total > 0 else 0.0
    return [
        _round_down(min(want, kept + grow * scale))
        for want, kept, grow in zip(wanted, reserved, growth, strict=True)
    ]


def redistribute_small_amounts(wanted: Sequence[float], least: float) -> list[float]:
    """Move amounts below `least` to the nodes that want more."""
    kept = [want if want >= least else 0.0 for want in wanted]
    total = sum(kept)
    if total <= 0:
        return list(wanted)
    factor = sum(wanted) / total
    return [want * factor for want in kept]


def keep_similar_amounts(
    budget: float, current: Sequence[float], wanted: Sequence[float]
) -> list[float]:
    """Return the wanted amounts, keeping current ones that hardly differ."""
    kept = [
        now if abs(want - now) <= QUOTA_HYSTERESIS * now else want
        for now, want in zip(current, wanted, strict=True)
    ]
    if sum(kept) <= budget:
        return kept
    return list(wanted)


def build_node_quota(
    plan: Plan, region: str, amounts: list[float], reservation: Reservation
) -> NodeQuota:
    """Return a node's quota without held entries that it covers."""
    floors = floor_amounts(plan, region, amounts)
    return NodeQuota(
        region,
        amounts,
        [entry for entry in reservation.held if not covers(amounts, entry.amounts)],
        [entry for entry in reservation.floors if not covers(floors, entry.amounts)],
    )


def _reorder_amounts(
    entries: list[ReservedQuota], old_indexes: list[int | None]
) -> list[ReservedQuota]:
    return [
        ReservedQuota(
            [entry.amounts[p] if p is not None else 0.0 for p in old_indexes],
            entry.until_ms,
            entry.version,
        )
        for entry in entries
    ]


def _round_down(amount: float) -> float:
    return int(amount * AMOUNT_SCALE) / AMOUNT_SCALE
