"""Messages between nodes; durations are in ms, versions the store's."""

from enum import StrEnum

import msgspec

NULL = b"null"
EMPTY_RAW = msgspec.Raw(NULL)


class MemberState(StrEnum):
    """State of a member as the fleet sees it."""

    JOINING = "joining"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Member(msgspec.Struct, kw_only=True, omit_defaults=True, frozen=True):
    """Describe a node; addresses are `ip:port`."""

    name: str
    address: str = ""
    peer_address: str = ""
    admin_address: str = ""
    region: str = ""
    failure_domain: str = ""
    site: str = ""
    incarnation: int = 0
    state: MemberState = MemberState.JOINING


class Fact(msgspec.Struct, kw_only=True, omit_defaults=True, frozen=True):
    """Represent a small replicated value; the higher stamp wins.

    `ttl_ms` is the remaining time to live, zero for no limit.
    """

    key: str
    stamp: tuple[int, int]
    body: msgspec.Raw = EMPTY_RAW
    ttl_ms: int = 0


class SharedEntry(msgspec.Struct, kw_only=True, omit_defaults=True, frozen=True):
    """Represent a small value shared with every node until it expires."""

    key: str
    body: msgspec.Raw
    origin: str = ""
    ttl_ms: int = 0


class ConfigEntry(msgspec.Struct, kw_only=True, omit_defaults=True, frozen=True):
    """Represent an object's last change; a null body means deleted."""

    kind: str
    name: str
    version: int
    body: msgspec.Raw = EMPTY_RAW

    @property
    def is_deleted(self) -> bool:
        """Return whether the object was deleted."""
        return bytes(self.body) == NULL


class ConfigDelta(msgspec.Struct, kw_only=True, omit_defaults=True, frozen=True):
    """Represent each object's last change after `since` to `version`.

    `more` means that further pages follow.
    """

    since: int
    version: int
    entries: list[ConfigEntry] = []
    more: bool = False


class PlanRecord(msgspec.Struct, kw_only=True, omit_defaults=True, frozen=True):
    """Represent a plan, ordered by its lease's epoch, then its version.

    A partial plan has only the receiver's part and is not forwarded.
    """

    epoch: int
    version: int
    body: msgspec.Raw = EMPTY_RAW
    partial: bool = False


class PullRequest(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Request newer state; each pull is also the sender's heartbeat.

    `cursor` is a position in the facts of the answering node, valid only in
    its incarnation `cursor_incarnation`.
    """

    sender: str
    incarnation: int
    config_version: int = 0
    fetched_version: int = 0
    plan_epoch: int = 0
    plan_version: int = 0
    cursor_incarnation: int = msgspec.field(default=0, name="answerer")
    cursor: int = 0
    hold_ms: int = 0
    relay: bool = False
    facts: list[Fact] = []
    digests: dict[str, str] = {}
    report: msgspec.Raw = EMPTY_RAW


class PullResponse(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Represent the answer to a pull: all that is newer than requested.

    `store_age_ms` is the time since the answering node's configuration was
    known to equal the store's, -1 if it never was.
    """

    incarnation: int
    cursor: int = 0
    config_version: int = 0
    store_age_ms: int = -1
    config: ConfigDelta | None = None
    plan: PlanRecord | None = None
    facts: list[Fact] = []
    unreachable: list[str] = []


class SiteCount(msgspec.Struct, kw_only=True, omit_defaults=True, frozen=True):
    """Represent a site's member count and lowest installed version."""

    members: int
    lowest_version: int


class RelayStatus(msgspec.Struct, kw_only=True, omit_defaults=True, frozen=True):
    """Summarize by site the members that poll a relay."""

    failure_domain: str
    sites: dict[str, SiteCount] = {}


class RolloutStatus(msgspec.Struct, kw_only=True, frozen=True):
    """Represent how many live sites installed a version."""

    version: int
    sites_applied: int
    sites_total: int
    waiting: list[str] = []

    @property
    def is_complete(self) -> bool:
        """Return whether every live site installed the version."""
        return 0 < self.sites_total == self.sites_applied


class PlannerAnnouncement(msgspec.Struct, kw_only=True, frozen=True):
    """Announce the node that holds the planner's lease."""

    name: str
    epoch: int


class Report(msgspec.Struct, kw_only=True, omit_defaults=True, frozen=True):
    """Represent a node's opaque report and its age."""

    sender: str
    body: msgspec.Raw
    age_ms: int = 0


class ReportBatch(msgspec.Struct, kw_only=True, omit_defaults=True, frozen=True):
    """Represent the merged reports of the nodes that poll a relay."""

    relay: str
    failure_domain: str
    reports: list[Report] = []


class ConfigSource(StrEnum):
    """Source of a node's configuration."""

    STORE = "store"
    PEERS = "peers"
    NONE = "none"


class ConfigFreshness(msgspec.Struct, kw_only=True, frozen=True):
    """Represent the source and the age of a node's configuration.

    `store_age_ms` is the time since it was known to equal the store's, -1 if
    unknown.
    """

    source: ConfigSource
    config_version: int
    store_age_ms: int
