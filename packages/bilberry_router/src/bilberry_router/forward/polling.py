"""Poll the health and load of upstreams, each in its own greenlet."""

import logging

import gevent
from gevent import Greenlet

from bilberry_balance.endpoint import Endpoint, HealthState
from bilberry_balance.pool import Pool
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import stable_hash
from bilberry_core.outcome import Failure, Success

from .const import (
    DEFAULT_POLL_MS,
    DEFAULT_POLL_TIMEOUT_MS,
    LOAD_EVERY_POLLS,
    REFUSALS_TO_UNREACHABLE,
)
from .endpoints import Endpoints
from .probe import Probe

_LOGGER = logging.getLogger(__name__)


class Poller:
    """Poll one upstream and report its health and load to the pool."""

    __slots__ = (
        "clock",
        "last_latency_samples",
        "name",
        "poll_count",
        "pool",
        "probe",
        "refusals",
    )

    def __init__(self, name: str, pool: Pool, probe: Probe, clock: Clock) -> None:
        self.name = name
        self.pool = pool
        self.probe = probe
        self.clock = clock
        self.refusals = 0
        self.poll_count = 0
        self.last_latency_samples = 0

    def poll(self) -> None:
        """Poll the health, if the pool still has the endpoint."""
        endpoint = self.pool.endpoints.get(self.name)
        if endpoint is not None:
            self.poll_health(endpoint)
            self.last_latency_samples = endpoint.latency_samples

    def poll_load_if_due(self) -> None:
        """Poll the load at every LOAD_EVERY_POLLS-th call."""
        self.poll_count += 1
        if self.poll_count % LOAD_EVERY_POLLS == 0 and self.refusals == 0:
            self.poll_load()

    def poll_health(self, endpoint: Endpoint) -> None:
        """Poll the health and report a change.

        Only refused connections in a row, without a request answered in
        between, make the upstream unreachable; other failures do not.
        """
        result = self.probe.health(DEFAULT_POLL_TIMEOUT_MS)
        now_ms = self.clock.now_ms()
        if isinstance(result, Success):
            self.refusals = 0
            self.report_health(endpoint, result.unwrap(), now_ms)
            return
        if (
            not result.failure().refused
            or endpoint.latency_samples > self.last_latency_samples
        ):
            self.refusals = 0
            return
        self.refusals += 1
        if self.refusals >= REFUSALS_TO_UNREACHABLE:
            self.report_health(endpoint, HealthState.UNREACHABLE, now_ms)

    def report_health(
        self, endpoint: Endpoint, health: HealthState, now_ms: int
    ) -> None:
        """Report the health to the pool if it has changed."""
        if endpoint.health is health:
            return
        _LOGGER.info("health: %s is now %s.", self.name, health.value)
        self.pool.on_health(self.name, health, now_ms)

    def poll_load(self) -> None:
        """Poll the load and report it to the pool."""
        result = self.probe.load(DEFAULT_POLL_TIMEOUT_MS)
        if isinstance(result, Failure):
            return
        self.pool.on_load(self.name, result.unwrap(), self.clock.now_ms())


class PollingTask:
    """Run a poller for each configured endpoint."""

    __slots__ = (
        "clock",
        "endpoints",
        "interval_ms",
        "poller_tasks",
        "pollers",
        "refresh_task",
    )

    def __init__(
        self, endpoints: Endpoints, clock: Clock, interval_ms: int = DEFAULT_POLL_MS
    ) -> None:
        self.endpoints = endpoints
        self.clock = clock
        self.interval_ms = interval_ms
        self.pollers: dict[str, Poller] = {}
        self.poller_tasks: dict[str, Greenlet] = {}
        self.refresh_task: Greenlet | None = None

    def start(self) -> None:
        """Start polling."""
        self.refresh_task = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop all polls and close their connections."""
        if self.refresh_task is not None:
            self.refresh_task.kill()
            self.refresh_task = None
        for name in list(self.pollers):
            self.remove(name)

    def run(self) -> None:
        """Apply changes of configuration, health and slow start."""
        while True:
            self.endpoints.refresh()
            self.update_pollers()
            self.endpoints.update_limits()
            self.endpoints.close_idle()
            gevent.sleep(self.interval_ms / MS_PER_SECOND)

    def update_pollers(self) -> None:
        """Start and stop pollers to match the endpoints."""
        wanted = {
            name: pool
            for pool in self.endpoints.pools.values()
            for name in pool.endpoints
        }
        for name in self.pollers.keys() - wanted.keys():
            self.remove(name)
        for name, pool in wanted.items():
            address = self.endpoints.connections[name].address
            poller = self.pollers.get(name)
            if poller is not None and poller.probe.address != address:
                self.remove(name)
                poller = None
            if poller is None:
                self.add(name, pool, address)

    def add(self, name: str, pool: Pool, address: str) -> None:
        """Start polling one upstream."""
        poller = Poller(name, pool, Probe(address, self.clock), self.clock)
        self.pollers[name] = poller
        self.poller_tasks[name] = gevent.spawn(self.run_poller, poller)

    def remove(self, name: str) -> None:
        """Stop polling one upstream."""
        self.poller_tasks.pop(name).kill()
        self.pollers.pop(name).probe.close()

    def run_poller(self, poller: Poller) -> None:
        """Poll one upstream until killed.

        An offset by name after the first poll spreads the upstreams' polls.
        """
        offset_ms = stable_hash(poller.name) % self.interval_ms
        half_ms = self.interval_ms / 2
        while True:
            poller.poll()
            gevent.sleep((half_ms + offset_ms) / MS_PER_SECOND)
            poller.poll_load_if_due()
            gevent.sleep(half_ms / MS_PER_SECOND)
            offset_ms = 0
