"""Messages of the resource API."""

from typing import Any

import msgspec

from bilberry_core.outcome import FieldError
from bilberry_resources.model import StoredObject


class ServerProblem(msgspec.Struct):
    """Represent an error response; any field may be missing."""

    title: str = ""
    detail: str = ""
    outcome: str = ""
    errors: list[FieldError] = []


class ObjectPage(msgspec.Struct):
    """Represent all objects of one kind."""

    version: int
    items: list[StoredObject]


class ObjectEvent(msgspec.Struct):
    """Represent one change of an object."""

    type: str
    object: StoredObject


class EventPage(msgspec.Struct):
    """Represent the changes up to a version."""

    version: int
    events: list[ObjectEvent] = []


class AuditEntry(msgspec.Struct, kw_only=True):
    """Represent one audited change and its result."""

    id: str
    when_ms: int
    who: str = ""
    node: str = ""
    action: str = ""
    kind: str = ""
    name: str = ""
    before: Any = None
    after: Any = None
    result: str = ""
    detail: str = ""
    write_id: str = ""


class AuditPage(msgspec.Struct):
    """Represent the audit entries, oldest first."""

    items: list[AuditEntry]


class VmEndpoint(msgspec.Struct):
    """Represent one VM that a client may use."""

    name: str
    address: str
    region: str


class LookupResponse(msgspec.Struct):
    """Represent the VMs for a client, nearest first."""

    service: str
    vms: list[VmEndpoint]
    ttl_ms: int
    config_version: int


class RegionLoad(msgspec.Struct, kw_only=True):
    """Represent one service's load and capacity in one region."""

    region: str
    service: str
    capacity_per_s: float = 0.0
    load_per_s: float = 0.0
    headroom: float = 0.0


class UpstreamLoad(msgspec.Struct, kw_only=True):
    """Represent the state and load of one upstream."""

    name: str
    service: str = ""
    region: str = ""
    state: str = ""
    health: str = ""
    slots: int = 0
    in_flight: int = 0


class SiteVersion(msgspec.Struct, kw_only=True):
    """Represent the configuration version that a site has applied."""

    name: str
    region: str = ""
    vms: int = 0
    applied_version: int = 0


class Overview(msgspec.Struct, kw_only=True):
    """Represent the state of the whole deployment as one node sees it."""

    node: str = ""
    config_version: int = 0
    config_source: str = ""
    plan_epoch: int = 0
    plan_version: int = 0
    planner: bool = False
    regions: list[RegionLoad] = []
    upstreams: list[UpstreamLoad] = []
    sites: list[SiteVersion] = []
