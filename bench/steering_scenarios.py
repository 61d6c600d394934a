"""Scenarios of the steering measurement, as functions of time."""

from dataclasses import dataclass

from bilberry_resources.kinds.intents import IntentSpec, ShiftStepLimit

from .steering_deployments import Deployment

NORMAL_LAG_MS = 1_000
STALE_LAG_MS = 30_000
DETECT_MS = 3_000
READY_MS = 15_000
SHIFT_SHARE = 0.1
SHIFT_STEP_MS = 10_000
SHIFT_SOAK_MS = 5_000
SHIFT_RATE_SHARE = 0.08


@dataclass(slots=True, frozen=True)
class Span:
    """Hold a stretch of time in ms."""

    start_ms: int
    end_ms: int

    def holds(self, now_ms: int) -> bool:
        """Say whether a time lies within."""
        return self.start_ms <= now_ms < self.end_ms


NEVER = Span(0, 0)


@dataclass(slots=True, frozen=True)
class Scenario:
    """Say what happens when; times are ms from the start."""

    name: str
    duration_ms: int = 240_000
    peak: Span = NEVER
    peak_factor: float = 1.0
    lost: Span = NEVER
    paused: Span = NEVER
    shift: bool = False
    lag_ms: int = NORMAL_LAG_MS

    def factor(self, deployment: Deployment, service: str, now_ms: int) -> float:
        """Return how much demand exceeds the normal at a time."""
        if not self.peak.holds(now_ms):
            return 1.0
        if service == deployment.peaking:
            return self.peak_factor
        return 1 + (self.peak_factor - 1) / 4

    def down(self, deployment: Deployment, now_ms: int) -> str | None:
        """Return the region that is down at a time."""
        if not self.lost.holds(now_ms):
            return None
        return max(deployment.homes, key=lambda name: deployment.homes[name])

    def known_down(self, deployment: Deployment, now_ms: int) -> str | None:
        """Return the region that is known to be down at a time."""
        return self.down(deployment, now_ms - DETECT_MS)

    def returning(self, deployment: Deployment, now_ms: int) -> str | None:
        """Return the region whose VMs start anew and take no callers yet."""
        return self.down(deployment, now_ms - READY_MS)


def scenarios() -> list[Scenario]:
    """Return all scenarios."""
    peak = Span(60_000, 180_000)
    return [
        Scenario("normal day", duration_ms=120_000),
        Scenario("festival peak", peak=peak, peak_factor=1.9),
        Scenario("planned shift", duration_ms=300_000, shift=True, peak=peak),
        Scenario("region lost", lost=Span(60_000, 140_000)),
        Scenario("stale 30 s", peak=peak, peak_factor=1.6, lag_ms=STALE_LAG_MS),
        Scenario(
            "paused planner",
            peak=Span(90_000, 200_000),
            peak_factor=1.3,
            paused=Span(60_000, 180_000),
        ),
    ]


def shift_intent(deployment: Deployment) -> IntentSpec:
    """Return the intent that drains a region of one service."""
    weights = {
        region: 0.0 if region == deployment.drained else 1.0
        for region in deployment.snapshot.regions
    }
    service = deployment.shifted
    total = sum(r for (name, _), r in deployment.demand.items() if name == service)
    return IntentSpec(
        service=service,
        weights=weights,
        cap=ShiftStepLimit(
            max_share=SHIFT_SHARE, max_rate_per_s=total * SHIFT_RATE_SHARE
        ),
        step_ms=SHIFT_STEP_MS,
        soak_ms=SHIFT_SOAK_MS,
    )
