"""Look up the route of a request by host and longest path prefix."""

import random
from collections.abc import Iterator

from bilberry_resources.routing import RouteRule, RoutingConfig

from .weighted_round_robin import WeightedRoundRobin

MAX_SKIPPED_TURNS = 20


class RouteEntry:
    """Store a route and the selector of its services."""

    __slots__ = ("rule", "service_selector")

    def __init__(self, rule: RouteRule, service_selector: WeightedRoundRobin) -> None:
        self.rule = rule
        self.service_selector = service_selector

    def next_service(self) -> str:
        """Return the service that gets the route's next request."""
        return self.service_selector.next()


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
            selector = self._existing_selector(rule) or self._new_selector(rule)
            entry = RouteEntry(rule, selector)
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

    def home_sets(self, host: str) -> Iterator[frozenset[str]]:
        """Yield the home regions of each of the host's routes with homes."""
        for entry in self.hosts.get(_host_name(host), {}).values():
            if entry.rule.home_regions:
                yield entry.rule.home_regions

    def _new_selector(self, rule: RouteRule) -> WeightedRoundRobin:
        return WeightedRoundRobin(rule.services, self.rng.randrange(MAX_SKIPPED_TURNS))

    def _existing_selector(self, rule: RouteRule) -> WeightedRoundRobin | None:
        old = self.hosts.get(rule.host.lower(), {}).get(rule.path_prefix)
        if old is None or old.rule.services != rule.services:
            return None
        return old.service_selector


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit() and not name.endswith(":"):
        host = name
    return host.lower()
