"""Check the keys and quotas of workspaces."""

from collections.abc import Iterator

from bilberry_core.const import MS_PER_SECOND

from ..routing import ConfigProblem, Workspace
from .model import CHECKS, WORKSPACE, CheckInput, ServiceSlots, error, warning

# Requests usually take a fraction of the latency objective. A quota counts as
# too high only if a tenth of the objective would not be fast enough.
USUAL_SHARE_OF_OBJECTIVE = 0.1

# The shortest latency objective of each service and set of home regions.
Objectives = dict[tuple[str, frozenset[str]], int]


@CHECKS.register("workspace_keys")
def check_keys(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find workspaces without keys, and keys of two workspaces."""
    owners: dict[bytes, str] = {}
    for workspace in given.config.workspaces:
        if not workspace.key_digests:
            yield warning(WORKSPACE, workspace.name, "has no keys")
        shared: dict[str, int] = {}
        for digest in workspace.key_digests:
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                shared[owner] = shared.get(owner, 0) + 1
        for owner, count in sorted(shared.items()):
            keys = "a key" if count == 1 else f"{count} keys"
            reason = f"has {keys} of workspace {owner}, which goes first"
            yield error(WORKSPACE, workspace.name, reason)


@CHECKS.register("workspace_burst")
def check_bursts(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find bursts that have no effect."""
    for workspace in given.config.workspaces:
        if workspace.burst > 0 and not workspace.rate_per_s > 0:
            reason = f"has a burst of {workspace.burst:g} without a rate"
            yield warning(WORKSPACE, workspace.name, reason)


@CHECKS.register("workspace_quota")
def check_quotas(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find quotas far above what the services can handle."""
    if given.slots is None or not given.knows_all_routes:
        return
    objectives = _shortest_objectives(given)
    capacities: dict[frozenset[str], float | None] = {}
    for workspace in given.config.workspaces:
        homes = workspace.home_regions
        if homes not in capacities:
            capacities[homes] = _capacity_per_s(objectives, given.slots, homes)
        capacity_per_s = capacities[homes]
        if capacity_per_s is None or workspace.rate_per_s <= capacity_per_s:
            continue
        yield _quota_warning(workspace, capacity_per_s)


def _quota_warning(workspace: Workspace, capacity_per_s: float) -> ConfigProblem:
    return warning(
        WORKSPACE,
        workspace.name,
        f"has a rate of {workspace.rate_per_s:g} requests/s, but its services "
        f"can handle {capacity_per_s:.0f} at most, even at a tenth of their "
        "latency objectives",
    )


def _shortest_objectives(given: CheckInput) -> Objectives:
    objectives: Objectives = {}
    for rule in given.routes:
        if rule.public or rule.target_latency_ms <= 0:
            continue
        for part in rule.services:
            key = (part.service, rule.home_regions)
            known_ms = objectives.get(key, rule.target_latency_ms)
            objectives[key] = min(known_ms, rule.target_latency_ms)
    return objectives


def _capacity_per_s(
    objectives: Objectives, slots: ServiceSlots, homes: frozenset[str]
) -> float | None:
    """Return the most requests per second, None if slots are unknown."""
    shortest_ms: dict[tuple[str, str], int] = {}
    for (service, route_homes), objective_ms in objectives.items():
        regions = slots.get(service)
        if not regions:
            return None
        for region in regions:
            if _allows(homes, region) and _allows(route_homes, region):
                key = (service, region)
                shortest_ms[key] = min(shortest_ms.get(key, objective_ms), objective_ms)
    if not shortest_ms:
        return None
    return sum(
        slots[service][region]
        * MS_PER_SECOND
        / (objective_ms * USUAL_SHARE_OF_OBJECTIVE)
        for (service, region), objective_ms in shortest_ms.items()
    )


def _allows(homes: frozenset[str], region: str) -> bool:
    return not homes or region in homes
