"""Resource kinds, registered by name."""

from . import clients, intents, services, topology  # noqa: F401
from .registry import SPEC_TYPES

__all__ = ["SPEC_TYPES"]
