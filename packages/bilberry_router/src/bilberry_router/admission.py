"""Admission of a new node: it gets callers only once it has quotas.

Until a plan includes it, a node has only a small bootstrap share, and would
shed most requests of the callers that look-ups send to it.
"""

import gevent

from bilberry_core.const import MS_PER_SECOND
from bilberry_fleet.messages import MemberState
from bilberry_fleet.task import FleetTask
from bilberry_steering.node import NodeSteering
from bilberry_steering.quotas import QuotaSource

from .state import NodeState

CHECK_INTERVAL_MS = 100
MAX_QUOTA_WAIT_MS = 12_000


class AdmissionTask:
    """Delay the admission of this node until it has quotas."""

    def __init__(
        self, state: NodeState, steering: NodeSteering, fleet: FleetTask
    ) -> None:
        self.state = state
        self.steering = steering
        self.fleet = fleet
        self.ready_ms: int | None = None
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Delay the admission and start checking."""
        self.fleet.delay_admission()
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop checking."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def run(self) -> None:
        """Wait until the node may serve callers, then admit it."""
        while not self.can_be_admitted():
            gevent.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
        self.fleet.admit()

    def can_be_admitted(self) -> bool:
        """Return whether the node can be admitted.

        That is once it is ready and has quotas from a plan. It does not wait
        for quotas when it is the only node, when no service is configured,
        or after MAX_WAIT_MS, as there may be no planner.
        """
        if not self.fleet.is_ready():
            return False
        now_ms = self.state.clock.now_ms()
        if self.ready_ms is None:
            self.ready_ms = now_ms
        if not self.state.snapshot.services or self.is_only_live_node():
            return True
        if now_ms - self.ready_ms >= MAX_QUOTA_WAIT_MS:
            return True
        self.steering.quotas.update_source(self.state.clock.wall_ms())
        return self.steering.quotas.source is QuotaSource.PLAN

    def is_only_live_node(self) -> bool:
        """Return whether no other node is live."""
        own = self.state.settings.node.name
        return not any(
            member.state is MemberState.LIVE and member.name != own
            for member in self.fleet.members()
        )
