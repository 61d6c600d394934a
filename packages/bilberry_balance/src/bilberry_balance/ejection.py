"""Eject failing endpoints from a pool while enough others remain."""

import math
from collections.abc import Collection

from .const import (
    DEFAULT_EJECT_MAX_MS,
    DEFAULT_EJECT_MS,
    DEFAULT_FAILURES_TO_EJECT,
    DEFAULT_MIN_AVAILABLE_FRACTION,
)
from .endpoint import AttemptOutcome, Endpoint

FAILED_OUTCOMES = frozenset({AttemptOutcome.FAILED, AttemptOutcome.TIMED_OUT})


class OutlierEjector:
    """Eject endpoints after consecutive failures, each time for longer.

    The fraction `min_available_fraction` of the serving endpoints is kept.
    """

    __slots__ = ("min_available_fraction",)

    def __init__(
        self, min_available_fraction: float = DEFAULT_MIN_AVAILABLE_FRACTION
    ) -> None:
        self.min_available_fraction = min_available_fraction

    def on_attempt_end(
        self,
        endpoint: Endpoint,
        outcome: AttemptOutcome,
        pool: Collection[Endpoint],
        now_ms: int,
    ) -> None:
        """Count consecutive failures and eject the endpoint at the limit."""
        if outcome is AttemptOutcome.ANSWERED:
            endpoint.consecutive_failures = 0
            endpoint.ejections = 0
            return
        if outcome not in FAILED_OUTCOMES:
            return
        endpoint.consecutive_failures += 1
        if endpoint.consecutive_failures < DEFAULT_FAILURES_TO_EJECT:
            return
        if self._may_eject(endpoint, pool, now_ms):
            self._eject(endpoint, now_ms)

    def without_ejected(
        self, candidates: list[Endpoint], now_ms: int
    ) -> list[Endpoint]:
        """Return the candidates not ejected, or all if all are ejected."""
        kept = [e for e in candidates if e.ejected_until_ms <= now_ms]
        return kept or candidates

    def _may_eject(
        self, endpoint: Endpoint, pool: Collection[Endpoint], now_ms: int
    ) -> bool:
        serving = [e for e in pool if e.accepts_requests()]
        others = [
            e for e in serving if e is not endpoint and e.ejected_until_ms <= now_ms
        ]
        min_others = max(1, math.ceil(len(serving) * self.min_available_fraction))
        return len(others) >= min_others

    def _eject(self, endpoint: Endpoint, now_ms: int) -> None:
        duration_ms = DEFAULT_EJECT_MS << min(endpoint.ejections, 8)
        endpoint.ejections += 1
        endpoint.consecutive_failures = 0
        endpoint.ejected_until_ms = now_ms + min(duration_ms, DEFAULT_EJECT_MAX_MS)
        endpoint.slow_start_from_ms = endpoint.ejected_until_ms
