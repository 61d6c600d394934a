"""Check home regions against upstreams and against each other."""

from collections.abc import Iterable, Iterator

from ..routing import (
    ConfigProblem,
    RouteRule,
    RoutingConfig,
    Severity,
    Workspace,
)
from .model import (
    CHECKS,
    ROUTE,
    WORKSPACE,
    CheckInput,
    error,
    join_names,
    warning,
)

RoutesByHomes = dict[frozenset[str], list[str]]


@CHECKS.register("route_home_regions")
def check_route_regions(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find home regions of routes where their services have no upstream."""
    if given.slots is None:
        return
    for rule in given.routes:
        known = [given.slots.get(part.service) for part in rule.services]
        if not rule.home_regions or not all(known):
            continue
        regions = {region for slots in known for region in slots or ()}
        yield from _report_regions(ROUTE, rule, regions)


@CHECKS.register("workspace_home_regions")
def check_workspace_regions(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find home regions of workspaces where no service has an upstream."""
    if not given.slots:
        return
    regions = {region for slots in given.slots.values() for region in slots}
    for workspace in given.config.workspaces:
        yield from _report_regions(WORKSPACE, workspace, regions)


def _report_regions(
    resource: str, holder: RouteRule | Workspace, regions: Iterable[str]
) -> Iterator[ConfigProblem]:
    missing = holder.home_regions.difference(regions)
    if not missing:
        return
    names = join_names(sorted(missing))
    if missing == holder.home_regions:
        reason = f"can't be served, as no upstream is in its home regions: {names}"
        yield error(resource, holder.name, reason)
        return
    reason = f"has home regions without an upstream: {names}"
    yield warning(resource, holder.name, reason)


@CHECKS.register("excluding_home_regions")
def check_exclusions(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find workspaces and routes whose home regions exclude each other.

    A route that no workspace may use, or a workspace that may use no route,
    is an error. Other pairs may be meant, and give one warning a workspace.
    """
    if not given.config.requires_keys:
        return
    by_homes: RoutesByHomes = {}
    for rule in given.routes:
        if not rule.public:
            by_homes.setdefault(rule.home_regions, []).append(rule.name)
    yield from _report_unusable_routes(by_homes, given.config)
    route_count = sum(map(len, by_homes.values()))
    excluded: dict[frozenset[str], list[str]] = {}
    for workspace in given.config.workspaces:
        homes = workspace.home_regions
        if homes not in excluded:
            excluded[homes] = _excluded_routes(by_homes, homes)
        names = excluded[homes]
        if not names:
            continue
        reason = (
            f"has home regions ({join_names(sorted(homes))}) that exclude those of "
        )
        if len(names) == route_count and given.knows_all_routes:
            reason += "all routes that need a key"
            yield error(WORKSPACE, workspace.name, reason)
        else:
            reason += f"the routes {join_names(names)}"
            yield warning(WORKSPACE, workspace.name, reason)


def _excluded_routes(by_homes: RoutesByHomes, homes: frozenset[str]) -> list[str]:
    return [
        name
        for route_homes, names in by_homes.items()
        if _exclude(route_homes, homes)
        for name in names
    ]


def _report_unusable_routes(
    by_homes: RoutesByHomes, config: RoutingConfig
) -> Iterator[ConfigProblem]:
    """Report routes that no workspace may use, if all workspaces are known."""
    if any(problem.severity is Severity.ERROR for problem in config.problems):
        return
    workspace_homes = {workspace.home_regions for workspace in config.workspaces}
    for homes, names in by_homes.items():
        if not all(_exclude(homes, other) for other in workspace_homes):
            continue
        regions = join_names(sorted(homes))
        reason = f"has home regions ({regions}) that exclude those of all workspaces"
        for name in names:
            yield error(ROUTE, name, reason)


def _exclude(homes: frozenset[str], other: frozenset[str]) -> bool:
    return bool(homes) and bool(other) and homes.isdisjoint(other)
