"""Limits of an HTTP server for each caller."""

from dataclasses import dataclass

from ..const import (
    DEFAULT_BODY_TIMEOUT_MS,
    DEFAULT_HEADER_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
)
from ..settings import LimitSettings


@dataclass(slots=True, frozen=True)
class Limits:
    """Represent the limits on sizes in bytes and on timeouts in ms."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_ms: int = DEFAULT_HEADER_TIMEOUT_MS
    body_timeout_ms: int = DEFAULT_BODY_TIMEOUT_MS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS


def limits_from(settings: LimitSettings) -> Limits:
    """Return the limits set in the settings file."""
    return Limits(
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        header_timeout_ms=settings.header_timeout_ms,
        body_timeout_ms=settings.body_timeout_ms,
        idle_timeout_ms=settings.idle_timeout_ms,
    )
