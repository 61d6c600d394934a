"""Baseline policies that use no load data but this node's own requests."""

import random

from ..const import (
    POLICY_LEAST_CONNECTIONS,
    POLICY_RANDOM,
    POLICY_ROUND_ROBIN,
)
from ..endpoint import Endpoint
from .registry import POLICIES


@POLICIES.register(POLICY_ROUND_ROBIN)
class RoundRobin:
    """Choose the endpoints in turn, starting at a random one."""

    __slots__ = ("last_index",)

    def __init__(self, rng: random.Random) -> None:
        self.last_index = rng.randrange(1_000)

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return the next endpoint in turn."""
        self.last_index += 1
        return endpoints[self.last_index % len(endpoints)]


@POLICIES.register(POLICY_RANDOM)
class Random:
    """Choose an endpoint at random, each with the same probability."""

    __slots__ = ("rng",)

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return a random endpoint."""
        return self.rng.choice(endpoints)


@POLICIES.register(POLICY_LEAST_CONNECTIONS)
class LeastConnections:
    """Choose the endpoint with the fewest requests of this node."""

    __slots__ = ("rng",)

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(
        self, endpoints: list[Endpoint], now_ms: int, may_wait: bool
    ) -> Endpoint | None:
        """Return an endpoint with the fewest requests in flight."""
        least = min(e.in_flight for e in endpoints)
        return self.rng.choice([e for e in endpoints if e.in_flight == least])
