"""A simulated platform object store, used in tests."""

from .server import PlatformServer
from .table import ObjectTable

__all__ = ["ObjectTable", "PlatformServer"]
