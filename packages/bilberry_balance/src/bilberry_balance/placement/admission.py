"""Admit a request to the queue, or refuse it at once."""

from dataclasses import dataclass

from bilberry_core.ids import HASH_SPACE, stable_hash

from .const import MIN_RETRY_AFTER_MS, RETRY_AFTER_SPREAD


def expected_queue_wait_ms(
    ahead: int, nodes: int, slots: int, processing_ms: float
) -> int:
    """Return the expected wait in ms behind `ahead` requests on this node.

    All `nodes` are assumed to have as many waiting for the same `slots`. The
    rate at which this node's own requests start tells less: with many nodes
    each starts few, however many slots become free.
    """
    if slots <= 0:
        return MIN_RETRY_AFTER_MS
    return int((ahead + 1) * nodes * processing_ms / slots)


def spread_retry_after_ms(expected_wait_ms: int, request_id: str) -> int:
    """Return when a refused caller should come back, in ms.

    Callers that were refused together come back one after the other.
    """
    wait_ms = max(MIN_RETRY_AFTER_MS, expected_wait_ms)
    fraction = stable_hash(request_id) / HASH_SPACE
    return int(wait_ms * (1 + RETRY_AFTER_SPREAD * fraction))


@dataclass(slots=True, frozen=True)
class Refusal:
    """Represent a refusal; the caller may retry after `retry_after_ms`."""

    retry_after_ms: int


def admit(expected_wait_ms: int, max_wait_ms: int) -> Refusal | None:
    """Return a refusal if the expected wait is longer than allowed."""
    if expected_wait_ms <= max_wait_ms:
        return None
    return Refusal(max(MIN_RETRY_AFTER_MS, expected_wait_ms))
