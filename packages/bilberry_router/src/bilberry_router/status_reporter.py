"""Status, overview and metrics of the node for operators."""

from dataclasses import dataclass

from bilberry_fleet.task import FleetTask
from bilberry_resources.const import KIND_INTENT
from bilberry_resources.model import Condition, ConditionStatus, Status, StoredObject
from bilberry_steering.inputs import ShiftStatus
from bilberry_steering.messages import ShiftPhase
from bilberry_store.client import StoreClient

from .admin.health import MetricSet
from .admin.overview import Overview, RegionLoad, SiteVersion, UpstreamLoad
from .admin.status import build_object_status
from .forward.forwarder import Forwarder
from .lookup import VmSelector
from .planning import PlanningTask
from .state import NodeState

CONDITION_SHIFT = "Shift"
REASON_NO_PLAN = "NoPlan"


@dataclass(slots=True, frozen=True)
class GaugeValue:
    """Represent the value of one metric without labels."""

    name: str
    doc: str
    value: float


class StatusReporter:
    """Collect status, overview and metrics from the node's components."""

    def __init__(
        self,
        state: NodeState,
        fleet: FleetTask,
        planning: PlanningTask,
        vm_selector: VmSelector,
        forwarder: Forwarder,
        store: StoreClient,
    ) -> None:
        self.state = state
        self.fleet = fleet
        self.planning = planning
        self.vm_selector = vm_selector
        self.forwarder = forwarder
        self.store = store

    def object_status(self, stored: StoredObject) -> Status:
        """Return the rollout status of an object."""
        rollout = self.fleet.rollout_status(stored.metadata.version)
        extra = None
        if stored.kind == KIND_INTENT:
            extra = self.shift_status(stored.metadata.name)
        return build_object_status(
            stored, rollout.sites_applied, rollout.sites_total, extra
        )

    def shift_status(self, intent: str) -> Status:
        """Return the progress of an intent's shift in the last plan."""
        shift = self.planning.shift_status(intent)
        progress = shift.progress if shift else 0.0
        return Status(progress=progress, conditions=[shift_condition(shift)])

    def overview(self) -> Overview:
        """Return the overview for operators."""
        plan = self.planning.plan
        freshness = self.fleet.config_freshness()
        return Overview(
            node=self.state.settings.node.name,
            config_version=self.state.snapshot.version,
            config_source=freshness.source.value,
            plan_epoch=plan.epoch if plan else 0,
            plan_version=plan.version if plan else 0,
            planner=self.fleet.is_planner(),
            regions=self.region_loads(),
            upstreams=self.upstream_loads(),
            sites=self.site_versions(),
        )

    def region_loads(self) -> list[RegionLoad]:
        """Return each region's planned load by service."""
        loads = self.planning.loads()
        found = []
        for region, spec in sorted(self.state.snapshot.regions.items()):
            for service, capacity in sorted(spec.capacity_per_s.items()):
                load = loads.region_load(service, region)
                headroom = 1.0 - load / capacity if capacity else 0.0
                found.append(RegionLoad(region, service, capacity, load, headroom))
        return found

    def upstream_loads(self) -> list[UpstreamLoad]:
        """Return the state and load of each upstream, as this node sees it."""
        found = []
        for (service, region), pool in self.forwarder.endpoints.pools.items():
            for name, endpoint in pool.endpoints.items():
                spec = self.state.snapshot.upstreams.get(name)
                found.append(
                    UpstreamLoad(
                        name=name,
                        service=service,
                        region=region,
                        state=spec.state.value if spec else "",
                        health=endpoint.health.value,
                        slots=endpoint.share.slots,
                        in_flight=endpoint.in_flight,
                    )
                )
        return sorted(found, key=lambda upstream: upstream.name)

    def site_versions(self) -> list[SiteVersion]:
        """Return the configuration version applied by each site."""
        regions = {m.site: m.region for m in self.fleet.members()}
        found = [
            SiteVersion(
                name, regions.get(name, ""), count.members, count.lowest_version
            )
            for name, count in self.fleet.site_counts().items()
        ]
        return sorted(found, key=lambda site: site.name)

    def update_metrics(self, metrics: MetricSet) -> None:
        """Set the current values of the node's metrics."""
        for gauge in self.gauges():
            metrics.set_gauge(gauge.name, gauge.doc, gauge.value)
        for operation, calls in self.store.stats.calls.items():
            doc = "Calls of the store for the node's own work."
            metrics.set_gauge(
                "bilberry_store_calls_total", doc, calls, operation=operation
            )

    def gauges(self) -> list[GaugeValue]:
        """Return the metrics that have no labels."""
        stats = self.store.stats
        peers = self.fleet.peer_client.traffic
        store = self.store.session.byte_counter
        return [
            GaugeValue(
                "bilberry_config_version",
                "Version of the installed configuration.",
                self.state.snapshot.version,
            ),
            GaugeValue(
                "bilberry_lookups_total",
                "Look-ups answered.",
                self.vm_selector.answer_count,
            ),
            GaugeValue(
                "bilberry_requests_in_flight",
                "Requests being forwarded.",
                self.forwarder.in_flight,
            ),
            GaugeValue(
                "bilberry_plan_rounds_total",
                "Plans made and stored by this node.",
                self.planning.stored_plans,
            ),
            GaugeValue(
                "bilberry_plan_rounds_failed_total",
                "Plans made that could not be stored.",
                self.planning.failed_plans,
            ),
            GaugeValue(
                "bilberry_store_outages_total", "Outages of the store.", stats.outages
            ),
            GaugeValue(
                "bilberry_store_bytes_total",
                "Bytes to and from the store for the node's own work.",
                store.sent_bytes + store.received_bytes,
            ),
            GaugeValue(
                "bilberry_peer_bytes_total",
                "Bytes of calls to other nodes, both ways.",
                peers.sent_bytes + peers.received_bytes,
            ),
        ]


def shift_condition(shift: ShiftStatus | None) -> Condition:
    """Return the condition for the phase of an intent's shift."""
    if shift is None:
        return Condition(
            type=CONDITION_SHIFT,
            status=ConditionStatus.UNKNOWN,
            reason=REASON_NO_PLAN,
            message="no plan has taken it up yet",
        )
    complete = shift.phase is ShiftPhase.COMPLETE
    return Condition(
        type=CONDITION_SHIFT,
        status=ConditionStatus.TRUE if complete else ConditionStatus.FALSE,
        reason=shift.phase.value,
        message=shift.reason,
    )
