"""Send node reports, and plan while this node holds the lease."""

import logging
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.outcome import Failure
from bilberry_fleet.messages import Member as FleetMember
from bilberry_fleet.messages import MemberState, PlanRecord, ReportBatch
from bilberry_fleet.task import FleetTask
from bilberry_resources.codec import decode, encode
from bilberry_steering.const import MAX_CLOCK_SKEW_MS
from bilberry_steering.health import region_health
from bilberry_steering.inputs import (
    Decision,
    Member,
    PlannerInputs,
    ShiftStatus,
)
from bilberry_steering.loads import Loads, add_service_loads
from bilberry_steering.messages import NodeReport, Plan
from bilberry_steering.node import NodeSteering
from bilberry_steering.planner import Planner, shift_statuses
from bilberry_steering.round_schedule import (
    all_nodes_follow_step,
    next_round_wait_ms,
    should_store_plan,
)
from bilberry_steering.topology import region_names

from .admin.audit import RESULT_ACCEPTED, AuditTask
from .state import NodeState

_LOGGER = logging.getLogger(__name__)

MIN_ROUND_SPACING_MS = 300

KIND_PLAN = "plan"
ACTION_DECISION = "decision"
ACTOR_PLANNER = "planner"
SENDING_STATES = (
    MemberState.JOINING,
    MemberState.LIVE,
    MemberState.SUSPECT,
    MemberState.LEAVING,
)

HealthSource = Callable[[], dict[tuple[str, str], float]]


class PlanningTask:
    """Send reports of this node, and make plans from all nodes' reports."""

    def __init__(
        self,
        state: NodeState,
        steering: NodeSteering,
        fleet: FleetTask,
        audit: AuditTask,
        health: HealthSource,
    ) -> None:
        self.state = state
        self.steering = steering
        self.fleet = fleet
        self.audit = audit
        self.health = health
        self.planner = Planner()
        self.plan: Plan | None = None
        self.epoch = 0
        self.reports: dict[str, NodeReport] = {}
        self.stored_plans = 0
        self.failed_plans = 0
        self.round_requested = Event()
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start reporting, and planning whenever the lease is held."""
        settings = self.state.settings
        report_ms = settings.fleet.report_ms
        self.greenlets = [
            gevent.spawn(repeat, report_ms, self.send_report),
            gevent.spawn(self.plan_loop, settings.steering.plan_interval_ms),
        ]

    def close(self) -> None:
        """Stop reporting and planning."""
        gevent.killall(self.greenlets)
        self.greenlets.clear()

    def plan_loop(self, interval_ms: int) -> None:
        """Run a planning round at each interval and on request.

        A round also runs when the soak time of a shift's step is over.
        """
        while True:
            now_ms = self.state.clock.wall_ms()
            wait_ms = next_round_wait_ms(
                self.plan, interval_ms, MIN_ROUND_SPACING_MS, now_ms
            )
            self.round_requested.wait(wait_ms / MS_PER_SECOND)
            self.round_requested.clear()
            self.run_round()
            gevent.sleep(MIN_ROUND_SPACING_MS / MS_PER_SECOND)

    def request_round(self) -> None:
        """Request a planning round soon, as its inputs have changed."""
        self.round_requested.set()

    def send_report(self) -> None:
        """Send the counts since the last report of this node."""
        report = self.steering.collect_report(self.state.clock.wall_ms())
        region = self.state.settings.node.region
        report.health = {
            service: share
            for (service, report_region), share in self.health().items()
            if report_region == region
        }
        self.fleet.send_report(encode(report))

    def store_reports(self, batch: ReportBatch) -> None:
        """Store the newest report of each node."""
        for carried in batch.reports:
            decoded = decode(carried.body, NodeReport)
            if isinstance(decoded, Failure):
                _LOGGER.warning(
                    "plan: Ignored invalid report from %s: %s",
                    carried.sender,
                    decoded.failure(),
                )
                continue
            report = decoded.unwrap()
            previous = self.reports.get(report.node)
            if previous is None or previous.sent_at_ms <= report.sent_at_ms:
                self.reports[report.node] = report
        live = [member.name for member in self.fleet.members() if may_send(member)]
        if self.epoch and all_nodes_follow_step(self.plan, self.reports, live):
            self.request_round()

    def receive_plan(self, record: PlanRecord) -> None:
        """Install a received plan."""
        if bytes(record.body) == b"null":
            return
        decoded = decode(record.body, Plan)
        if isinstance(decoded, Failure):
            _LOGGER.warning("plan: Rejected invalid plan: %s", decoded.failure())
            return
        plan = decoded.unwrap()
        if self.plan is None or plan.ref >= self.plan.ref:
            self.plan = plan
        installed = self.steering.install_plan(plan, self.state.clock.wall_ms())
        if isinstance(installed, Failure):
            _LOGGER.debug("plan: Could not install the plan: %s.", installed.failure())

    def start_planning(self, epoch: int) -> None:
        """Start planning under a lease; discard reports from before it."""
        self.epoch = epoch
        self.reports.clear()
        self.request_round()
        _LOGGER.info("plan: Acquired the lease for epoch %s.", epoch)

    def stop_planning(self) -> None:
        """Stop planning."""
        self.epoch = 0
        _LOGGER.info("plan: Lost the lease.")

    def run_round(self) -> None:
        """Run one planning round if this node holds the lease."""
        if not self.epoch or not self.state.is_configured:
            return
        if not self.fleet.is_planner():
            return
        self.warn_if_over_member_bound()
        if self.plan is not None and self.plan.partial:
            _LOGGER.warning("plan: Skipped a round, the current plan is incomplete.")
            return
        now_ms = self.state.clock.wall_ms()
        made = self.planner.plan(self.inputs(now_ms), now_ms)
        interval_ms = self.state.settings.steering.plan_interval_ms
        due = should_store_plan(made.plan, self.plan, interval_ms, now_ms)
        if not made.decisions and not due:
            return
        published = self.fleet.publish_plan(encode(made.plan), self.epoch)
        if isinstance(published, Failure):
            self.failed_plans += 1
            _LOGGER.warning(
                "plan: Could not store the plan: %s", published.failure().reason
            )
            return
        self.stored_plans += 1
        self.receive_plan(published.unwrap())
        if self.has_recent_members(now_ms):
            gevent.spawn_later(MAX_CLOCK_SKEW_MS / MS_PER_SECOND, self.request_round)
        for decision in made.decisions:
            self.record_decision(decision)

    def warn_if_over_member_bound(self) -> None:
        """Warn when more nodes run than the quotas allow for."""
        running = sum(may_send(member) for member in self.fleet.members())
        max_nodes = self.state.settings.steering.member_bound
        if running > max_nodes:
            _LOGGER.warning(
                "plan: %s nodes exceed steering.member_bound of %s.", running, max_nodes
            )

    def has_recent_members(self, now_ms: int) -> bool:
        """Return whether a node is too new to accept a plan made now."""
        return any(
            member.incarnation + MAX_CLOCK_SKEW_MS > now_ms
            for member in self.fleet.members()
            if may_send(member)
        )

    def inputs(self, now_ms: int) -> PlannerInputs:
        """Return the inputs of a planning round."""
        live = [to_planner_member(m) for m in self.fleet.members() if may_send(m)]
        planned = self.plan.nodes if self.plan else {}
        return PlannerInputs(
            snapshot=self.state.snapshot,
            reports=dict(self.reports),
            live_members=live,
            previous_plan=self.plan,
            epoch=self.epoch,
            region_health=region_health(
                self.state.snapshot, self.reports, self.health(), now_ms
            ),
            departed_nodes=self.fleet.departed(planned),
            member_bound=self.state.settings.steering.member_bound,
            objective=self.state.settings.steering.objective,
        )

    def record_decision(self, decision: Decision) -> None:
        """Log a decision and append it to the audit trail."""
        _LOGGER.info(
            "plan: %s %s: %s.", decision.subject, decision.action, decision.reason
        )
        entry = self.audit.new_entry(
            who=ACTOR_PLANNER,
            action=ACTION_DECISION,
            kind=KIND_PLAN,
            name=decision.subject,
            after={"action": decision.action, "plan": str(self.plan_ref())},
            result=RESULT_ACCEPTED,
            detail=decision.reason,
        )
        appended = self.audit.append(entry)
        if isinstance(appended, Failure):
            _LOGGER.warning("plan: Could not audit a decision.")

    def shift_status(self, intent: str) -> ShiftStatus | None:
        """Return an intent's status in the last plan, None if unknown."""
        if self.plan is None:
            return None
        inputs = PlannerInputs(self.state.snapshot, {}, [], previous_plan=self.plan)
        services = self.plan.services
        if self.state.snapshot.services.keys() - services.keys():
            return None
        return shift_statuses(inputs, services).get(intent)

    def loads(self) -> Loads:
        """Return the loads on regions and links under the last plan."""
        loads = Loads()
        snapshot = self.state.snapshot
        if self.plan is None or self.plan.regions != region_names(snapshot):
            return loads
        for name, service in self.plan.services.items():
            if name in snapshot.services:
                add_service_loads(
                    loads,
                    snapshot,
                    name,
                    service.slots,
                    service.spill,
                    service.demand_per_s,
                )
        return loads

    def plan_ref(self) -> str:
        """Return epoch and version of the installed plan as text."""
        if self.plan is None:
            return "none"
        return f"{self.plan.epoch}.{self.plan.version}"


class PlanTrimmer:
    """Reduce plans for single nodes, caching the last decoded plan."""

    __slots__ = ("body", "plan")

    def __init__(self) -> None:
        self.body: msgspec.Raw | None = None
        self.plan: Plan | None = None

    def trim(self, body: msgspec.Raw, node: str) -> msgspec.Raw:
        """Return the plan with only the quotas of `node`."""
        if body is not self.body:
            self.body = body
            self.plan = decode(body, Plan).value_or(None)
        if self.plan is None:
            return body
        return msgspec.Raw(encode(self.plan.for_node(node)))


def repeat(period_ms: int, action: Callable[[], None]) -> None:
    """Call `action` after each period, until it raises."""
    while True:
        gevent.sleep(period_ms / MS_PER_SECOND)
        action()


def may_send(member: FleetMember) -> bool:
    """Return whether a member may still send requests to upstreams."""
    return member.state in SENDING_STATES


def to_planner_member(member: FleetMember) -> Member:
    """Return the member in the planner's representation."""
    return Member(member.name, member.region, member.site)
