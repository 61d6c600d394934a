"""Run a fleet node: its greenlets, connections and store reads."""

import logging
from collections.abc import Iterable

import gevent
import msgspec
from gevent.event import Event
from gevent.queue import Queue

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import stable_hash
from bilberry_core.outcome import Failure, Result, Success
from bilberry_store.client import StoreClient

from .auth import Signer
from .distribution import TrimPlan, return_whole_plan
from .events import FleetEvent, ReportsReceived
from .lease_task import LeaseTask
from .messages import (
    ConfigFreshness,
    Member,
    PlanRecord,
    PullRequest,
    PullResponse,
    ReportBatch,
    RolloutStatus,
    SharedEntry,
    SiteCount,
)
from .node import FleetNode
from .peers import PeerClient
from .planner import PlanError
from .pull_exchange import has_updates, make_request, make_response
from .pull_schedule import PullTarget
from .reports import MergeReports, return_unmerged
from .server import PeerResponse, PeerServer
from .settings import FleetSettings
from .status import count_sites
from .store_reader import StoreReader

_LOGGER = logging.getLogger(__name__)


class FleetTask:
    """Run a fleet node and publish its events to the `events` queue."""

    __slots__ = (
        "clock",
        "events",
        "greenlets",
        "last_versions",
        "lease",
        "node",
        "peer_client",
        "pull_greenlets",
        "server",
        "settings",
        "store",
        "store_reader",
        "update_event",
    )

    def __init__(
        self,
        member: Member,
        settings: FleetSettings,
        store: StoreClient,
        clock: Clock,
        merge_reports: MergeReports = return_unmerged,
        trim_plan: TrimPlan = return_whole_plan,
    ) -> None:
        self.settings = settings
        self.store = store
        self.clock = clock
        if not member.incarnation:
            member = msgspec.structs.replace(member, incarnation=clock.wall_ms())
        seed = stable_hash(member.name)
        self.node = FleetNode(member, settings, seed, merge_reports, trim_plan)
        self.events: Queue[FleetEvent] = Queue()
        signer = Signer(settings.shared_keys, clock, settings.auth_skew_ms)
        self.peer_client = PeerClient(signer, settings.pull_timeout_ms)
        self.server = PeerServer(
            signer, self.on_pull, self.on_reports, self.local_rollout_status
        )
        self.store_reader = StoreReader(self.node, store, clock, self.publish_changes)
        self.lease = LeaseTask(self.node, store, clock, self.events.put)
        self.update_event = Event()
        self.last_versions: tuple[int, ...] = ()
        self.greenlets: list[gevent.Greenlet] = []
        self.pull_greenlets: set[gevent.Greenlet] = set()

    def start(self) -> None:
        """Join the fleet; the store client must be started already."""
        self.node.start(self.clock.now_ms(), self.settings.seed_peers)
        self.lease.start()
        for loop in (self.tick_loop, self.report_loop):
            self.greenlets.append(gevent.spawn(loop))

    def close(self) -> None:
        """Release the lease and stop all greenlets."""
        self.lease.close()
        self.store_reader.close()
        gevent.killall([*self.greenlets, *self.pull_greenlets])
        self.greenlets.clear()
        self.pull_greenlets.clear()
        self.peer_client.close()

    def delay_admission(self) -> None:
        """Remain a joining member, even if ready, until `admit` is called."""
        self.node.admitted = False

    def admit(self) -> None:
        """Allow this node to go live once it is ready."""
        self.node.admit(self.clock.now_ms())
        self.publish_changes()

    def leave(self) -> None:
        """Release the lease and announce that this node is leaving."""
        self.lease.close()
        self.node.leave(self.clock.now_ms())
        self.publish_changes()

    def handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> PeerResponse:
        """Handle a call of another node; blocks while a pull is held."""
        return self.server.handle(method, path, headers, body)

    def publish_plan(self, body: bytes, epoch: int) -> Result[PlanRecord, PlanError]:
        """Publish a plan, a JSON value, under the lease's epoch."""
        result = self.lease.publish(body, epoch)
        self.publish_changes()
        return result

    def is_planner(self) -> bool:
        """Return whether this node may plan now."""
        return self.lease.is_planner()

    def send_report(self, body: bytes) -> None:
        """Send a JSON report to the planner; replace an earlier unsent one."""
        report = msgspec.Raw(body)
        if self.node.is_relay:
            now_ms = self.clock.now_ms()
            self.node.report_buffer.add(self.node.own.name, report, now_ms)
        else:
            self.node.pending_report = report

    def share(self, entry: SharedEntry) -> None:
        """Share a small value with every node."""
        self.node.share(entry, self.clock.wall_ms(), self.clock.now_ms())
        self.publish_changes()

    def members(self) -> list[Member]:
        """Return the roster as this node sees it."""
        return self.node.members(self.clock.now_ms())

    def departed(self, names: Iterable[str]) -> frozenset[str]:
        """Return those of `names` whose VM is silent and no longer listed."""
        return frozenset(filter(self.node.membership.is_departed, names))

    def is_ready(self) -> bool:
        """Return whether the newest configuration found is installed."""
        return self.node.ready

    def config_freshness(self) -> ConfigFreshness:
        """Return the source and age of this node's configuration."""
        return self.node.config_freshness(self.clock.now_ms())

    def rollout_status(self, version: int) -> RolloutStatus:
        """Return how many sites installed a version, asking a relay if needed.

        If no relay answers, no site counts as having it.
        """
        local = self.local_rollout_status(version)
        if self.node.is_relay:
            return local
        for name in self.node.membership.relays():
            address = self.node.membership.roster[name].peer_address
            answer = self.peer_client.rollout_status(address, version)
            if isinstance(answer, Success):
                return answer.unwrap()
        return local

    def site_counts(self) -> dict[str, SiteCount]:
        """Return the member count and lowest version of each known site."""
        return count_sites(self.node.relay_tracker.statuses())

    def local_rollout_status(self, version: int) -> RolloutStatus:
        """Return how many sites installed a version, as known here."""
        return self.node.rollout_status(version)

    def publish_changes(self) -> None:
        """Publish events, start due reads and pulls, and wake held pulls."""
        for event in self.node.pop_events():
            self.events.put(event)
        self.start_due()
        node = self.node
        last_versions = (node.config.version, *node.plan.order, node.facts.sequence)
        if last_versions != self.last_versions:
            self.last_versions = last_versions
            self.update_event.set()
            self.update_event = Event()

    def start_due(self) -> None:
        """Start the reads and pulls that are due."""
        self.store_reader.start_due_reads()
        for target in self.node.pull_schedule.due(self.clock.now_ms()):
            greenlet = gevent.spawn(self.pull, target)
            self.pull_greenlets.add(greenlet)
            greenlet.link(self.pull_greenlets.discard)

    def tick_loop(self) -> None:
        """Run the node's periodic work."""
        while True:
            self.node.tick(self.clock.now_ms())
            self.publish_changes()
            gevent.sleep(self.settings.tick_ms / MS_PER_SECOND)

    def pull(self, target: PullTarget) -> None:
        """Pull from one peer and apply its answer."""
        request = make_request(self.node, target)
        result = self.peer_client.pull(target.address, request)
        now_ms = self.clock.now_ms()
        if isinstance(result, Failure):
            reason = result.failure().reason
            _LOGGER.info("fleet: pull from %s failed: %s", target.address, reason)
            self.node.record_pull_failure(target, request, now_ms)
        else:
            self.node.apply_response(target, request, result.unwrap(), now_ms)
        self.publish_changes()

    def on_pull(self, request: PullRequest) -> PullResponse:
        """Answer a pull once there are updates or its hold time is over."""
        began_ms = self.clock.now_ms()
        claim = self.node.apply_request(request, began_ms)
        self.publish_changes()
        hold_ms = min(request.hold_ms, self.settings.poll_hold_ms)
        until_ms = began_ms + hold_ms
        while claim is None and not has_updates(self.node, request):
            remaining_ms = until_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                break
            self.update_event.wait(remaining_ms / MS_PER_SECOND)
        return make_response(self.node, request, claim, self.clock.now_ms())

    def on_reports(self, batch: ReportBatch) -> None:
        """Publish a relay's reports to the planner in this process."""
        self.events.put(ReportsReceived(batch))

    def report_loop(self) -> None:
        """Send the buffered reports to the planner periodically."""
        while True:
            gevent.sleep(self.settings.report_ms / MS_PER_SECOND)
            planner = self.node.planner()
            if planner is None:
                continue
            batch = self.node.report_buffer.pop_batch(self.clock.now_ms())
            if batch is None:
                continue
            if planner.name == self.node.own.name:
                self.on_reports(batch)
            else:
                self.peer_client.send_reports(planner.peer_address, batch)
