"""Keep a new node out of look-ups until it has quotas to serve with.

Without a plan that names it a node has a small bootstrap share only, and
would shed most of the callers that are sent to it.
"""

import gevent

from bilberry_core.const import MS_PER_SECOND
from bilberry_fleet.messages import MemberState
from bilberry_fleet.task import FleetTask
from bilberry_steering.node import NodeSteering
from bilberry_steering.quotas import QuotaSource

from .state import NodeState

CHECK_MS = 100
MAX_WAIT_MS = 12_000


class AdmissionTask:
    """Own the wait of a node that is ready but has no quotas yet."""

    def __init__(
        self, state: NodeState, steering: NodeSteering, fleet: FleetTask
    ) -> None:
        self.state = state
        self.steering = steering
        self.fleet = fleet
        self.ready_ms: int | None = None
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Hold the node back and begin to check."""
        self.fleet.delay_admission()
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop checking."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def run(self) -> None:
        """Admit the node as soon as it may serve callers."""
        while not self.may_serve():
            gevent.sleep(CHECK_MS / MS_PER_SECOND)
        self.fleet.admit()

    def may_serve(self) -> bool:
        """Tell whether callers are better sent here than not."""
        if not self.fleet.is_ready():
            return False
        now_ms = self.state.clock.now_ms()
        if self.ready_ms is None:
            self.ready_ms = now_ms
        if not self.state.snapshot.services or self.is_first():
            return True
        if now_ms - self.ready_ms >= MAX_WAIT_MS:
            return True
        self.steering.quotas.update_source(self.state.clock.wall_ms())
        return self.steering.quotas.source is QuotaSource.PLAN

    def is_first(self) -> bool:
        """Tell whether no other node takes callers."""
        own = self.state.settings.node.name
        return not any(
            member.state is MemberState.LIVE and member.name != own
            for member in self.fleet.members()
        )
