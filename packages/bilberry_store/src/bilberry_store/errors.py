"""Errors of the store client."""

from enum import StrEnum

import msgspec

from bilberry_resources.model import StoredObject


class StoreErrorKind(StrEnum):
    """Classify the reason why a store call failed."""

    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    TOO_LARGE = "too-large"
    GONE = "gone"
    THROTTLED = "throttled"
    REFUSED = "refused"


class StoreError(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a failed store call.

    After an UNKNOWN error a write may have taken effect. Every other kind
    means that the call changed nothing.
    """

    kind: StoreErrorKind
    reason: str = ""
    current: StoredObject | None = None
    write_id: str = ""

    @property
    def is_outage(self) -> bool:
        """Return whether the store gave no usable response."""
        return self.kind in (StoreErrorKind.UNREACHABLE, StoreErrorKind.UNKNOWN)
