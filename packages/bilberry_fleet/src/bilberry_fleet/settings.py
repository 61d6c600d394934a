"""Timings, keys and seed peers of the fleet."""

import msgspec

from .const import (
    DEFAULT_AUTH_SKEW_MS,
    DEFAULT_AVOID_MS,
    DEFAULT_BEAT_MS,
    DEFAULT_DEAD_MS,
    DEFAULT_FORGET_MS,
    DEFAULT_GOSSIP_MS,
    DEFAULT_LEASE_MARGIN_MS,
    DEFAULT_LEASE_MS,
    DEFAULT_LEASE_POLL_MS,
    DEFAULT_LEASE_RENEW_MS,
    DEFAULT_POLL_HOLD_MS,
    DEFAULT_PULL_SPACING_MS,
    DEFAULT_PULL_TIMEOUT_MS,
    DEFAULT_REPORT_MS,
    DEFAULT_RETRY_MS,
    DEFAULT_STATUS_MS,
    DEFAULT_STORE_BACKOFF_MAX_MS,
    DEFAULT_SUSPECT_MS,
    DEFAULT_TICK_MS,
    DEFAULT_UNREACHABLE_MS,
    DEFAULT_VMS_MS,
    DEFAULT_WATCH_MS,
)


class FleetSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Configure heartbeats, relays, store reads and the lease."""

    poll_hold_ms: int = DEFAULT_POLL_HOLD_MS
    gossip_ms: int = DEFAULT_GOSSIP_MS
    suspect_ms: int = DEFAULT_SUSPECT_MS
    dead_ms: int = DEFAULT_DEAD_MS
    forget_ms: int = DEFAULT_FORGET_MS
    unreachable_ms: int = DEFAULT_UNREACHABLE_MS
    pull_timeout_ms: int = DEFAULT_PULL_TIMEOUT_MS
    pull_spacing_ms: int = DEFAULT_PULL_SPACING_MS
    retry_ms: int = DEFAULT_RETRY_MS
    avoid_ms: int = DEFAULT_AVOID_MS
    beat_ms: int = DEFAULT_BEAT_MS
    status_ms: int = DEFAULT_STATUS_MS
    report_ms: int = DEFAULT_REPORT_MS
    vms_ms: int = DEFAULT_VMS_MS
    watch_ms: int = DEFAULT_WATCH_MS
    tick_ms: int = DEFAULT_TICK_MS
    lease_ms: int = DEFAULT_LEASE_MS
    lease_renew_ms: int = DEFAULT_LEASE_RENEW_MS
    lease_margin_ms: int = DEFAULT_LEASE_MARGIN_MS
    lease_poll_ms: int = DEFAULT_LEASE_POLL_MS
    store_backoff_max_ms: int = DEFAULT_STORE_BACKOFF_MAX_MS
    auth_skew_ms: int = DEFAULT_AUTH_SKEW_MS
    shared_keys: list[str] = []
    seed_peers: list[str] = []
