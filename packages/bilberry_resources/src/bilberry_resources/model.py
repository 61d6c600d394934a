"""Structure common to objects of all kinds: metadata, spec and status."""

from enum import StrEnum
from typing import Any

import msgspec


class Metadata(msgspec.Struct, kw_only=True):
    """Identify an object and its version.

    `generation` counts the changes of the object's spec. `write_id`
    identifies the last write.
    """

    name: str
    version: int = 0
    generation: int = 0
    labels: dict[str, str] = {}
    write_id: str = ""


class ConditionStatus(StrEnum):
    """Define whether a condition is met."""

    TRUE = "true"
    FALSE = "false"
    UNKNOWN = "unknown"


class Condition(msgspec.Struct, kw_only=True):
    """Represent one observed condition of an object."""

    type: str
    status: ConditionStatus
    reason: str = ""
    message: str = ""
    since_ms: int = 0


class Status(msgspec.Struct, kw_only=True):
    """Report how far an object has been rolled out to the sites."""

    accepted_version: int = 0
    observed_generation: int = 0
    in_force: bool = False
    sites_applied: int = 0
    sites_total: int = 0
    progress: float = 0.0
    conditions: list[Condition] = []


class StoredObject(msgspec.Struct, kw_only=True):
    """Represent an object as stored, with its spec not yet validated."""

    kind: str
    metadata: Metadata
    spec: dict[str, Any] = {}
    status: Status | None = None
