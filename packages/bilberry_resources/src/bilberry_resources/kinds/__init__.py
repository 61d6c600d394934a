"""Resource kinds, registered by name."""

from . import clients, intents, services, topology  # noqa: F401
from .registry import KINDS

__all__ = ["KINDS"]
