"""Services and their upstreams."""

from enum import StrEnum
from typing import Annotated

import msgspec

from ..const import (
    DEFAULT_CONNECTIONS,
    DEFAULT_IDEMPOTENT_METHODS,
    DEFAULT_REQUEST_BYTES,
    DEFAULT_RESPONSE_BYTES,
    DEFAULT_SLOTS,
    DEFAULT_TIMEOUT_MS,
    KIND_SERVICE,
    KIND_UPSTREAM,
)
from .registry import (
    SPEC_TYPES,
    Address,
    Name,
    NonNegativeFloat,
    PositiveInt,
    Share,
    Spec,
)

Method = Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{1,20}$")]


class Priority(StrEnum):
    """Rank services for when capacity is too small for all traffic."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


class UpstreamState(StrEnum):
    """Define whether an upstream accepts new requests."""

    ACTIVE = "active"
    DRAINING = "draining"
    RETIRED = "retired"


@SPEC_TYPES.register(KIND_SERVICE)
class ServiceSpec(Spec):
    """Declare a service; body sizes are averages per request in bytes."""

    slots: PositiveInt = DEFAULT_SLOTS
    connections: PositiveInt = DEFAULT_CONNECTIONS
    idempotent_methods: tuple[Method, ...] = DEFAULT_IDEMPOTENT_METHODS
    timeout_ms: PositiveInt = DEFAULT_TIMEOUT_MS
    priority: Priority = Priority.NORMAL
    reserved_share: Share = 0.0
    request_bytes: PositiveInt = DEFAULT_REQUEST_BYTES
    response_bytes: PositiveInt = DEFAULT_RESPONSE_BYTES


@SPEC_TYPES.register(KIND_UPSTREAM)
class UpstreamSpec(Spec):
    """Declare one endpoint of a service."""

    service: Name
    region: Name
    failure_domain: Name
    address: Address
    slots: PositiveInt | None = None
    connections: PositiveInt | None = None
    weight: NonNegativeFloat = 1.0
    state: UpstreamState = UpstreamState.ACTIVE
