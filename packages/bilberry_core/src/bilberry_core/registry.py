"""Registries that are filled by decorators."""

from collections.abc import Callable, Hashable
from typing import TypeVar

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


class Registry(dict[K, V]):
    """Map keys to the items registered under them."""

    def register(self, key: K) -> Callable[[V], V]:
        """Return a decorator that registers its target under `key`."""

        def decorate(item: V) -> V:
            assert key not in self, f"{key!r} is already registered"
            self[key] = item
            return item

        return decorate
