"""Shift a service's traffic to its intended weights in limited steps.

The state is stored in the service's part of the plan. A step starts only
on fresh measurements. It ends when every live node follows it, the step
and soak times have passed and nodes don't hold too many callers back.
"""

import math
from dataclasses import dataclass, field

from .capacity_limits import (
    CapacityLimits,
    exceeded_bound,
    fitting_step_fraction,
    lost_gaining_region,
)
from .const import (
    COLD_START_GROWTH_FACTOR,
    COLD_START_STEP_FACTOR,
    HELD_BACK_SHRINK_FACTOR,
    HELD_BACK_STD_DEVIATIONS,
    HELD_BACK_TOLERANCE,
    MIN_STEP_FRACTION,
    STEP_SHARE_OF_CAP,
)
from .demand import DemandEstimate
from .inputs import Decision, PlannerInputs
from .messages import ServicePlan, ShiftPhase, ShiftState
from .shift_targets import (
    ServiceIntents,
    StepCap,
    service_intents,
    step_cap,
    target_counts,
)
from .slots import reassign, slots_per_owner
from .steps import counts_after_step, moved_share, partial_counts, remaining_slots
from .topology import region_names

REASON_STALE = "measurements are stale"
REASON_WAITING = "waiting for nodes to follow the step"
REASON_HELD_BACK = "demand outgrew the step's cap"
REASON_SOAKING = "soaking"
REASON_NO_HEADROOM = "no headroom for another step"
REASON_PAUSED = "paused by the operator"


@dataclass(slots=True)
class ShiftRound:
    """Advance one service's shift by one planner round."""

    inputs: PlannerInputs
    demand: DemandEstimate
    limits: CapacityLimits
    service: str
    plan: ServicePlan
    version: int
    now_ms: int
    decisions: list[Decision] = field(default_factory=list)
    intents: ServiceIntents = field(default_factory=ServiceIntents)
    cap: StepCap = field(default_factory=lambda: StepCap(1.0, None, 1, 0))

    @property
    def state(self) -> ShiftState:
        """Return the shift's state, which this round changes."""
        return self.plan.shift

    def run(self) -> None:
        """Update the service's plan for this round."""
        self.intents = service_intents(self.inputs.snapshot, self.service)
        self.cap = step_cap(self.intents, self.state)
        self.apply_intents()
        ended = not self.plan.before or self.advance_step()
        if ended and self.can_start_step():
            self.start_step()
        completed = self.state.phase == ShiftPhase.COMPLETE
        self.plan.closed = self.intents.closed_regions if completed else []

    def apply_intents(self) -> None:
        """Apply the current intents' cap, and their targets if changed."""
        state = self.state
        state.max_share = self.cap.max_share
        state.max_rate_per_s = self.cap.max_rate_per_s
        state.step_ms = self.cap.step_ms
        state.soak_ms = self.cap.soak_ms
        state.intents = list(self.intents.active_names)
        changed = state.signature != self.intents.signature
        if changed or set(state.targets) != set(self.plan.slots):
            state.targets = target_counts(
                self.inputs.snapshot,
                self.service,
                self.intents,
                list(self.plan.slots),
                self.plan.demand_per_s,
            )
            state.start_slots = self.count_remaining_slots()
        if changed:
            state.signature = self.intents.signature
            state.steps_done = 0
            if state.phase == ShiftPhase.ROLLED_BACK:
                self.set_phase(ShiftPhase.MOVING, "intents changed")

    def count_remaining_slots(self) -> int:
        """Return how many slots have not reached their target."""
        return remaining_slots(self.plan, len(region_names(self.inputs.snapshot)))

    def advance_step(self) -> bool:
        """Check the running step and return whether it has ended."""
        lost = lost_gaining_region(self.inputs, self.service, self.plan)
        if lost is not None:
            self.roll_back(f"region {lost} is lost")
            return False
        breach = exceeded_bound(
            self.intents, self.demand, self.limits, self.service, self.plan
        )
        if breach is not None:
            self.handle_breach(breach)
            return False
        self.state.breach_at_ms = 0
        if self.shrink_to_cap():
            return False
        if not self.has_soaked():
            return False
        if self.intents.is_paused:
            self.set_phase(ShiftPhase.PAUSED, REASON_PAUSED)
        self.complete_step()
        return True

    def handle_breach(self, reason: str) -> None:
        """Pause a step that exceeds a bound, roll it back after the soak."""
        state = self.state
        if state.breach_at_ms == 0:
            state.breach_at_ms = self.now_ms
            self.set_phase(ShiftPhase.PAUSED, reason)
        elif self.now_ms - state.breach_at_ms >= max(1, state.soak_ms):
            self.roll_back(reason)

    def roll_back(self, reason: str) -> None:
        """Undo the running step and stop the shift."""
        self.plan.slots = self.plan.before
        self.plan.before = {}
        self.state.settled_at_ms = 0
        self.state.breach_at_ms = 0
        self.state.step_version = self.version
        self.set_phase(ShiftPhase.ROLLED_BACK, reason)

    def shrink_to_cap(self) -> bool:
        """Shrink a running step that exceeds its cap; return if it did."""
        moved = moved_share(self.plan)
        allowed = self.allowed_share()
        exceeds_cap = moved > self.cap.max_share
        if self.has_excess_held_back() or exceeds_cap:
            self.shrink_step(
                min(HELD_BACK_SHRINK_FACTOR, allowed / moved) if moved else 0.0
            )
            self.set_phase(ShiftPhase.HOLDING, REASON_HELD_BACK)
            return True
        return False

    def has_excess_held_back(self) -> bool:
        """Return whether nodes held back more callers than by chance."""
        if not self.is_followed():
            return False
        moved = held = 0.0
        for member in self.inputs.live_members:
            for demand in self.inputs.reports[member.node].demands:
                if demand.service == self.service:
                    moved += demand.moved
                    held += demand.held_back
        total = moved + held
        return (
            held
            > HELD_BACK_TOLERANCE * total + HELD_BACK_STD_DEVIATIONS * math.sqrt(total)
        )

    def shrink_step(self, factor: float) -> None:
        """Reduce the running step to a fraction of its moves."""
        region_count = len(region_names(self.inputs.snapshot))
        for group, runs in self.plan.slots.items():
            before = self.plan.before.get(group, runs)
            goal = slots_per_owner(runs, region_count)
            counts = partial_counts(slots_per_owner(before, region_count), goal, factor)
            self.plan.slots[group] = reassign(before, counts)
        self.state.settled_at_ms = 0
        self.state.step_version = self.version
        self.state.step_at_ms = self.now_ms

    def is_followed(self) -> bool:
        """Return whether every live node reported a window of this step."""
        for member in self.inputs.live_members:
            report = self.inputs.reports.get(member.node)
            if report is None:
                return False
            acked = self.inputs.newest_acknowledged_plan(member.node)
            if acked.version < self.state.step_version:
                return False
            if report.plan.version < self.state.step_version:
                return False
            if report.sent_at_ms - report.window_ms < self.state.step_at_ms:
                return False
        return True

    def has_soaked(self) -> bool:
        """Return whether the step took effect and soaked long enough."""
        state = self.state
        if not self.demand.all_fresh:
            self.set_phase(ShiftPhase.HOLDING, REASON_STALE)
            return False
        if not self.is_followed():
            self.set_phase(ShiftPhase.MOVING, REASON_WAITING)
            return False
        if state.settled_at_ms == 0:
            state.settled_at_ms = self.now_ms
        if self.now_ms - state.settled_at_ms < max(state.step_ms, state.soak_ms):
            self.set_phase(ShiftPhase.MOVING, REASON_SOAKING)
            return False
        return True

    def complete_step(self) -> None:
        """Mark the running step as done."""
        self.plan.before = {}
        self.state.settled_at_ms = 0
        self.state.steps_done += 1

    def can_start_step(self) -> bool:
        """Return whether another step may start now."""
        state = self.state
        if self.count_remaining_slots() == 0:
            idle = not self.intents.active_names
            self.set_phase(ShiftPhase.IDLE if idle else ShiftPhase.COMPLETE, "")
            return False
        if state.phase == ShiftPhase.ROLLED_BACK:
            return False
        if self.intents.is_paused:
            self.set_phase(ShiftPhase.PAUSED, REASON_PAUSED)
            return False
        if not self.demand.all_fresh:
            self.set_phase(ShiftPhase.HOLDING, REASON_STALE)
            return False
        if state.step_version and not self.is_followed():
            self.set_phase(ShiftPhase.HOLDING, REASON_WAITING)
            return False
        return True

    def allowed_share(self) -> float:
        """Return the share of each group that one step may move.

        The first steps are smaller, because caches of the gaining regions
        are cold.
        """
        ramp = min(
            1.0,
            COLD_START_STEP_FACTOR * COLD_START_GROWTH_FACTOR**self.state.steps_done,
        )
        share = self.cap.max_share * STEP_SHARE_OF_CAP * ramp
        total = self.demand.total_upper_bound(self.service)
        if self.cap.max_rate_per_s is not None and total > 0:
            rate = self.cap.max_rate_per_s * STEP_SHARE_OF_CAP
            share = min(share, rate / total)
        return share

    def start_step(self) -> None:
        """Start the largest step that the cap and the headroom allow."""
        region_count = len(region_names(self.inputs.snapshot))
        allowed = self.allowed_share()
        counts = counts_after_step(self.plan, region_count, allowed)
        factor = fitting_step_fraction(self.limits, self.service, self.plan, counts)
        if factor < MIN_STEP_FRACTION:
            self.set_phase(ShiftPhase.HOLDING, REASON_NO_HEADROOM)
            return
        if factor < 1.0:
            counts = counts_after_step(self.plan, region_count, allowed * factor)
        slots = {
            group: reassign(runs, counts[group])
            for group, runs in self.plan.slots.items()
        }
        if slots == self.plan.slots:
            self.set_phase(ShiftPhase.HOLDING, REASON_NO_HEADROOM)
            return
        state = self.state
        self.plan.before = self.plan.slots
        self.plan.slots = slots
        state.step += 1
        state.step_version = self.version
        state.step_at_ms = self.now_ms
        state.settled_at_ms = 0
        share = moved_share(self.plan)
        state.phase = ShiftPhase.MOVING
        state.reason = REASON_WAITING
        self.record_decision(
            f"step {state.step}", f"moves {share:.4f} of each group at most"
        )

    def set_phase(self, phase: ShiftPhase, reason: str) -> None:
        """Set phase and reason; record a change for the audit trail."""
        state = self.state
        if state.phase != phase:
            self.record_decision(phase.value, reason)
        state.phase = phase
        state.reason = reason

    def record_decision(self, action: str, reason: str) -> None:
        """Record a decision for the audit trail."""
        self.decisions.append(Decision(self.now_ms, self.service, action, reason))
