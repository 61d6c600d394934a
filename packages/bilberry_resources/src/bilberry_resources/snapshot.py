"""Decoded configuration objects at one version, grouped by kind."""

from collections.abc import Iterable
from typing import Any

import msgspec

from bilberry_core.outcome import Failure, FieldError, Result, Success

from .const import (
    KIND_CLIENT_BLOCK_SET,
    KIND_INTENT,
    KIND_LINK,
    KIND_REGION,
    KIND_SERVICE,
    KIND_SITE,
    KIND_UPSTREAM,
)
from .kinds import SPEC_TYPES
from .kinds.clients import ClientBlockSetSpec
from .kinds.intents import IntentSpec
from .kinds.services import ServiceSpec, UpstreamSpec
from .kinds.topology import LinkSpec, RegionSpec, SiteSpec
from .model import StoredObject
from .validation import validate

REASON_UNKNOWN_KIND = "unknown kind"


class ConfigSnapshot(msgspec.Struct, kw_only=True):
    """Represent the specs of all objects at one version."""

    version: int = 0
    regions: dict[str, RegionSpec] = {}
    links: dict[str, LinkSpec] = {}
    services: dict[str, ServiceSpec] = {}
    sites: dict[str, SiteSpec] = {}
    upstreams: dict[str, UpstreamSpec] = {}
    intents: dict[str, IntentSpec] = {}
    client_block_sets: dict[str, ClientBlockSetSpec] = {}

    def specs_of_kind(self, kind: str) -> dict[str, Any]:
        """Return the specs of a kind, keyed by object name."""
        return getattr(self, SNAPSHOT_FIELD_BY_KIND[kind])

    def add_spec(self, kind: str, name: str, spec: msgspec.Struct) -> None:
        """Add or replace one object's spec."""
        self.specs_of_kind(kind)[name] = spec


SNAPSHOT_FIELD_BY_KIND = {
    KIND_REGION: "regions",
    KIND_LINK: "links",
    KIND_SERVICE: "services",
    KIND_SITE: "sites",
    KIND_UPSTREAM: "upstreams",
    KIND_INTENT: "intents",
    KIND_CLIENT_BLOCK_SET: "client_block_sets",
}


def decode_spec(
    kind: str, spec: dict[str, Any]
) -> Result[msgspec.Struct, list[FieldError]]:
    """Return the validated spec of `kind`, or all field errors."""
    model = SPEC_TYPES.get(kind)
    if model is None:
        return Failure([FieldError("kind", REASON_UNKNOWN_KIND)])
    return validate(spec, model, "spec")


def build_snapshot(version: int, objects: Iterable[StoredObject]) -> ConfigSnapshot:
    """Build a snapshot from `objects`, skipping those that are invalid."""
    snapshot = ConfigSnapshot(version=version)
    for stored in objects:
        decoded = decode_spec(stored.kind, stored.spec)
        if isinstance(decoded, Success):
            snapshot.add_spec(stored.kind, stored.metadata.name, decoded.unwrap())
    return snapshot
