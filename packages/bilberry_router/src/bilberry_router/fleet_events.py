"""Dispatch fleet events to the components of the node."""

import logging
from collections.abc import Callable
from typing import Any

import gevent

from bilberry_core.registry import Registry
from bilberry_fleet.events import (
    ConfigInstalled,
    LeaseAcquired,
    LeaseLost,
    MembersChanged,
    NodeReady,
    PlanInstalled,
    ReportsReceived,
    SharedEntryReceived,
)
from bilberry_fleet.task import FleetTask
from bilberry_steering.node import NodeSteering

from .planning import PlanningTask
from .state import NodeState

_LOGGER = logging.getLogger(__name__)

EventHandler = Callable[["FleetEventTask", Any], None]

HANDLERS: Registry[type, EventHandler] = Registry()


class FleetEventTask:
    """Handle the events that the fleet task emits."""

    def __init__(
        self,
        state: NodeState,
        steering: NodeSteering,
        fleet: FleetTask,
        planning: PlanningTask,
        on_shared_entry: Callable[[SharedEntryReceived], None],
    ) -> None:
        self.state = state
        self.steering = steering
        self.fleet = fleet
        self.planning = planning
        self.on_shared_entry = on_shared_entry
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet that handles events."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop handling events."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def run(self) -> None:
        """Handle events one at a time, in order."""
        while True:
            event = self.fleet.events.get()
            HANDLERS[type(event)](self, event)


@HANDLERS.register(ConfigInstalled)
def install_config(task: FleetEventTask, event: ConfigInstalled) -> None:
    """Install a newer configuration in all components.

    Decoding runs in a thread, so that requests are served meanwhile.
    """
    config_reader = task.state.config_reader
    snapshot = gevent.get_hub().threadpool.apply(
        config_reader.read, (event.version, event.entries)
    )
    task.state.install(snapshot)
    task.steering.install_config(
        snapshot, config_reader.table, task.state.clock.wall_ms()
    )
    task.planning.request_round()
    _LOGGER.info("config: Installed version %s.", event.version)


@HANDLERS.register(PlanInstalled)
def install_plan(task: FleetEventTask, event: PlanInstalled) -> None:
    """Install a newer plan."""
    task.planning.receive_plan(event.plan)


@HANDLERS.register(MembersChanged)
def update_members(task: FleetEventTask, event: MembersChanged) -> None:
    """Update the list of members."""
    task.state.set_members(event.members)


@HANDLERS.register(SharedEntryReceived)
def forward_entry(task: FleetEventTask, event: SharedEntryReceived) -> None:
    """Pass a shared entry to its subscriber."""
    task.on_shared_entry(event)


@HANDLERS.register(ReportsReceived)
def forward_reports(task: FleetEventTask, event: ReportsReceived) -> None:
    """Pass node reports to the planning task."""
    task.planning.store_reports(event.batch)


@HANDLERS.register(LeaseAcquired)
def handle_lease_acquired(task: FleetEventTask, event: LeaseAcquired) -> None:
    """Start planning under the acquired lease."""
    task.planning.start_planning(event.epoch)


@HANDLERS.register(LeaseLost)
def handle_lease_lost(task: FleetEventTask, event: LeaseLost) -> None:
    """Stop planning after the lease is lost."""
    task.planning.stop_planning()


@HANDLERS.register(NodeReady)
def mark_configured(task: FleetEventTask, event: NodeReady) -> None:
    """Mark the newest known configuration as installed."""
    task.state.is_configured = True
    _LOGGER.info("fleet: Node is ready.")
