"""Record the outcomes of a feed's calls to the store."""

import logging
from collections import Counter

from bilberry_core.clock import Clock
from bilberry_store.backoff import Backoff
from bilberry_store.errors import StoreError, StoreErrorKind

from .const import RETRY_BASE_MS, RETRY_MAX_MS
from .store_breaker import StoreBreaker

_LOGGER = logging.getLogger(__name__)

CALL_ANSWERED = "answered"
OUTAGE_KINDS = frozenset(
    {StoreErrorKind.UNREACHABLE, StoreErrorKind.UNKNOWN, StoreErrorKind.THROTTLED}
)


class CallRecord:
    """Count a feed's calls, and tell the breaker what they show."""

    __slots__ = ("backoff", "breaker", "calls", "clock", "kind", "last_answer_ms")

    def __init__(
        self, kind: str, breaker: StoreBreaker, clock: Clock, seed: int
    ) -> None:
        self.kind = kind
        self.breaker = breaker
        self.clock = clock
        self.backoff = Backoff(seed, RETRY_BASE_MS, RETRY_MAX_MS)
        self.calls: Counter[str] = Counter()
        self.last_answer_ms: int | None = None

    def answered(self) -> None:
        """Record a successful call."""
        self.last_answer_ms = self.clock.now_ms()
        self.calls[CALL_ANSWERED] += 1
        self.backoff.reset()
        failures = self.breaker.on_answer()
        if failures:
            _LOGGER.info(
                "discovery: Reading the store again after %s failures.", failures
            )

    def unusable(self, error: StoreError, limit_bytes: int) -> None:
        """Record that the store answered, but not with changes to apply."""
        self.calls[error.kind] += 1
        self.breaker.on_answer()
        if error.kind is StoreErrorKind.GONE:
            _LOGGER.info("discovery: The store dropped the history of %s.", self.kind)
        else:
            _LOGGER.info(
                "discovery: Changes of %s are over %s bytes, it is listed.",
                self.kind,
                limit_bytes,
            )

    def failed(self, error: StoreError, is_probe: bool) -> None:
        """Record a failed call."""
        self.calls[error.kind] += 1
        if not self.breaker.is_open:
            _LOGGER.warning(
                "discovery: Could not read %s: %s, %s.",
                self.kind,
                error.kind,
                error.reason,
            )
        if error.kind in OUTAGE_KINDS:
            self.breaker.on_failure(is_probe, self.clock.now_ms())
        elif is_probe:
            self.breaker.on_answer()
