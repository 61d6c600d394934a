"""Limit the requests that a node moves during a step of a shift."""

from dataclasses import dataclass, field

from .const import HASH_SLOTS, MAX_STEP_CREDIT
from .messages import ServicePlan
from .slots import SlotRuns, count_moved_slots


@dataclass(slots=True)
class StepLimiter:
    """Limit the share of one service's requests that a node may move.

    `settled_slots` holds the runs by group before the running step. A node
    that missed steps catches up by itself: `catch_up_started_ms` is the time
    at which it started, and every `step_ms` another `max_share` may move.
    """

    settled_slots: dict[str, SlotRuns] = field(default_factory=dict)
    max_share: float = 1.0
    step_ms: int = 0
    credit: float = 0.0
    catch_up_started_ms: int | None = None

    def apply_plan(
        self, previous: ServicePlan | None, plan: ServicePlan, now_ms: int
    ) -> None:
        """Apply a new plan; `previous` is the one that it replaces."""
        self.max_share = plan.shift.max_share
        self.step_ms = max(1, plan.shift.step_ms)
        if previous is None or previous.slots != plan.slots:
            self.credit = 0.0
        if previous is None:
            self.catch_up_started_ms = None
        if self.catch_up_started_ms is not None:
            return
        if previous is None or _is_next_step(previous, plan):
            self.settled_slots = plan.before or plan.slots
            return
        self.settled_slots = previous.slots
        self.catch_up_started_ms = now_ms

    def end_catch_up_if_done(self, plan: ServicePlan, now_ms: int) -> None:
        """End catching up once all groups may have moved completely."""
        if self.catch_up_started_ms is None:
            return
        if self.allowed_share(now_ms) >= _largest_moved_share(
            self.settled_slots, plan.slots
        ):
            self.settled_slots = plan.before or plan.slots
            self.catch_up_started_ms = None

    def allowed_share(self, now_ms: int) -> float:
        """Return the share of requests that may be moved at `now_ms`."""
        if self.catch_up_started_ms is None:
            return self.max_share
        steps = 1 + max(0, now_ms - self.catch_up_started_ms) // self.step_ms
        return min(1.0, self.max_share * steps)

    def add_credit(self, requests: float, now_ms: int) -> None:
        """Add credit for requests that arrived at the node."""
        earned = self.allowed_share(now_ms) * requests
        self.credit = min(self.credit, MAX_STEP_CREDIT) + earned

    def spend_credit(self, requests: float) -> float:
        """Spend credit for up to `requests` and return how many may move."""
        allowed = min(self.credit, requests)
        self.credit -= allowed
        return allowed

    def try_spend_one(self) -> bool:
        """Spend credit for one request and return whether there was enough."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


def _is_next_step(previous: ServicePlan, plan: ServicePlan) -> bool:
    """Return whether `plan` is at most one step after `previous`."""
    if plan.slots == previous.slots:
        return True
    before = plan.before or plan.slots
    return before in (previous.slots, previous.before)


def _largest_moved_share(
    settled_slots: dict[str, SlotRuns], slots: dict[str, SlotRuns]
) -> float:
    """Return the largest share of a group that changes region."""
    moved = [
        count_moved_slots(settled_slots[group], runs)
        for group, runs in slots.items()
        if group in settled_slots
    ]
    return max(moved, default=0) / HASH_SLOTS
