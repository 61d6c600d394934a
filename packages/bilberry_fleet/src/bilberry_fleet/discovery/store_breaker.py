"""Let one call of a node at a time probe a store that fails."""

from collections.abc import Callable

from bilberry_store.backoff import Backoff

from .const import OUTAGE_FAILURES, RETRY_BASE_MS, RETRY_MAX_MS


class StoreBreaker:
    """Hold back a node's calls to the store while it fails.

    A failed call opens it. Then one call at a time is a probe, with a growing
    delay between them; the first answer closes it, and calls `on_recovery`.
    """

    __slots__ = ("backoff", "is_open", "is_probing", "on_recovery", "retry_at_ms")

    def __init__(
        self, seed: int, on_recovery: Callable[[], None] = lambda: None
    ) -> None:
        self.on_recovery = on_recovery
        self.backoff = Backoff(seed, RETRY_BASE_MS, RETRY_MAX_MS)
        self.is_open = False
        self.is_probing = False
        self.retry_at_ms = 0

    @property
    def is_outage(self) -> bool:
        """Return whether also probes have failed, not just one call."""
        return self.is_open and self.backoff.failures >= OUTAGE_FAILURES

    def delay_ms(self, now_ms: int) -> int:
        """Return how long to wait before asking again, 0 to call now."""
        if not self.is_open:
            return 0
        if self.is_probing:
            return RETRY_BASE_MS
        return max(0, self.retry_at_ms - now_ms)

    def begin_call(self) -> bool:
        """Record that a call begins; return whether it is a probe."""
        self.is_probing = self.is_open
        return self.is_open

    def on_answer(self) -> int:
        """Close it; return how many calls had failed."""
        failures = self.backoff.failures
        was_open = self.is_open
        self.backoff.reset()
        self.is_open = False
        self.is_probing = False
        if was_open:
            self.on_recovery()
        return failures

    def on_failure(self, is_probe: bool, now_ms: int) -> None:
        """Open it, or wait longer after a failed probe."""
        if self.is_open and not is_probe:
            return
        self.is_open = True
        self.is_probing = False
        self.retry_at_ms = now_ms + self.backoff.next_delay_ms()

    def abandon_probe(self, now_ms: int) -> None:
        """Let another call be the probe if one ended without an outcome."""
        if self.is_probing:
            self.on_failure(True, now_ms)
