"""Decide when a list that lacks some objects is read again."""

import logging

from bilberry_core.clock import Clock
from bilberry_store.backoff import Backoff

from .const import LIST_AGAIN_BASE_MS, LIST_AGAIN_MAX_MS
from .source import Snapshot

_LOGGER = logging.getLogger(__name__)


class ListRetry:
    """Schedule another list of a kind, ever later, while it has gaps."""

    __slots__ = ("backoff", "clock", "due_ms", "kind")

    def __init__(self, kind: str, clock: Clock, seed: int) -> None:
        self.kind = kind
        self.clock = clock
        self.backoff = Backoff(seed, LIST_AGAIN_BASE_MS, LIST_AGAIN_MAX_MS)
        self.due_ms: int | None = None

    def record(self, snapshot: Snapshot) -> None:
        """Schedule the next list, if this one has gaps."""
        if not snapshot.gaps:
            self.backoff.reset()
            self.due_ms = None
            return
        delay_ms = self.backoff.next_delay_ms()
        self.due_ms = self.clock.now_ms() + delay_ms
        _LOGGER.warning(
            "discovery: The list of %s may lack names %s; it is read again in %s ms.",
            self.kind,
            [(gap.after, gap.last) for gap in snapshot.gaps],
            delay_ms,
        )

    def is_due(self) -> bool:
        """Return whether to list again."""
        return self.due_ms is not None and self.clock.now_ms() >= self.due_ms
