"""Check the services of routes, and their weights and pools."""

from collections.abc import Iterator

from ..routing import ConfigProblem, PoolConfig
from .model import CHECKS, ROUTE, SERVICE, CheckInput, error, warning


@CHECKS.register("service_unused")
def check_unused(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find services that no route uses, if all routes are known."""
    if not given.knows_all_routes:
        return
    used = {
        part.service
        for rule in given.routes
        for part in (*rule.services, *rule.unweighted)
    }
    for name in given.config.pools:
        if name not in used:
            yield warning(SERVICE, name, "is used by no route")


@CHECKS.register("service_undefined")
def check_undefined(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find services that routes use and no resource defines.

    Nodes use default settings for them. That is meant where the configuration
    defines no service at all, and a typing error where it defines others.
    """
    pools = given.config.pools
    if not pools:
        return
    unreadable = {p.name for p in given.config.problems if p.resource == SERVICE}
    for rule in given.routes:
        for part in rule.services:
            if part.service in pools or part.service in unreadable:
                continue
            has_upstreams = bool(given.slots and given.slots.get(part.service))
            report = warning if has_upstreams else error
            reason = f"uses service {part.service}, which isn't defined"
            yield report(ROUTE, rule.name, reason)


@CHECKS.register("service_weight")
def check_weights(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find parts of a traffic split that get no request."""
    for rule in given.routes:
        for part in rule.unweighted:
            reason = f"gives service {part.service} a weight of {part.weight:g}"
            report = error if part.weight < 0 else warning
            yield report(ROUTE, rule.name, reason)


@CHECKS.register("service_pool")
def check_pools(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find negative sizes, times and rates of services."""
    for pool in given.config.pools.values():
        for field, value in _pool_figures(pool).items():
            if value < 0:
                yield error(SERVICE, pool.name, f"has a negative {field}, {value:g}")


def _pool_figures(pool: PoolConfig) -> dict[str, float]:
    return {
        "limit of connections": pool.max_connections,
        "cold start time": pool.cold_start_ms,
        "rate of cold requests": pool.cold_requests_per_s,
    }
