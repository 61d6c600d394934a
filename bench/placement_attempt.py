"""A request of a placement simulation: its wait for a slot, its attempt."""

from collections.abc import Callable
from dataclasses import dataclass

from bilberry_balance.placement.candidates import Selection

from .placement_model import Call
from .placement_node import SimulatedNode

FLOW_WINDOW_MS = 2_000


@dataclass(slots=True, frozen=True)
class Flow:
    """Name a service's attempts from region to region in a short time."""

    service: str
    window: int
    source: str
    target: str

    def opposite(self) -> "Flow":
        """Return the flow of the same time in the other direction."""
        return Flow(self.service, self.window, self.target, self.source)


@dataclass(slots=True)
class Grant:
    """Hold the slot granted to a queued request."""

    value: Selection | None = None
    on_set: Callable[[], None] | None = None

    def ready(self) -> bool:
        """Return whether the wait has ended."""
        return self.value is not None

    def set(self, selection: Selection | None) -> None:
        """Grant the slot."""
        self.value = selection
        if self.on_set is not None:
            self.on_set()


@dataclass(slots=True)
class SimulatedAttempt:
    """Represent one attempt, which took `connect_ms` to connect.

    One that waits at its upstream doesn't run there once it `has_ended`.
    """

    node: SimulatedNode
    call: Call
    selection: Selection
    sent_at_ms: int
    connect_ms: int = 0
    is_working: bool = False
    has_ended: bool = False


def flow_of(attempt: SimulatedAttempt) -> Flow:
    """Return the flow that an attempt belongs to."""
    return Flow(
        attempt.call.service.name,
        attempt.sent_at_ms // FLOW_WINDOW_MS,
        attempt.node.location.region,
        attempt.selection.upstream.spec.region,
    )
