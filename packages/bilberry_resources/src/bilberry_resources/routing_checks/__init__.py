"""Checks of a routing configuration, registered by name."""

from . import limits, regions, routes, services, workspaces  # noqa: F401
from .model import CHECKS, CheckInput, ServiceSlots, check_config

__all__ = ["CHECKS", "CheckInput", "ServiceSlots", "check_config"]
