"""State machine of a fleet node, without I/O."""

import msgspec

from bilberry_resources.model import StoredObject
from bilberry_store.wire import ObjectList, VmItem, WatchBatch

from .announcements import entry_fact, planner_fact
from .const import (
    FACT_KEY_PLANNER,
    FACT_PREFIX_ENTRY,
    FACT_PREFIX_MEMBER,
    FACT_PREFIX_RELAY_HEARTBEAT,
    KIND_PLAN,
    NAME_CURRENT_PLAN,
)
from .distribution import (
    ConfigState,
    PlanState,
    TrimPlan,
    plan_from_stored,
    return_whole_plan,
)
from .events import (
    ConfigInstalled,
    FleetEvent,
    MembersChanged,
    NodeReady,
    PlanInstalled,
    SharedEntryReceived,
)
from .facts import FactTable
from .membership import Membership
from .messages import (
    EMPTY_RAW,
    ConfigFreshness,
    Fact,
    Member,
    MemberState,
    PlannerAnnouncement,
    PlanRecord,
    PullRequest,
    PullResponse,
    RolloutStatus,
    SharedEntry,
)
from .pull_schedule import PullSchedule, PullTarget
from .read_schedule import ReadSchedule, StoreRead
from .readiness import Readiness
from .relay_tracker import RelayTracker
from .reports import MergeReports, ReportBuffer, return_unmerged
from .settings import FleetSettings
from .store_age import StoreAge


class FleetNode:
    """Process pulls, store reads and facts; emit fleet events."""

    __slots__ = (
        "admitted",
        "config",
        "cursors",
        "events",
        "facts",
        "last_unreachable",
        "membership",
        "outbox",
        "pending_report",
        "plan",
        "pull_schedule",
        "read_schedule",
        "readiness",
        "ready",
        "relay_tracker",
        "report_buffer",
        "seed_addresses",
        "settings",
        "store_age",
        "trim_plan",
        "unreachable_from_relay",
    )

    def __init__(
        self,
        member: Member,
        settings: FleetSettings,
        seed: int,
        merge_reports: MergeReports = return_unmerged,
        trim_plan: TrimPlan = return_whole_plan,
    ) -> None:
        self.settings = settings
        self.trim_plan = trim_plan
        self.facts = FactTable()
        self.membership = Membership(member, self.facts, settings)
        self.relay_tracker = RelayTracker(self.membership, self.facts)
        self.pull_schedule = PullSchedule(self.membership, seed)
        self.config = ConfigState()
        self.plan = PlanState()
        self.readiness = Readiness()
        self.read_schedule = ReadSchedule(
            self.config, self.readiness, settings, member.name
        )
        self.report_buffer = ReportBuffer(
            member.name, member.failure_domain, merge_reports
        )
        self.cursors: dict[tuple[str, bool], tuple[int, int]] = {}
        self.outbox: dict[str, Fact] = {}
        self.store_age = StoreAge(self.readiness, settings)
        self.unreachable_from_relay: list[str] = []
        self.last_unreachable: list[str] = []
        self.seed_addresses: list[str] = []
        self.pending_report = EMPTY_RAW
        self.events: list[FleetEvent] = []
        self.ready = False
        self.admitted = True

    @property
    def own(self) -> Member:
        """Return this node's own member record."""
        return self.membership.own

    @property
    def is_relay(self) -> bool:
        """Return whether this node is a relay of its failure domain."""
        return self.membership.is_relay()

    @property
    def should_read_store(self) -> bool:
        """Return whether this node should read the store itself."""
        return self.is_relay or not self.ready

    def start(self, now_ms: int, peers: list[str]) -> None:
        """Join the fleet through the peers at the given addresses."""
        self.membership.start(now_ms)
        self.queue_own_fact()
        self.seed_addresses = [a for a in peers if a != self.own.peer_address]
        self.pull_schedule.bootstrap_addresses = list(self.seed_addresses)

    def leave(self, now_ms: int) -> None:
        """Announce that this node is leaving."""
        self.membership.set_own_state(MemberState.LEAVING, now_ms)
        self.queue_own_fact()

    def queue_own_fact(self) -> None:
        """Queue this node's own fact for its relay."""
        fact = self.facts.get(FACT_PREFIX_MEMBER + self.own.name)
        assert fact is not None, "node not started"
        self.queue_fact(fact)

    def queue_fact(self, fact: Fact) -> None:
        """Queue a fact for the relay and request an immediate pull."""
        self.outbox[fact.key] = fact
        self.pull_schedule.urgent = True

    def share(self, entry: SharedEntry, wall_ms: int, now_ms: int) -> None:
        """Share a small value with every node."""
        fact = entry_fact(entry, wall_ms)
        if self.facts.put(fact, now_ms):
            self.queue_fact(fact)

    def announce_planner(self, epoch: int, now_ms: int) -> None:
        """Announce that this node holds the planner's lease."""
        fact = planner_fact(self.own.name, epoch)
        if self.facts.put(fact, now_ms):
            self.queue_fact(fact)

    def planner(self) -> Member | None:
        """Return the member that last announced itself as planner."""
        fact = self.facts.get(FACT_KEY_PLANNER)
        if fact is None:
            return None
        announcement = msgspec.json.decode(fact.body, type=PlannerAnnouncement)
        return self.membership.roster.get(announcement.name)

    def apply_request(self, request: PullRequest, now_ms: int) -> Fact | None:
        """Apply the facts, heartbeat and report in a pull request.

        Return the stored fact about the sender if it has to refute it.
        """
        for fact in request.facts:
            if self.apply_fact(fact, request.sender, now_ms) and not self.is_relay:
                self.queue_fact(fact)
        claim = self.membership.record_heartbeat(
            request.sender, request.incarnation, now_ms
        )
        self.relay_tracker.record_version(
            request.sender, request.relay, request.config_version, now_ms
        )
        if request.report != EMPTY_RAW:
            self.report_buffer.add(request.sender, request.report, now_ms)
        plan_order = (request.plan_epoch, request.plan_version)
        if request.config_version > self.config.version or plan_order > self.plan.order:
            self.pull_schedule.ahead_peer = request.sender
        return claim

    def apply_response(
        self,
        target: PullTarget,
        request: PullRequest,
        response: PullResponse,
        now_ms: int,
    ) -> None:
        """Apply the answer to a pull."""
        self.pull_schedule.record_end(target, False, now_ms)
        for fact in request.facts:
            if self.outbox.get(fact.key) == fact:
                del self.outbox[fact.key]
        for fact in response.facts:
            self.apply_fact(fact, "", now_ms, target.name)
        if target.name:
            cursor_key = (target.name, request.relay)
            self.cursors[cursor_key] = (response.incarnation, response.cursor)
            self.membership.last_heartbeat_ms[target.name] = now_ms
        self.readiness.record_peer(target.address, response.config_version)
        if response.store_age_ms >= 0:
            sent_ms = self.pull_schedule.states[target.kind].began_ms
            self.store_age.record_peer_age(response.store_age_ms, sent_ms)
        self.unreachable_from_relay = response.unreachable
        if response.plan is not None:
            self.apply_plan(response.plan)
        if response.config is not None and self.config.apply_delta(response.config):
            self.emit_config_installed()
        if self.outbox:
            self.pull_schedule.urgent = True
        self.update_readiness(now_ms)

    def record_pull_failure(
        self, target: PullTarget, request: PullRequest, now_ms: int
    ) -> None:
        """Record a failed pull; keep its report for the next one."""
        self.pull_schedule.record_end(target, True, now_ms)
        if self.pending_report == EMPTY_RAW:
            self.pending_report = request.report

    def apply_fact(
        self, fact: Fact, sender: str, now_ms: int, source: str = ""
    ) -> bool:
        """Apply a fact according to its kind; return whether it was newer."""
        if not self.facts.put(fact, now_ms, sender or source):
            return False
        if fact.key.startswith(FACT_PREFIX_MEMBER):
            self.membership.apply_fact(fact, sender, now_ms)
            if fact.key == FACT_PREFIX_MEMBER + self.own.name:
                self.publish_refutation(now_ms)
        elif fact.key.startswith(FACT_PREFIX_RELAY_HEARTBEAT):
            self.relay_tracker.record_heartbeat(fact, now_ms)
        elif fact.key.startswith(FACT_PREFIX_ENTRY):
            entry = msgspec.json.decode(fact.body, type=SharedEntry)
            self.events.append(SharedEntryReceived(entry))
        return True

    def publish_refutation(self, now_ms: int) -> None:
        """Send this node's refutation; rejoin if it was declared dead."""
        self.queue_own_fact()
        if self.own.state is MemberState.JOINING and self.ready:
            self.ready = False
            self.readiness.reset()
            self.pull_schedule.bootstrap_addresses = self.membership.relay_addresses()

    def config_freshness(self, now_ms: int) -> ConfigFreshness:
        """Return the source and age of this node's configuration."""
        return self.store_age.config_freshness(self.config.version, now_ms)

    def due_reads(self, now_ms: int) -> list[StoreRead]:
        """Return the store reads that are due."""
        if not self.should_read_store:
            return []
        if self.plan.is_partial:
            self.read_schedule.plan_version = 0
        self.read_schedule.update_turns(self.membership.store_readers, now_ms)
        return self.read_schedule.due(now_ms)

    def apply_list(self, read: StoreRead, listed: ObjectList, now_ms: int) -> None:
        """Apply a full list from the store."""
        if read.resource == KIND_PLAN:
            self.apply_plan_objects(read, listed.version, listed.items, now_ms)
            return
        known_version = self.config.kind_versions[read.resource]
        is_newer = self.config.apply_list(read.resource, listed)
        self.record_read(read, listed.version >= known_version, is_newer, now_ms)

    def apply_batch(self, read: StoreRead, batch: WatchBatch, now_ms: int) -> None:
        """Apply watched changes from the store."""
        if read.resource == KIND_PLAN:
            plans = [e.object for e in batch.events if not e.is_delete]
            self.apply_plan_objects(read, batch.version, plans, now_ms)
            return
        known_version = self.config.kind_versions[read.resource]
        is_newer = self.config.apply_batch(read.resource, batch)
        self.record_read(read, batch.version >= known_version, is_newer, now_ms)

    def record_read(
        self, read: StoreRead, is_current: bool, is_newer: bool, now_ms: int
    ) -> None:
        """Record a store read; a stale replica confirms nothing."""
        self.read_schedule.record_answer(read, is_current, now_ms)
        if is_current:
            self.readiness.record_store(read.resource, now_ms)
        if is_newer:
            self.emit_config_installed()
        self.update_readiness(now_ms)

    def apply_plan_objects(
        self, read: StoreRead, version: int, plans: list[StoredObject], now_ms: int
    ) -> None:
        """Apply the plan as stored."""
        is_current = version >= self.read_schedule.plan_version
        for stored in plans:
            if stored.metadata.name == NAME_CURRENT_PLAN:
                self.apply_plan(plan_from_stored(stored))
        if is_current:
            self.read_schedule.plan_version = version
        self.read_schedule.record_answer(read, is_current, now_ms)

    def record_read_failure(self, read: StoreRead, is_gone: bool, now_ms: int) -> None:
        """Record a failed read, or one whose history the store dropped."""
        if is_gone:
            self.read_schedule.record_gone(read, now_ms)
            return
        self.read_schedule.record_failure(read, now_ms)
        self.readiness.store_failed = True
        self.update_readiness(now_ms)

    def apply_plan(self, plan: PlanRecord) -> None:
        """Install a newer plan."""
        if self.plan.apply(plan):
            self.events.append(PlanInstalled(plan))

    def apply_vm_list(self, read: StoreRead, items: list[VmItem], now_ms: int) -> None:
        """Apply the platform's VM list; pull from unknown VMs on it."""
        self.read_schedule.record_answer(read, True, now_ms)
        if self.membership.apply_vm_list(items, self.unreachable(now_ms), now_ms):
            self.queue_own_fact()
        if not self.pull_schedule.bootstrap_addresses:
            self.pull_schedule.schedule_bootstrap(
                self.membership.unknown_addresses(items), self.membership.is_alone()
            )

    def emit_config_installed(self) -> None:
        """Emit the event for a newer configuration."""
        event = ConfigInstalled(self.config.version, self.config.installed_entries())
        self.events.append(event)

    def update_readiness(self, now_ms: int) -> None:
        """Become ready once the highest version found is installed."""
        if self.ready:
            return
        peers = len(self.readiness.peers) + len(self.pull_schedule.bootstrap_addresses)
        if self.readiness.is_ready(self.config.version, peers):
            self.ready = True
            self.pull_schedule.bootstrap_addresses = []
            self.events.append(NodeReady())
            self.go_live(now_ms)

    def admit(self, now_ms: int) -> None:
        """Allow this node to go live once it is ready."""
        self.admitted = True
        self.go_live(now_ms)

    def go_live(self, now_ms: int) -> None:
        """Announce this node as live if it is ready and admitted."""
        is_joining = self.own.state is MemberState.JOINING
        if self.ready and self.admitted and is_joining:
            self.membership.set_own_state(MemberState.LIVE, now_ms)
            self.queue_own_fact()

    def tick(self, now_ms: int) -> None:
        """Run the periodic work; emit an event if the roster changed."""
        self.membership.tick(now_ms)
        withdrawn_status = self.relay_tracker.tick(self.config.version, now_ms)
        if withdrawn_status is not None:
            self.queue_fact(withdrawn_status)
        self.facts.expire(now_ms)
        if self.membership.is_alone() and not self.pull_schedule.bootstrap_addresses:
            self.pull_schedule.schedule_bootstrap(self.seed_addresses, True)
        unreachable = self.unreachable(now_ms)
        if self.membership.roster_changed or unreachable != self.last_unreachable:
            self.membership.roster_changed = False
            self.last_unreachable = unreachable
            self.events.append(MembersChanged(self.members(now_ms)))

    def unreachable(self, now_ms: int) -> list[str]:
        """Return the failure domains that are unreachable from here."""
        if self.is_relay:
            return self.relay_tracker.unreachable(now_ms)
        return self.unreachable_from_relay

    def members(self, now_ms: int) -> list[Member]:
        """Return all members, live ones that are unreachable as suspect."""
        return self.membership.members(self.unreachable(now_ms))

    def rollout_status(self, version: int) -> RolloutStatus:
        """Return how many live sites installed `version`, as relays report."""
        return self.relay_tracker.rollout_status(version)

    def pop_events(self) -> list[FleetEvent]:
        """Return the events since the last call."""
        events, self.events = self.events, []
        return events
