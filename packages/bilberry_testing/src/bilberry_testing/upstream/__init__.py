"""A simulated upstream, used in tests."""

from .messages import Control, Fault, FaultAction, Identity
from .server import UpstreamServer

__all__ = ["Control", "Fault", "FaultAction", "Identity", "UpstreamServer"]
