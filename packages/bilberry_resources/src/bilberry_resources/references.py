"""Check that the objects to which an object refers exist."""

from collections.abc import Callable
from typing import Any

from bilberry_core.outcome import FieldError
from bilberry_core.registry import Registry

from .const import (
    KIND_CLIENT_BLOCK_SET,
    KIND_INTENT,
    KIND_LINK,
    KIND_SITE,
    KIND_UPSTREAM,
)
from .kinds.clients import ClientBlockSetSpec
from .kinds.intents import IntentSpec
from .kinds.services import UpstreamSpec
from .kinds.topology import LinkSpec, SiteSpec
from .snapshot import Snapshot

Check = Callable[[Any, Snapshot], list[FieldError]]

CHECKS: Registry[str, Check] = Registry()


def check_references(kind: str, spec: Any, snapshot: Snapshot) -> list[FieldError]:
    """Return an error for each reference to a missing object."""
    check = CHECKS.get(kind)
    if check is None:
        return []
    return check(spec, snapshot)


def _region_error(field: str, name: str, snapshot: Snapshot) -> list[FieldError]:
    if name in snapshot.regions:
        return []
    return [FieldError(field, f"no region named {name!r}")]


def _service_error(field: str, name: str, snapshot: Snapshot) -> list[FieldError]:
    if name in snapshot.services:
        return []
    return [FieldError(field, f"no service named {name!r}")]


def _domain_error(region: str, domain: str, snapshot: Snapshot) -> list[FieldError]:
    spec = snapshot.regions.get(region)
    if spec is None or domain in spec.failure_domains:
        return []
    reason = f"region {region!r} has no failure domain {domain!r}"
    return [FieldError("spec.failure_domain", reason)]


@CHECKS.register(KIND_LINK)
def check_link(spec: LinkSpec, snapshot: Snapshot) -> list[FieldError]:
    """Check that a link's regions exist and differ."""
    errors = _region_error("spec.source", spec.source, snapshot)
    errors += _region_error("spec.target", spec.target, snapshot)
    if spec.source == spec.target:
        errors.append(FieldError("spec.target", "must differ from the source"))
    return errors


@CHECKS.register(KIND_SITE)
def check_site(spec: SiteSpec, snapshot: Snapshot) -> list[FieldError]:
    """Check a site's region and failure domain."""
    errors = _region_error("spec.region", spec.region, snapshot)
    return errors + _domain_error(spec.region, spec.failure_domain, snapshot)


@CHECKS.register(KIND_UPSTREAM)
def check_upstream(spec: UpstreamSpec, snapshot: Snapshot) -> list[FieldError]:
    """Check an upstream's service, region and failure domain."""
    errors = _service_error("spec.service", spec.service, snapshot)
    errors += _region_error("spec.region", spec.region, snapshot)
    return errors + _domain_error(spec.region, spec.failure_domain, snapshot)


@CHECKS.register(KIND_INTENT)
def check_intent(spec: IntentSpec, snapshot: Snapshot) -> list[FieldError]:
    """Check an intent's references, and that it has weights or moves."""
    errors = _service_error("spec.service", spec.service, snapshot)
    for name in spec.weights:
        errors += _region_error(f"spec.weights.{name}", name, snapshot)
    for index, move in enumerate(spec.moves):
        errors += _region_error(f"spec.moves[{index}].source", move.source, snapshot)
        errors += _region_error(f"spec.moves[{index}].target", move.target, snapshot)
    if bool(spec.weights) == bool(spec.moves):
        errors.append(FieldError("spec.weights", "give either weights or moves"))
    if spec.weights and sum(spec.weights.values()) <= 0:
        errors.append(FieldError("spec.weights", "the sum must be above 0"))
    return errors


@CHECKS.register(KIND_CLIENT_BLOCK_SET)
def check_client_block_set(
    spec: ClientBlockSetSpec, snapshot: Snapshot
) -> list[FieldError]:
    """Check the regions and sites of a set's groups."""
    errors: list[FieldError] = []
    for index, group in enumerate(spec.groups):
        for name in group.regions:
            errors += _region_error(f"spec.groups[{index}].regions", name, snapshot)
        if group.site is not None and group.site not in snapshot.sites:
            reason = f"no site named {group.site!r}"
            errors.append(FieldError(f"spec.groups[{index}].site", reason))
    return errors
