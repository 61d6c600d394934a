"""Events that the fleet task reports to its node."""

from dataclasses import dataclass

from .messages import ConfigEntry, Member, PlanRecord, ReportBatch, SharedEntry


@dataclass(slots=True, frozen=True)
class ConfigInstalled:
    """Report a newer configuration, complete, with encoded objects."""

    version: int
    entries: list[ConfigEntry]


@dataclass(slots=True, frozen=True)
class PlanInstalled:
    """Report a newer plan."""

    plan: PlanRecord


@dataclass(slots=True, frozen=True)
class MembersChanged:
    """Report a changed roster."""

    members: list[Member]


@dataclass(slots=True, frozen=True)
class SharedEntryReceived:
    """Report a shared entry received from another node."""

    entry: SharedEntry


@dataclass(slots=True, frozen=True)
class ReportsReceived:
    """Report a batch of member reports that the planner received."""

    batch: ReportBatch


@dataclass(slots=True, frozen=True)
class LeaseAcquired:
    """Report that this node plans under `epoch` from now on."""

    epoch: int


@dataclass(slots=True, frozen=True)
class LeaseLost:
    """Report that this node must stop planning at once."""

    epoch: int


@dataclass(slots=True, frozen=True)
class NodeReady:
    """Report that the newest configuration found is installed."""


FleetEvent = (
    ConfigInstalled
    | PlanInstalled
    | MembersChanged
    | SharedEntryReceived
    | ReportsReceived
    | LeaseAcquired
    | LeaseLost
    | NodeReady
)
