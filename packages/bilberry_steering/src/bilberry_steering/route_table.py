"""Look up the route of a request by host and longest path prefix."""

import random

from bilberry_resources.routing import RouteRule, RoutingConfig

from .split import WeightedTurns

MAX_SKIPPED_TURNS = 20


class RouteEntry:
    """Store a route and the round robin over its services."""

    __slots__ = ("rule", "turns")

    def __init__(self, rule: RouteRule, turns: WeightedTurns) -> None:
        self.rule = rule
        self.turns = turns

    def next_service(self) -> str:
        """Return the service that gets the route's next request."""
        return self.turns.next()


class RouteTable:
    """Store the routes of the newest configuration."""

    __slots__ = ("config", "hosts", "rng")

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.config: RoutingConfig | None = None
        self.hosts: dict[str, dict[str, RouteEntry]] = {}

    def install(self, config: RoutingConfig) -> bool:
        """Install `config`; return False if it isn't newer."""
        if self.config is not None and config.version <= self.config.version:
            return False
        hosts: dict[str, dict[str, RouteEntry]] = {}
        for rule in config.routes:
            turns = self._kept_turns(rule) or self._new_turns(rule)
            entry = RouteEntry(rule, turns)
            hosts.setdefault(rule.host.lower(), {})[rule.path_prefix] = entry
        self.hosts = hosts
        self.config = config
        return True

    def find(self, host: str, path: str) -> RouteEntry | None:
        """Return the host's route with the longest prefix of `path`."""
        prefixes = self.hosts.get(_host_name(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            entry = prefixes.get(path[: end + 1])
            if entry is not None:
                return entry
            end = path.rfind("/", 0, end)
        return None

    def _new_turns(self, rule: RouteRule) -> WeightedTurns:
        return WeightedTurns(rule.services, self.rng.randrange(MAX_SKIPPED_TURNS))

    def _kept_turns(self, rule: RouteRule) -> WeightedTurns | None:
        old = self.hosts.get(rule.host.lower(), {}).get(rule.path_prefix)
        if old is None or old.rule.services != rule.services:
            return None
        return old.turns


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit() and not name.endswith(":"):
        host = name
    return host.lower()
