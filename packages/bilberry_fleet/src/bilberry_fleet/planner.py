"""Write plans under the lease's epoch, conditional on the last version.

A new holder first rewrites the stored plan under its own epoch. After that,
any write that a former holder still has in flight fails its condition.
"""

import logging
from enum import StrEnum
from typing import Any

import msgspec

from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.model import Metadata, StoredObject
from bilberry_store.client import StoreClient
from bilberry_store.errors import StoreError, StoreErrorKind

from .const import KIND_PLAN, NAME_CURRENT_PLAN
from .distribution import plan_from_stored
from .messages import PlanRecord

_LOGGER = logging.getLogger(__name__)

CLAIM_ATTEMPTS = 3


class PlanErrorKind(StrEnum):
    """Reason why a plan was not published."""

    NOT_HOLDER = "not-holder"
    SUPERSEDED = "superseded"
    STORE = "store"


class PlanError(msgspec.Struct, frozen=True, kw_only=True):
    """Describe why a plan was not published."""

    kind: PlanErrorKind
    reason: str = ""


class PlanWriter:
    """Publish the plans of one epoch at a time."""

    __slots__ = ("epoch", "store", "version")

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.epoch = 0
        self.version: int | None = None

    def claim(self, epoch: int) -> Result[PlanRecord | None, PlanError]:
        """Rewrite the stored plan under `epoch`, or create it; return it."""
        self.epoch = epoch
        self.version = None
        for _ in range(CLAIM_ATTEMPTS):
            read = self.store.get(KIND_PLAN, NAME_CURRENT_PLAN)
            if isinstance(read, Failure):
                if read.failure().kind is not StoreErrorKind.NOT_FOUND:
                    return Failure(_store_error(read.failure()))
                written = self.write(None, 0)
            else:
                current = read.unwrap()
                stored_epoch = current.spec.get("epoch", 0)
                if stored_epoch > epoch:
                    return Failure(_superseded(stored_epoch))
                if stored_epoch == epoch:
                    self.version = current.metadata.version
                    return Success(plan_from_stored(current))
                written = self.write(current.spec.get("body"), current.metadata.version)
            if isinstance(written, Success):
                return written
            if written.failure().kind is not StoreErrorKind.CONFLICT:
                return Failure(_store_error(written.failure()))
        return Failure(
            PlanError(kind=PlanErrorKind.STORE, reason="plan keeps changing")
        )

    def publish(self, body: bytes, epoch: int) -> Result[PlanRecord, PlanError]:
        """Write a plan, a JSON value, under `epoch`."""
        if epoch != self.epoch:
            return Failure(PlanError(kind=PlanErrorKind.NOT_HOLDER))
        if self.version is None:
            claimed = self.claim(epoch)
            if isinstance(claimed, Failure):
                return claimed
        assert self.version is not None, "a successful claim sets the version"
        written = self.write(msgspec.json.decode(body), self.version)
        if isinstance(written, Success):
            return written
        error = written.failure()
        self.version = None
        current = error.current
        stored_epoch = current.spec.get("epoch", 0) if current is not None else 0
        if error.kind is StoreErrorKind.CONFLICT and stored_epoch > epoch:
            return Failure(_superseded(stored_epoch))
        return Failure(_store_error(error))

    def write(self, body: Any, if_version: int) -> Result[PlanRecord, StoreError]:
        """Write the plan object if its version is still `if_version`."""
        stored = StoredObject(
            kind=KIND_PLAN,
            metadata=Metadata(name=NAME_CURRENT_PLAN),
            spec={"epoch": self.epoch, "body": body},
        )
        written = self.store.put(stored, if_version)
        if isinstance(written, Failure):
            return written
        current = written.unwrap()
        self.version = current.metadata.version
        return Success(plan_from_stored(current))


def _store_error(error: StoreError) -> PlanError:
    return PlanError(kind=PlanErrorKind.STORE, reason=f"{error.kind}: {error.reason}")


def _superseded(epoch: int) -> PlanError:
    return PlanError(kind=PlanErrorKind.SUPERSEDED, reason=f"epoch {epoch} plans now")
