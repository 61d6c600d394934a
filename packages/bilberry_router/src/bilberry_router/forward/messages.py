"""Upstreams' replies to control calls."""

from enum import StrEnum

import msgspec


class ReportedHealth(StrEnum):
    """Health state that an upstream reports."""

    READY = "ready"
    WARMING = "warming"
    DRAINING = "draining"


class HealthReply(msgspec.Struct):
    """Reply to `/health`."""

    state: ReportedHealth
