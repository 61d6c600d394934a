"""Eject failing endpoints from a pool while enough others remain."""

import math
from collections.abc import Collection

from .const import (
    DEFAULT_EJECT_FAILURES,
    DEFAULT_EJECT_MAX_MS,
    DEFAULT_EJECT_MS,
    DEFAULT_POOL_FLOOR,
)
from .endpoint import AttemptEnd, Endpoint

FAILED_ENDS = frozenset({AttemptEnd.FAILED, AttemptEnd.TIMED_OUT})


class Ejector:
    """Eject endpoints after consecutive failures, each time for longer.

    At least the fraction `floor` of the serving endpoints is kept.
    """

    __slots__ = ("floor",)

    def __init__(self, floor: float = DEFAULT_POOL_FLOOR) -> None:
        self.floor = floor

    def on_end(
        self,
        endpoint: Endpoint,
        end: AttemptEnd,
        pool: Collection[Endpoint],
        now_ms: int,
    ) -> None:
        """Count consecutive failures and eject the endpoint at the limit."""
        if end is AttemptEnd.ANSWERED:
            endpoint.failures = 0
            endpoint.ejections = 0
            return
        if end not in FAILED_ENDS:
            return
        endpoint.failures += 1
        if endpoint.failures < DEFAULT_EJECT_FAILURES:
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
        serving = [e for e in pool if e.takes_work()]
        others = [
            e for e in serving if e is not endpoint and e.ejected_until_ms <= now_ms
        ]
        least = max(1, math.ceil(len(serving) * self.floor))
        return len(others) >= least

    def _eject(self, endpoint: Endpoint, now_ms: int) -> None:
        span_ms = DEFAULT_EJECT_MS << min(endpoint.ejections, 8)
        endpoint.ejections += 1
        endpoint.failures = 0
        endpoint.ejected_until_ms = now_ms + min(span_ms, DEFAULT_EJECT_MAX_MS)
        endpoint.ramp_from_ms = endpoint.ejected_until_ms
