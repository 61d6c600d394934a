"""JSON messages between planner and nodes: `Plan` and `NodeReport`.

A plan contains the planner's whole state: another planner resumes from the
last one stored. Rates are requests or bytes per second, times are wall
clock milliseconds.
"""

from enum import StrEnum

import msgspec

from .const import DEFAULT_FLOOR_VALID_MS, DEFAULT_PLAN_VALID_MS


class PlanRef(msgspec.Struct, frozen=True, order=True):
    """Identify a plan; ordered by the lease's epoch, then by version."""

    epoch: int = 0
    version: int = 0


class ShiftPhase(StrEnum):
    """Represent the phase of a service's shift."""

    IDLE = "idle"
    MOVING = "moving"
    HOLDING = "holding"
    PAUSED = "paused"
    ROLLED_BACK = "rolled-back"
    COMPLETE = "complete"


class ReservedQuota(msgspec.Struct):
    """Represent amounts of earlier plans that a node may still use.

    They stem from plans up to `version` and expire at `until_ms`.
    """

    amounts: list[float]
    until_ms: int
    version: int


class NodeQuota(msgspec.Struct, omit_defaults=True):
    """Represent a node's quotas, in the order of `Plan.resources`.

    `held` are the amounts of earlier plans that the node may still follow,
    `floors` the amounts that it keeps after those plans have expired.
    """

    region: str
    amounts: list[float]
    held: list[ReservedQuota] = []
    floors: list[ReservedQuota] = []


class Spill(msgspec.Struct, omit_defaults=True):
    """Represent the fraction of a region's callers that go elsewhere.

    `targets` are the other regions with their weights. `lost` is true from
    the loss of the region until its callers have returned.
    """

    fraction: float
    targets: dict[str, float]
    lost: bool = False


class ShiftState(msgspec.Struct, omit_defaults=True):
    """Represent the progress of a service's shift.

    `signature` identifies the shares that the active intents ask for.
    `targets` are the wanted slots of each group by region index.
    """

    phase: ShiftPhase = ShiftPhase.IDLE
    reason: str = ""
    signature: str = ""
    intents: list[str] = []
    targets: dict[str, list[int]] = {}
    step: int = 0
    steps_done: int = 0
    step_version: int = 0
    step_at_ms: int = 0
    settled_at_ms: int = 0
    breach_at_ms: int = 0
    start_slots: int = 0
    max_share: float = 1.0
    max_rate_per_s: float | None = None
    step_ms: int = 0
    soak_ms: int = 0


class ServicePlan(msgspec.Struct, omit_defaults=True):
    """Represent the routing of one service.

    `slots` maps a group to its runs of hash slots, [region index, count,
    ...]; `before` holds the runs from before the running step.
    """

    slots: dict[str, list[int]]
    before: dict[str, list[int]] = {}
    closed: list[str] = []
    spill: dict[str, Spill] = {}
    failover: dict[str, dict[str, float]] = {}
    shift: ShiftState = msgspec.field(default_factory=ShiftState)
    demand_per_s: dict[str, float] = {}


class Plan(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Represent the shares, quotas and shift states of all services.

    `floors` is, by region and resource, the share of their amounts that
    nodes keep after the plan has expired. A `partial` plan contains the
    quotas of a single node.
    """

    epoch: int
    version: int
    config_version: int
    made_at_ms: int
    valid_ms: int = DEFAULT_PLAN_VALID_MS
    floor_valid_ms: int = DEFAULT_FLOOR_VALID_MS
    regions: list[str] = []
    resources: list[str] = []
    capacities: list[float] = []
    floors: dict[str, list[float]] = {}
    services: dict[str, ServicePlan] = {}
    nodes: dict[str, NodeQuota] = {}
    partial: bool = False

    @property
    def ref(self) -> PlanRef:
        """Return the epoch and version of the plan."""
        return PlanRef(self.epoch, self.version)

    @property
    def expires_ms(self) -> int:
        """Return the time at which quotas fall to their floors."""
        return self.made_at_ms + self.valid_ms

    def for_node(self, node: str) -> "Plan":
        """Return the plan with only the quotas of `node`.

        Relays send this form to the node itself; it isn't forwarded.
        """
        own = {node: self.nodes[node]} if node in self.nodes else {}
        return msgspec.structs.replace(self, nodes=own, partial=True)


class Demand(msgspec.Struct, omit_defaults=True):
    """Count the requests of a service and group in a report window."""

    service: str
    group: str
    requests: float = 0
    shed: float = 0
    moved: float = 0
    held_back: float = 0


class Flow(msgspec.Struct, omit_defaults=True):
    """Count the results of a service, group and region in a window.

    `latency_ms` is the sum over all results.
    """

    service: str
    group: str
    region: str
    served: float = 0
    errors: float = 0
    latency_ms: float = 0

    def add(self, ok: bool, latency_ms: float) -> None:
        """Count one result."""
        self.served += 1
        self.latency_ms += latency_ms
        if not ok:
            self.errors += 1


class NodeReport(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Represent a node's counts of a window and the plan that it follows.

    `health` is the healthy share of its region's slots by service.
    """

    node: str
    region: str
    site: str = ""
    sent_at_ms: int
    window_ms: int
    started_at_ms: int = 0
    plan: PlanRef = PlanRef()
    demands: list[Demand] = []
    flows: list[Flow] = []
    link_bytes: dict[str, float] = {}
    health: dict[str, float] = {}
