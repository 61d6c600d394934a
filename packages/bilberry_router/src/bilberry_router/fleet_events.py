"""Hand what the fleet tells to the parts of the node."""

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
    """Own the queue of the fleet's events."""

    def __init__(
        self,
        state: NodeState,
        steering: NodeSteering,
        fleet: FleetTask,
        planning: PlanningTask,
        on_entry: Callable[[SharedEntryReceived], None],
    ) -> None:
        self.state = state
        self.steering = steering
        self.fleet = fleet
        self.planning = planning
        self.on_entry = on_entry
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to handle events."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop handling events."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def run(self) -> None:
        """Handle each event in turn."""
        while True:
            event = self.fleet.events.get()
            HANDLERS[type(event)](self, event)


@HANDLERS.register(ConfigInstalled)
def install_config(task: FleetEventTask, event: ConfigInstalled) -> None:
    """Install a newer configuration in all parts."""
    reader = task.state.reader
    snapshot = gevent.get_hub().threadpool.apply(
        reader.read, (event.version, event.entries)
    )
    task.state.install(snapshot)
    task.steering.install_config(snapshot, reader.table, task.state.clock.wall_ms())
    task.planning.nudge()
    _LOGGER.info("config: Installed version %s.", event.version)


@HANDLERS.register(PlanInstalled)
def install_plan(task: FleetEventTask, event: PlanInstalled) -> None:
    """Install a newer plan."""
    task.planning.take_plan(event.plan)


@HANDLERS.register(MembersChanged)
def change_members(task: FleetEventTask, event: MembersChanged) -> None:
    """Take the new roster."""
    task.state.set_members(event.members)


@HANDLERS.register(SharedEntryReceived)
def take_entry(task: FleetEventTask, event: SharedEntryReceived) -> None:
    """Pass on a shared entry."""
    task.on_entry(event)


@HANDLERS.register(ReportsReceived)
def take_reports(task: FleetEventTask, event: ReportsReceived) -> None:
    """Pass reports to the planner."""
    task.planning.take_reports(event.batch)


@HANDLERS.register(LeaseAcquired)
def acquire_lease(task: FleetEventTask, event: LeaseAcquired) -> None:
    """Begin to plan."""
    task.planning.acquire(event.epoch)


@HANDLERS.register(LeaseLost)
def lose_lease(task: FleetEventTask, event: LeaseLost) -> None:
    """Stop planning."""
    task.planning.lose()


@HANDLERS.register(NodeReady)
def note_ready(task: FleetEventTask, event: NodeReady) -> None:
    """Note that the newest configuration found is installed."""
    task.state.is_configured = True
    _LOGGER.info("fleet: Ready.")
