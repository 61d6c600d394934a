"""State shared by the components of a node."""

from bilberry_core.clock import Clock
from bilberry_fleet.messages import Member
from bilberry_resources.snapshot import ConfigSnapshot

from .configuration import ConfigReader
from .settings import Settings


class NodeState:
    """Store the installed configuration and the known members.

    `revision` increases with each change of either.
    """

    __slots__ = (
        "clock",
        "config_reader",
        "is_configured",
        "is_leaving",
        "members",
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
        self.config_reader = ConfigReader()
        self.members: list[Member] = []
        self.is_configured = False
        self.is_leaving = False
        self.revision = 0

    def install(self, snapshot: ConfigSnapshot) -> None:
        """Install a newer configuration."""
        assert snapshot.version >= self.snapshot.version, (
            "configuration version went back"
        )
        self.snapshot = snapshot
        self.revision += 1

    def set_members(self, members: list[Member]) -> None:
        """Update the list of members."""
        self.members = members
        self.revision += 1
