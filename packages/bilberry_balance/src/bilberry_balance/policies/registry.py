"""The interface of load balancing policies and their registry."""

import random
from typing import Protocol

from bilberry_core.registry import Registry

from ..endpoint import Endpoint


class Policy(Protocol):
    """Choose an endpoint for a request."""

    def __init__(self, rng: random.Random) -> None:
        """Initialize the policy with a seeded random number generator."""
        ...

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return one of `endpoints`; with `may_wait`, None means to wait."""
        ...


POLICIES: Registry[str, type[Policy]] = Registry()
