"""Check that routes can match, and their times and attempts."""

import re
from collections.abc import Iterator

from ..routing import ConfigProblem, RouteRule
from .model import CHECKS, ROUTE, CheckInput, error, warning

# Attempts are covered if the retry budget allows all of them for 1 request in
# 50. Upstreams answer late 3 times in 100, and most late answers need one.
MIN_COVERED_SHARE = 0.02
# Hosts are looked up as they are, without patterns, schemes or paths.
NOT_IN_HOSTS = re.compile(r"[*/?#@\s]")
# Paths are looked up by whole segments, without their query.
PATH_PREFIX = re.compile(r"/(?:[^?#\s]*/)?")


@CHECKS.register("route_replaced")
def check_replaced(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find routes that a later one of the same host and prefix replaces."""
    by_path: dict[tuple[str, str], RouteRule] = {}
    for rule in given.config.routes:
        path = (rule.host.lower(), rule.path_prefix)
        replaced = by_path.get(path)
        if replaced is not None:
            yield error(
                ROUTE,
                replaced.name,
                f"never matches, as route {rule.name} has the same host and "
                f"path prefix {rule.host}{rule.path_prefix}",
            )
        by_path[path] = rule


@CHECKS.register("route_host")
def check_hosts(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find hosts that no request can name."""
    for rule in given.config.routes:
        if not rule.host:
            yield error(ROUTE, rule.name, "never matches, as its host is empty")
        elif NOT_IN_HOSTS.search(rule.host):
            reason = f"never matches, as {rule.host!r} is no host name"
            yield error(ROUTE, rule.name, reason)
        elif _has_port(rule.host):
            reason = f"never matches, as the host {rule.host} has a port"
            yield error(ROUTE, rule.name, reason)


@CHECKS.register("route_path_prefix")
def check_path_prefixes(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find path prefixes that are looked up for no path."""
    for rule in given.config.routes:
        prefix = rule.path_prefix
        if PATH_PREFIX.fullmatch(prefix):
            continue
        yield error(
            ROUTE,
            rule.name,
            f"never matches, as its path prefix {prefix!r} must begin and end "
            "with a slash and hold no query",
        )


@CHECKS.register("route_times")
def check_times(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find timeouts that end requests before the latency objective."""
    for rule in given.routes:
        if rule.timeout_ms <= 0:
            reason = f"has a timeout of {rule.timeout_ms} ms"
            yield error(ROUTE, rule.name, reason)
        elif rule.target_latency_ms <= 0:
            reason = f"has a latency objective of {rule.target_latency_ms} ms"
            yield error(ROUTE, rule.name, reason)
        elif rule.timeout_ms < rule.target_latency_ms:
            yield warning(
                ROUTE,
                rule.name,
                f"ends requests after {rule.timeout_ms} ms, before its latency "
                f"objective of {rule.target_latency_ms} ms",
            )


@CHECKS.register("route_attempts")
def check_attempts(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find numbers of attempts that are too low or that no budget covers.

    What is not idempotent is sent again only if it never ran, which takes
    nothing of the budget.
    """
    for rule in given.routes:
        if rule.max_attempts < 1:
            reason = f"allows {rule.max_attempts} attempts"
            yield error(ROUTE, rule.name, reason)
        retries = rule.max_attempts - 1
        covered_share = given.retry_share / max(1, retries)
        if rule.idempotent and retries > 0 and covered_share < MIN_COVERED_SHARE:
            yield warning(
                ROUTE,
                rule.name,
                f"allows {rule.max_attempts} attempts, but a retry budget of "
                f"{given.retry_share:g} covers all of them for only "
                f"{covered_share:.1%} of the requests",
            )


def _has_port(host: str) -> bool:
    name, colon, port = host.rpartition(":")
    return bool(colon) and port.isdigit() and not name.endswith(":")
