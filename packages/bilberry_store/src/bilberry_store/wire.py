"""Messages of the platform's object API."""

from enum import StrEnum

import msgspec

from bilberry_resources.model import StoredObject


class ObjectList(msgspec.Struct, kw_only=True):
    """Represent all objects of a kind, with the store's version."""

    version: int
    items: list[StoredObject] = []


class EventType(StrEnum):
    """Define the change that a watch event reports."""

    PUT = "put"
    DELETE = "delete"


class WatchEvent(msgspec.Struct, kw_only=True):
    """Represent one change of an object."""

    type: str
    object: StoredObject

    @property
    def is_delete(self) -> bool:
        """Return whether the object was deleted."""
        return self.type.lower().startswith(EventType.DELETE)


class WatchBatch(msgspec.Struct, kw_only=True):
    """Represent the changes since the version given in a watch."""

    version: int
    events: list[WatchEvent] = []


class VmState(StrEnum):
    """Define whether the platform is about to remove a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmItem(msgspec.Struct, kw_only=True):
    """Represent a VM in the platform's list, which may be out of date."""

    name: str
    address: str = ""
    peer_address: str = ""
    admin_address: str = ""
    region: str = ""
    failure_domain: str = ""
    site: str = ""
    state: str = VmState.LIVE.value


class VmList(msgspec.Struct, kw_only=True):
    """Represent the platform's list of VMs."""

    items: list[VmItem] = []
