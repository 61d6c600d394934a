"""Composition and lifecycle of a node."""

import logging

import gevent

from bilberry_core.clock import Clock, MonotonicWallClock, SystemClock
from bilberry_core.const import MS_PER_SECOND
from bilberry_fleet.events import SharedEntryReceived
from bilberry_fleet.task import FleetTask
from bilberry_steering.node import NodeSteering

from .admin.app import AdminApp
from .admin.audit import AuditTask
from .admin.auth import Authenticator
from .admin.health import HealthReporter
from .admin.resources import ResourceService
from .admission import AdmissionTask
from .components import make_api_store, make_fleet_settings, make_member, make_store
from .const import MAX_AUXILIARY_DRAIN_MS, SHUTDOWN_POLL_MS
from .fleet_events import FleetEventTask
from .forward.forwarder import Forwarder
from .http.limits import limits_from
from .http.server import Server
from .lookup import VmSelector
from .peer_app import PeerApp
from .planning import PlanningTask, PlanTrimmer
from .public_app import PublicApp
from .settings import Settings
from .state import NodeState
from .status_reporter import StatusReporter

_LOGGER = logging.getLogger(__name__)


class Node:
    """Create, start and stop all components of one node."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = MonotonicWallClock(clock or SystemClock())
        self.state = NodeState(settings, self.clock)
        self.is_shutdown_forced = False
        self.store = make_store(settings, self.clock)
        self.api_store = make_api_store(settings, self.clock)
        self.audit = AuditTask(self.api_store, self.clock, settings.node.name)
        self.steering = NodeSteering(
            settings.node.name,
            settings.node.region,
            settings.node.site_name,
            started_ms=self.clock.wall_ms(),
            member_bound=settings.steering.member_bound,
        )
        self.fleet = FleetTask(
            make_member(settings, self.clock),
            make_fleet_settings(settings),
            self.store,
            self.clock,
            trim_plan=PlanTrimmer().trim,
        )
        self.forwarder = Forwarder(self.state, self.steering, self.clock, self.store)
        self.forwarder.share_reports_through(self.fleet.share)
        self.vm_selector = VmSelector(self.state, self.steering)
        self.planning = PlanningTask(
            self.state,
            self.steering,
            self.fleet,
            self.audit,
            self.forwarder.endpoints.healthy_shares,
        )
        self.events = FleetEventTask(
            self.state,
            self.steering,
            self.fleet,
            self.planning,
            self.handle_shared_entry,
        )
        self.admission = AdmissionTask(self.state, self.steering, self.fleet)
        self.status_reporter = StatusReporter(
            self.state,
            self.fleet,
            self.planning,
            self.vm_selector,
            self.forwarder,
            self.store,
        )
        self.public_server = self.make_server(
            settings.listen.address, PublicApp(self.vm_selector, self.forwarder)
        )
        self.admin_server = self.make_server(
            settings.listen.admin_address, self.make_admin_app()
        )
        self.peer_server = self.make_server(
            settings.listen.peer_address, PeerApp(self.fleet, self.forwarder)
        )

    def make_server(self, address: str, application: object) -> Server:
        """Return a server with the limits from the settings."""
        return Server(
            address,
            application,
            max_connections=self.settings.limits.max_connections,
            limits=limits_from(self.settings.limits),
            clock=self.clock,
        )

    def make_admin_app(self) -> AdminApp:
        """Return the application for the admin address."""
        resources = ResourceService(
            self.api_store, self.audit, self.state, self.status_reporter.object_status
        )
        health = HealthReporter(
            self.state,
            self.fleet,
            self.status_reporter.overview,
            [self.status_reporter.update_metrics],
        )
        authenticator = Authenticator(self.settings.security.tokens)
        look_up = PublicApp(self.vm_selector, self.forwarder).look_up
        return AdminApp(resources, self.audit, authenticator, health, look_up)

    def handle_shared_entry(self, event: SharedEntryReceived) -> None:
        """Pass an entry shared by another node to the forwarder."""
        self.forwarder.merge_entry(event.entry)

    def start(self) -> None:
        """Bind the listeners and start all tasks."""
        for server in (self.public_server, self.admin_server, self.peer_server):
            server.start()
        self.store.start()
        self.api_store.start()
        self.audit.start()
        self.forwarder.start()
        self.events.start()
        self.planning.start()
        self.admission.start()
        self.fleet.start()
        _LOGGER.info(
            "node: Serving callers on %s, operators on %s, peers on %s.",
            self.public_server.bound_address,
            self.admin_server.bound_address,
            self.peer_server.bound_address,
        )

    def force_shutdown(self) -> None:
        """Stop waiting for requests in flight."""
        self.is_shutdown_forced = True
        self.public_server.force_shutdown()

    def close(self) -> bool:
        """Shut down gracefully; return whether no request was aborted."""
        self.state.is_leaving = True
        _LOGGER.info("node: Shutting down.")
        self.admission.close()
        self.fleet.leave()
        self.planning.send_report()
        self.public_server.start_draining()
        self.wait_until_idle()
        aborted_requests = self.public_server.drain(self.drain_limit_ms())
        self.planning.close()
        self.forwarder.close()
        self.fleet.close()
        self.events.close()
        self.audit.close()
        self.drain_auxiliary_servers()
        self.api_store.close()
        self.store.close()
        _LOGGER.info("node: Stopped, %s requests aborted.", aborted_requests)
        return aborted_requests == 0

    def drain_auxiliary_servers(self) -> None:
        """Finish the calls of other nodes and operators, or cut the long."""
        limit_ms = min(self.drain_limit_ms(), MAX_AUXILIARY_DRAIN_MS)
        servers = (self.peer_server, self.admin_server)
        gevent.joinall([gevent.spawn(server.drain, limit_ms) for server in servers])

    def drain_limit_ms(self) -> int:
        """Return how many ms the last requests may still take."""
        return 0 if self.is_shutdown_forced else self.settings.shutdown.limit_ms

    def wait_until_idle(self) -> None:
        """Wait until look-up answers have expired and no request runs.

        Until other nodes have learned that this one is leaving, they still
        return it in look-up answers; the grace period allows for that.
        """
        now_ms = self.clock.now_ms()
        earliest_end_ms = now_ms + self.settings.lookup.ttl_ms
        earliest_end_ms += self.settings.shutdown.grace_ms
        limit_ms = now_ms + self.settings.shutdown.limit_ms
        while not self.is_shutdown_forced and now_ms < limit_ms:
            if now_ms >= earliest_end_ms and self.forwarder.in_flight == 0:
                return
            gevent.sleep(SHUTDOWN_POLL_MS / MS_PER_SECOND)
            now_ms = self.clock.now_ms()
