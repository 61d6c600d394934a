"""Hold the machines that the distribution bench drives."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bilberry_fleet.messages import Fact, PullRequest, PullResponse
from bilberry_fleet.node import FleetNode
from bilberry_fleet.read_schedule import StoreRead


@dataclass(slots=True)
class Waiting:
    """Hold a pull or watch that waits for news."""

    node: "Driven"
    until_ms: int
    request: PullRequest | None = None
    read: StoreRead | None = None
    denied: Fact | None = None
    reply: Callable[[PullResponse], None] | None = None
    done: bool = False


@dataclass(slots=True)
class Driven:
    """Hold one node, its waiting calls and what it was seen to do."""

    node: FleetNode
    alive: bool = True
    paused: bool = False
    bytes_sent: int = 0
    bytes_received: int = 0
    pulls: int = 0
    installed: dict[int, int] = field(default_factory=dict)
    highest: int = 0
    reverts: int = 0
    mark: tuple[int, ...] = ()
    waiting: list[Waiting] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.node.own.name

    @property
    def runs(self) -> bool:
        """Tell whether the node takes part now."""
        return self.alive and not self.paused
