"""Load balancing policies, registered by name."""

from . import baselines, directory_proxy, quota, two_choices  # noqa: F401
from .registry import POLICIES, Policy

__all__ = ["POLICIES", "Policy"]
