"""Build and run one entry node."""

import logging
from dataclasses import dataclass

import gevent
from gevent import Greenlet

from bilberry_balance.placement.distances import Location
from bilberry_balance.placement.upstream import Upstream
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import stable_hash
from bilberry_fleet.discovery.config import ConfigListener
from bilberry_fleet.discovery.feed import Feed
from bilberry_fleet.discovery.feed_listener import FeedListener
from bilberry_fleet.discovery.messages import NodeInfo
from bilberry_fleet.discovery.names import NamesListener
from bilberry_fleet.discovery.store_breaker import StoreBreaker
from bilberry_fleet.discovery.upstreams import UpstreamListener
from bilberry_resources.routing import CallerLimits, RoutingConfig

from .caller_exchange import Handler
from .connections import ConnectionPool
from .const import (
    AUXILIARY_FINISH_MS,
    DRAIN_MARGIN_MS,
    DRAIN_SERVE_FRACTION,
    DRAIN_SERVE_MS,
    EXPIRY_INTERVAL_MS,
    KNOWN_AFTER_MS,
    LAST_REFUSALS_MS,
)
from .forwarder import Forwarder
from .handlers import DirectoryHandler, ReadinessHandler
from .listener import Listener
from .membership import Membership
from .metrics import MetricInputs, MetricsHandler
from .placer import Placer
from .platform import Platform
from .rereads import Rereads
from .standstills import StandstillMonitor
from .state import EntryState, SharedLimits

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class NodeAddresses:
    """Store the `ip:port` of each listener; `peer` is for UDP.

    Metrics are not served if `metrics` is empty.
    """

    entry: str
    readiness: str
    directory: str
    peer: str
    metrics: str = ""


class EntryNode:
    """Manage all components of a node that serves callers."""

    __slots__ = (
        "clock",
        "config_listener",
        "connections",
        "draining",
        "entry_listener",
        "evacuation_listener",
        "feeds",
        "forwarder",
        "listeners",
        "membership",
        "placer",
        "platform",
        "rereads",
        "standstills",
        "state",
        "task",
        "upstream_listener",
    )

    def __init__(
        self,
        name: str,
        run_id: str,
        location: Location,
        addresses: NodeAddresses,
        shared_limits: SharedLimits,
        platform: Platform,
        clock: Clock,
    ) -> None:
        self.clock = clock
        self.platform = platform
        self.draining = False
        self.task: Greenlet | None = None
        self.state = EntryState(name, location, shared_limits, clock)
        self.placer = Placer(self.state)
        self.connections = ConnectionPool(platform.header_names.request_id, clock)
        self.state.selector.is_connected = self.is_connected
        self.forwarder = Forwarder(
            self.state, self.placer, self.connections, platform.header_names
        )
        node_info = NodeInfo(
            name,
            run_id,
            addresses.entry,
            addresses.peer,
            location.failure_domain,
            location.region,
        )
        self.membership = Membership(
            node_info, platform, self.state, self.forwarder.suspects, self.is_ready
        )
        self.upstream_listener = UpstreamListener(
            self.state.upstreams,
            platform.decode_upstream,
            clock,
            self.state.selector.ranks.clear,
        )
        self.evacuation_listener = NamesListener(self.evacuate, clock)
        self.config_listener = ConfigListener(
            platform.kinds.config_name, platform.decode_config, self.install
        )
        self.config_listener.warnings.retry_share = self.retry_share
        self.feeds = self._feeds(stable_hash(name))
        self.standstills = StandstillMonitor(clock, EXPIRY_INTERVAL_MS)
        self.forwarder.rereads = self.rereads = self._rereads()
        self.membership.reading.set_feeds(self.feeds)
        config_feed = self.feeds[0]
        config_feed.on_exact_read = self.record_config_read
        self.membership.proof_calls.feed = config_feed
        self.entry_listener = Listener(
            addresses.entry,
            self.forwarder,
            lambda: self.state.limits,
            clock,
            self.connections.answer_memory,
        )
        self.listeners = [self.entry_listener, *self._auxiliary_listeners(addresses)]

    def is_ready(self) -> bool:
        """Return whether this node can serve callers and isn't draining."""
        known = (
            self.state.routes.config is not None and self.upstream_listener.has_snapshot
        )
        return known and self.membership.has_learned and not self.draining

    def is_known(self) -> bool:
        """Return whether the peers know by now that this node is ready."""
        age_ms = self.clock.now_ms() - self.membership.heartbeats.started_at_ms
        return self.is_ready() and age_ms >= KNOWN_AFTER_MS

    def is_connected(self, upstream: Upstream) -> bool:
        """Return whether a connection to an upstream is idle."""
        return self.connections.has_idle(upstream.spec.address)

    def start(self) -> None:
        """Start the listeners and the feeds from the platform."""
        for feed in self.feeds:
            feed.start()
        self.membership.start()
        self.placer.start()
        self.standstills.start()
        self.task = gevent.spawn(self.run_expiry)
        for listener in self.listeners:
            listener.start()
        _LOGGER.info("node: Started %s.", self.state.node)

    def stop(self) -> bool:
        """Drain and close; return whether all requests were answered."""
        _LOGGER.info("node: Draining before the stop.")
        grace_ms = self.state.shared_limits.stop_grace_ms - DRAIN_MARGIN_MS
        end_ms = self.clock.now_ms() + grace_ms
        self.draining = True
        self.forwarder.stop_at_ms = end_ms
        self.membership.leave()
        for listener in self.listeners:
            listener.start_draining()
        serve_ms = min(DRAIN_SERVE_MS, grace_ms * DRAIN_SERVE_FRACTION)
        gevent.sleep(serve_ms / MS_PER_SECOND)
        self.forwarder.is_refusing = True
        self.entry_listener.start_draining()
        left_ms = max(0, end_ms - LAST_REFUSALS_MS - self.clock.now_ms())
        refusals = gevent.spawn_later(
            left_ms / MS_PER_SECOND, self.placer.refuse_queued
        )
        all_answered = self.finish_listeners(end_ms)
        refusals.kill()
        self.close()
        _LOGGER.info(
            "node: Stopped, all requests answered and answers read: %s.", all_answered
        )
        return all_answered

    def finish_listeners(self, end_ms: int) -> bool:
        """Finish the entry, then the others; return whether all is answered.

        The others answer for as long as the entry does, but keep some time
        for their own callers.
        """
        entry = self.entry_listener
        entry_task = gevent.spawn(entry.finish, max(0, end_ms - self.clock.now_ms()))
        entry_ms = max(0, end_ms - AUXILIARY_FINISH_MS - self.clock.now_ms())
        entry_task.join(entry_ms / MS_PER_SECOND)
        left_ms = max(0, end_ms - self.clock.now_ms())
        tasks = [entry_task] + [
            gevent.spawn(listener.finish, left_ms)
            for listener in self.listeners
            if listener is not entry
        ]
        gevent.joinall(tasks)
        return all(task.value for task in tasks)

    def close(self) -> None:
        """Stop all components."""
        for listener in self.listeners:
            listener.close()
        self.membership.close()
        for feed in self.feeds:
            feed.close()
        self.config_listener.warnings.close()
        self.placer.close()
        self.rereads.close()
        if self.task is not None:
            self.task.kill()
            self.task = None
        self.connections.close()

    def run_expiry(self) -> None:
        """Remove outdated state at regular intervals."""
        while True:
            gevent.sleep(EXPIRY_INTERVAL_MS / MS_PER_SECOND)
            self.rereads.record_wake()
            now_ms = self.clock.now_ms()
            self.upstream_listener.expire(now_ms)
            self.evacuation_listener.expire(now_ms)
            self.connections.close_expired()
            self.state.peer_loads.expire(now_ms)
            self.state.adjust_rate_limits(now_ms)
            self.state.update_open_regions()
            if self.forwarder.access.needs_proof():
                self.membership.proof_calls.renew(now_ms)
            self.forwarder.suspects.update_members(self.is_known())
            self.membership.reading.update(now_ms)
            self.membership.reading.catch_up(now_ms)

    def record_config_read(self, began_ms: int) -> None:
        """Record that an exact read showed the newest configuration."""
        if self.config_listener.is_current:
            self.state.config_proof.record(began_ms)

    def retry_share(self) -> float:
        """Return how many retries may be made for each request."""
        return self.state.shared_limits.retry_fraction

    def set_process_limits(self, memory_bytes: int, address_connections: int) -> None:
        """Set the memory of this process, and the connections of an address.

        With 0, one address may have a fraction of all connections.
        """
        self.entry_listener.request_memory.set_limit(memory_bytes)
        self.entry_listener.connection_limits.max_of_address = address_connections

    def install(self, config: RoutingConfig) -> bool:
        """Install a configuration if it is newer; return whether it was."""
        installed = self.state.install(config)
        if installed:
            self.upstream_listener.pools = config.pools
            self.membership.proof_calls.version = config.version
        return installed

    def evacuate(self, domains: frozenset[str]) -> None:
        """Evacuate `domains`; treat upstreams of restored ones as cold."""
        restored = self.state.upstreams.evacuate(domains)
        self.state.selector.ranks.clear()
        _LOGGER.info(
            "node: Evacuated failure domains: %s; restored: %s.",
            sorted(domains),
            sorted(restored),
        )
        now_ms = self.clock.now_ms()
        for upstream in self.state.upstreams.by_name.values():
            if upstream.spec.failure_domain in restored:
                pool = self.state.pool(upstream.spec.service)
                self.state.upstreams.mark_cold(
                    upstream, pool.cold_start_ms, pool.cold_requests_per_s, now_ms
                )

    def _feeds(self, seed: int) -> list[Feed]:
        breaker = StoreBreaker(seed, self.upstream_listener.record_recovery)
        kinds = self.platform.kinds
        listeners: list[tuple[str, FeedListener]] = [
            (kinds.config, self.config_listener),
            (kinds.upstreams, self.upstream_listener),
            (kinds.evacuations, self.evacuation_listener),
            (kinds.nodes, self.membership),
        ]
        return [
            Feed(
                kind,
                self.platform.source,
                listener,
                self.clock,
                seed + index,
                self.membership.reading.may_be_stale,
                breaker,
                self.membership.store_era,
            )
            for index, (kind, listener) in enumerate(listeners)
        ]

    def _rereads(self) -> Rereads:
        kinds = self.platform.kinds
        read_again = (kinds.config, kinds.evacuations, kinds.upstreams)
        feeds = [feed for feed in self.feeds if feed.kind in read_again]
        return Rereads(self.standstills, feeds)

    def _auxiliary_listeners(self, addresses: NodeAddresses) -> list[Listener]:
        ready = ReadinessHandler(self.platform.ready_path, self.is_ready)
        directory = DirectoryHandler(
            self.platform, self.state.routes, self.membership.entry_points
        )
        metric_inputs = MetricInputs(
            self.state,
            self.placer,
            self.membership,
            self.entry_listener,
            self.is_ready,
            self.standstills,
        )
        handlers: list[tuple[str, Handler]] = [
            (addresses.readiness, ready),
            (addresses.directory, directory),
            (addresses.metrics, MetricsHandler(metric_inputs)),
        ]
        return [
            Listener(
                address,
                handler,
                CallerLimits,
                self.clock,
                request_memory=self.entry_listener.request_memory,
                connection_limits=self.entry_listener.connection_limits,
                is_auxiliary=True,
            )
            for address, handler in handlers
            if address
        ]
