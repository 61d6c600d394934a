"""Messages of the platform's object API."""

from enum import StrEnum
from typing import Any

import msgspec


class EventType(StrEnum):
    """Represent the type of a change of an object."""

    PUT = "put"
    DELETE = "delete"


class PlatformObject(msgspec.Struct, kw_only=True):
    """Represent an object whose content the platform doesn't interpret."""

    kind: str = ""
    metadata: dict[str, Any] = {}
    spec: Any = {}
    status: Any = None


class ObjectList(msgspec.Struct):
    """Represent the objects of one kind at one version."""

    version: int
    items: list[msgspec.Raw]


class WatchEvent(msgspec.Struct):
    """Represent one change of an object."""

    type: EventType
    object: msgspec.Raw


class WatchResult(msgspec.Struct):
    """Represent the changes up to `version`."""

    version: int
    events: list[WatchEvent]


class Deleted(msgspec.Struct):
    """Represent a deletion done at `version`."""

    version: int


class VmState(StrEnum):
    """Represent whether a VM stays in service."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, kw_only=True):
    """Describe one VM; addresses are IP:PORT."""

    name: str
    address: str
    peer_address: str
    admin_address: str
    region: str
    failure_domain: str
    site: str
    state: VmState = VmState.LIVE


class VmList(msgspec.Struct):
    """Represent the platform's list of VMs."""

    items: list[Vm] = []


class VmUpdate(msgspec.Struct, kw_only=True):
    """Represent a new list of VMs, visible to readers after `lag_ms`."""

    items: list[Vm]
    lag_ms: int = 0


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Represent the injected faults; the default is none.

    `down` closes each connection without an answer, `slow_ms` delays each
    call, `lose_reply` is the number of next writes that take effect
    without an answer, `stale` hides later changes from reads and watches.
    """

    down: bool = False
    slow_ms: int = 0
    lose_reply: int = 0
    stale: bool = False


class CallCounts(msgspec.Struct, kw_only=True):
    """Store the number of calls by verb; a waiting watch counts once."""

    get: int = 0
    list: int = 0
    put: int = 0
    delete: int = 0
    watch: int = 0
    vms: int = 0
    total: int = 0
    by_kind: dict[str, int] = {}
