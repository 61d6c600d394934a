"""Calculate the hash slots that a step of a shift moves."""

from .const import HASH_SLOTS
from .messages import ServicePlan
from .slots import count_moved_slots, slots_per_owner


def moved_share(plan: ServicePlan) -> float:
    """Return the largest share of a group that the running step moves."""
    moved = [
        count_moved_slots(plan.before[group], runs)
        for group, runs in plan.slots.items()
        if group in plan.before
    ]
    return max(moved, default=0) / HASH_SLOTS


def counts_after_step(
    plan: ServicePlan, regions: int, share: float
) -> dict[str, list[int]]:
    """Return each group's slot counts after moving at most a share."""
    result: dict[str, list[int]] = {}
    for group, runs in plan.slots.items():
        owned = slots_per_owner(runs, regions)
        target = plan.shift.targets[group]
        to_move = sum(max(0, t - o) for t, o in zip(target, owned, strict=True))
        factor = min(1.0, share * HASH_SLOTS / to_move) if to_move else 0.0
        result[group] = partial_counts(owned, target, factor)
    return result


def remaining_slots(plan: ServicePlan, regions: int) -> int:
    """Return how many slots of a plan have not reached their target."""
    total = 0
    for group, target in plan.shift.targets.items():
        owned = slots_per_owner(plan.slots[group], regions)
        total += sum(max(0, t - o) for t, o in zip(target, owned, strict=True))
    return total


def partial_counts(start: list[int], goal: list[int], factor: float) -> list[int]:
    """Return counts on the way to `goal`, at most `factor` of the moves."""
    gains = [max(0, g - s) for s, g in zip(start, goal, strict=True)]
    losses = [max(0, s - g) for s, g in zip(start, goal, strict=True)]
    gains = [int(gain * factor) for gain in gains]
    total_gain = sum(gains)
    total_loss = sum(losses)
    taken = [loss * total_gain // total_loss if total_loss else 0 for loss in losses]
    remaining = total_gain - sum(taken)
    for index, loss in enumerate(losses):
        extra = min(remaining, loss - taken[index])
        taken[index] += extra
        remaining -= extra
    return [s + g - t for s, g, t in zip(start, gains, taken, strict=True)]
