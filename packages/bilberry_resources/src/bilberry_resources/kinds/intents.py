"""Intents: the regional traffic distribution that operators request."""

import msgspec

from ..const import (
    DEFAULT_MAX_SHARE,
    DEFAULT_SOAK_MS,
    DEFAULT_STEP_MS,
    KIND_INTENT,
)
from .registry import KINDS, Count, Name, PositiveInt, PositiveShare, Rate, Share, Spec


class ShiftCap(Spec):
    """Limit the traffic that one step of a shift may move."""

    max_share: PositiveShare = DEFAULT_MAX_SHARE
    max_rate_per_s: Rate | None = None


class Move(Spec):
    """Request that a share of a service's traffic moves between regions."""

    source: Name
    target: Name
    share: PositiveShare


class ShiftBounds(Spec):
    """Define the thresholds beyond which a shift pauses or rolls back."""

    max_error_share: Share | None = None
    max_latency_ms: PositiveInt | None = None
    max_utilization: PositiveShare | None = None


@KINDS.register(KIND_INTENT)
class IntentSpec(Spec):
    """Declare a service's target regional weights, or traffic moves."""

    service: Name
    weights: dict[Name, Rate] = {}
    moves: list[Move] = []
    cap: ShiftCap = msgspec.field(default_factory=ShiftCap)
    step_ms: PositiveInt = DEFAULT_STEP_MS
    soak_ms: Count = DEFAULT_SOAK_MS
    bounds: ShiftBounds = msgspec.field(default_factory=ShiftBounds)
    paused: bool = False
