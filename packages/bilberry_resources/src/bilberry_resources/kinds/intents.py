"""Intents: the regional traffic distribution that operators request."""

import msgspec

from ..const import (
    DEFAULT_SHIFT_MAX_SHARE,
    DEFAULT_SHIFT_SOAK_MS,
    DEFAULT_SHIFT_STEP_MS,
    KIND_INTENT,
)
from .registry import (
    SPEC_TYPES,
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveInt,
    PositiveShare,
    Share,
    Spec,
)


class ShiftStepLimit(Spec):
    """Limit the traffic that one step of a shift may move."""

    max_share: PositiveShare = DEFAULT_SHIFT_MAX_SHARE
    max_rate_per_s: NonNegativeFloat | None = None


class TrafficMove(Spec):
    """Request that a share of a service's traffic moves between regions."""

    source: Name
    target: Name
    share: PositiveShare


class ShiftThresholds(Spec):
    """Define the thresholds beyond which a shift pauses or rolls back."""

    max_error_share: Share | None = None
    max_latency_ms: PositiveInt | None = None
    max_utilization: PositiveShare | None = None


@SPEC_TYPES.register(KIND_INTENT)
class IntentSpec(Spec):
    """Declare a service's target regional weights, or traffic moves."""

    service: Name
    weights: dict[Name, NonNegativeFloat] = {}
    moves: list[TrafficMove] = []
    cap: ShiftStepLimit = msgspec.field(default_factory=ShiftStepLimit)
    step_ms: PositiveInt = DEFAULT_SHIFT_STEP_MS
    soak_ms: NonNegativeInt = DEFAULT_SHIFT_SOAK_MS
    bounds: ShiftThresholds = msgspec.field(default_factory=ShiftThresholds)
    paused: bool = False
