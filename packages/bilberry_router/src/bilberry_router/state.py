"""What the parts of a node share and read."""

from bilberry_core.clock import Clock
from bilberry_fleet.messages import Member
from bilberry_resources.snapshot import ConfigSnapshot

from .configuration import ConfigReader
from .settings import Settings


class NodeState:
    """Hold the installed configuration and the live members."""

    __slots__ = (
        "clock",
        "is_configured",
        "leaving",
        "members",
        "reader",
        "revision",
        "settings",
        "snapshot",
        "started_ms",
    )

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.snapshot = ConfigSnapshot()
        self.reader = ConfigReader()
        self.members: list[Member] = []
        self.is_configured = False
        self.leaving = False
        self.revision = 0

    def install(self, snapshot: ConfigSnapshot) -> None:
        """Take a newer configuration."""
        assert snapshot.version >= self.snapshot.version, "versions never go back"
        self.snapshot = snapshot
        self.revision += 1

    def set_members(self, members: list[Member]) -> None:
        """Take the current list of live members."""
        self.members = members
        self.revision += 1
