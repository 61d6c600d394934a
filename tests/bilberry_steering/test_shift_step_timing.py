"""Test that a step of a shift ends without waiting for a regular round.

The offset of the reports from the planning rounds must not delay it.
"""

import msgspec
import pytest

from bilberry_steering.messages import ShiftPhase
from bilberry_steering.planner import Planner
from bilberry_steering.round_schedule import (
    all_nodes_follow_step,
    next_round_wait_ms,
    should_store_plan,
)
from tests.bilberry_steering.simulated_fleet import (
    SimulatedFleet,
    make_snapshot,
    weights_intent,
)

INTERVAL_MS = 1_000
REPORT_MS = 1_000
SPACING_MS = 300
STEP_MS = 1_000
REPORT_DELAY_MS = 40
# The demonstration allows 25 s for its 7 steps.
STEP_LIMIT_MS = 25_000 / 7
MAX_DURATION_MS = 90_000
WEIGHTS = {"mtl": 1, "qc": 1, "sag": 0.4}


class Timeline:
    """Run reports and planning rounds at their own times on a manual clock."""

    def __init__(self, report_offset_ms):
        cap = {"max_share": 0.1, "step_ms": STEP_MS, "soak_ms": STEP_MS}
        intent = weights_intent(WEIGHTS, **cap)
        self.fleet = SimulatedFleet(
            make_snapshot(300.0, shift=intent), nodes=3, demand=60.0
        )
        self.start_ms = self.fleet.now_ms
        self.report_ms = self.start_ms + report_offset_ms
        self.round_ms = self.start_ms
        self.pending_reports = []
        self.earliest_ms = self.start_ms

    def run(self):
        """Run until the shift is complete and return how long it took.

        Stop after `MAX_DURATION_MS`.
        """
        while True:
            times = [
                self.report_ms,
                self.round_ms,
                *(a[0] for a in self.pending_reports[:1]),
            ]
            now_ms = min(times)
            if now_ms - self.start_ms > MAX_DURATION_MS:
                return now_ms - self.start_ms
            if self.pending_reports and self.pending_reports[0][0] == now_ms:
                self.deliver_reports(now_ms)
            elif now_ms == self.report_ms:
                self.send_reports(now_ms)
            elif self.run_round(now_ms):
                return now_ms - self.start_ms

    def send_reports(self, now_ms):
        fleet = self.fleet
        fleet.now_ms = now_ms - 1_000
        fleet.tick()
        reports = {n: node.collect_report(now_ms) for n, node in fleet.nodes.items()}
        self.pending_reports.append((now_ms + REPORT_DELAY_MS, reports))
        self.report_ms += REPORT_MS

    def deliver_reports(self, now_ms):
        fleet = self.fleet
        fleet.reports = self.pending_reports.pop(0)[1]
        if all_nodes_follow_step(fleet.plan, fleet.reports, fleet.nodes):
            self.round_ms = max(now_ms, self.earliest_ms)

    def run_round(self, now_ms):
        """Run one planning round; return whether the shift is complete."""
        fleet = self.fleet
        fleet.now_ms = now_ms
        made = Planner().plan(fleet.inputs(), now_ms)
        if made.decisions or should_store_plan(
            made.plan, fleet.plan, INTERVAL_MS, now_ms
        ):
            fleet.plan = made.plan
            for node in fleet.nodes.values():
                node.install_plan(fleet.plan, now_ms)
        self.earliest_ms = now_ms + SPACING_MS
        at_ms = self.earliest_ms
        self.round_ms = at_ms + next_round_wait_ms(
            fleet.plan, INTERVAL_MS, SPACING_MS, at_ms
        )
        return fleet.plan.services["suivi"].shift.phase is ShiftPhase.COMPLETE


@pytest.mark.parametrize("report_offset_ms", range(10, 1_000, 90))
def test_steps_end_early_at_any_offset_of_the_reports(report_offset_ms):
    timeline = Timeline(report_offset_ms)
    took_ms = timeline.run()
    steps = timeline.fleet.plan.services["suivi"].shift.steps_done
    assert steps >= 7
    assert took_ms <= steps * STEP_LIMIT_MS


def fleet_with_running_step(settled_at_ms):
    timeline = Timeline(0)
    fleet = timeline.fleet
    fleet.run(3, seconds=1)
    service = fleet.plan.services["suivi"]
    service.before = dict(service.slots)
    service.shift = msgspec.structs.replace(
        service.shift, settled_at_ms=settled_at_ms, step_ms=400, soak_ms=700
    )
    return fleet


def test_the_next_round_comes_when_a_step_has_soaked():
    fleet = fleet_with_running_step(settled_at_ms=50_000)
    assert next_round_wait_ms(fleet.plan, 1_000, 300, 50_100) == 600
    assert next_round_wait_ms(fleet.plan, 1_000, 300, 51_000) == 0
    assert next_round_wait_ms(fleet.plan, 500, 300, 50_100) == 200


def test_rounds_are_an_interval_apart_where_nothing_soaks():
    assert next_round_wait_ms(None, 1_000, 300, 50_000) == 700
    assert next_round_wait_ms(None, 100, 300, 50_000) == 0


def test_a_step_is_followed_once_the_report_of_each_node_began_after_it():
    fleet = fleet_with_running_step(settled_at_ms=0)
    step_start_ms = fleet.plan.services["suivi"].shift.step_at_ms
    assert all_nodes_follow_step(fleet.plan, fleet.reports, fleet.nodes) is (
        all(r.sent_at_ms - r.window_ms >= step_start_ms for r in fleet.reports.values())
    )
    fleet.plan.services["suivi"].shift.step_at_ms = 0
    assert all_nodes_follow_step(fleet.plan, fleet.reports, fleet.nodes)
    assert not all_nodes_follow_step(fleet.plan, fleet.reports, [*fleet.nodes, "new"])
    assert not all_nodes_follow_step(None, fleet.reports, fleet.nodes)
