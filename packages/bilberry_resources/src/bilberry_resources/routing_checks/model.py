"""Run the registered checks over one configuration."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from functools import cached_property

from bilberry_core.registry import Registry

from ..routing import ConfigProblem, RouteRule, RoutingConfig, Severity

# The slots of each service's upstreams by region.
ServiceSlots = Mapping[str, Mapping[str, int]]

# The share of retries that deployments allow unless they say otherwise.
DEFAULT_RETRY_SHARE = 0.2
MAX_LISTED_NAMES = 5

ROUTE = "routes"
SERVICE = "services"
WORKSPACE = "workspaces"
LIMITS = "limits"


@dataclass(frozen=True)
class CheckInput:
    """Hold a configuration and what is known of its deployment.

    Without `slots`, checks that need upstreams find nothing. `retry_share` is
    the number of retries that the retry budget allows for each request.
    """

    config: RoutingConfig
    slots: ServiceSlots | None = None
    retry_share: float = DEFAULT_RETRY_SHARE

    @cached_property
    def routes(self) -> list[RouteRule]:
        """Return the routes that could be read as a whole."""
        return [rule for rule in self.config.routes if rule.valid]

    @cached_property
    def knows_all_routes(self) -> bool:
        """Return whether every route could be read."""
        is_complete = len(self.routes) == len(self.config.routes)
        return is_complete and not self.config.has_unknown_routes


Check = Callable[[CheckInput], Iterator[ConfigProblem]]

CHECKS: Registry[str, Check] = Registry()


def check_config(
    config: RoutingConfig,
    slots: ServiceSlots | None = None,
    retry_share: float = DEFAULT_RETRY_SHARE,
) -> list[ConfigProblem]:
    """Return the problems of a configuration, unreadable resources first."""
    given = CheckInput(config, slots, retry_share)
    found = list(config.problems)
    for check in CHECKS.values():
        found += check(given)
    return found


def error(resource: str, name: str, message: str) -> ConfigProblem:
    """Return a problem that costs requests."""
    return ConfigProblem(Severity.ERROR, resource, name, message)


def warning(resource: str, name: str, message: str) -> ConfigProblem:
    """Return a problem that makes a part of the configuration useless."""
    return ConfigProblem(Severity.WARNING, resource, name, message)


def join_names(names: list[str]) -> str:
    """Return the first names as text, and how many more there are."""
    text = ", ".join(names[:MAX_LISTED_NAMES])
    left_out = len(names) - MAX_LISTED_NAMES
    return f"{text} and {left_out} more" if left_out > 0 else text
