"""Calculate the hash slots that a step of a shift moves."""

from .const import HASH_SLOTS
from .messages import ServicePlan
from .slots import counts_of, moved_slots


def moved_share(plan: ServicePlan) -> float:
    """Return the largest share of a group that the running step moves."""
    moved = [
        moved_slots(plan.before[group], runs)
        for group, runs in plan.slots.items()
        if group in plan.before
    ]
    return max(moved, default=0) / HASH_SLOTS


def step_counts(plan: ServicePlan, regions: int, share: float) -> dict[str, list[int]]:
    """Return each group's slot counts after moving at most a share."""
    result: dict[str, list[int]] = {}
    for group, runs in plan.slots.items():
        owned = counts_of(runs, regions)
        target = plan.shift.targets[group]
        away = sum(max(0, t - o) for t, o in zip(target, owned, strict=True))
        factor = min(1.0, share * HASH_SLOTS / away) if away else 0.0
        result[group] = part_way(owned, target, factor)
    return result


def remaining_slots(plan: ServicePlan, regions: int) -> int:
    """Return how many slots of a plan have not reached their target."""
    total = 0
    for group, target in plan.shift.targets.items():
        owned = counts_of(plan.slots[group], regions)
        total += sum(max(0, t - o) for t, o in zip(target, owned, strict=True))
    return total


def part_way(start: list[int], goal: list[int], factor: float) -> list[int]:
    """Return counts on the way to `goal`, at most `factor` of the moves."""
    gains = [max(0, g - s) for s, g in zip(start, goal, strict=True)]
    losses = [max(0, s - g) for s, g in zip(start, goal, strict=True)]
    gains = [int(gain * factor) for gain in gains]
    total = sum(gains)
    whole = sum(losses)
    taken = [loss * total // whole if whole else 0 for loss in losses]
    rest = total - sum(taken)
    for index, loss in enumerate(losses):
        extra = min(rest, loss - taken[index])
        taken[index] += extra
        rest -= extra
    return [s + g - t for s, g, t in zip(start, gains, taken, strict=True)]
