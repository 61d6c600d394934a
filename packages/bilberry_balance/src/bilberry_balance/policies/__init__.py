"""Load balancing policies, registered by name."""

from . import baselines, measured, quota, two_choices  # noqa: F401
from .registry import POLICIES, Policy

__all__ = ["POLICIES", "Policy"]
