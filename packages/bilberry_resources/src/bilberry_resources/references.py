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
from .snapshot import ConfigSnapshot

ReferenceCheck = Callable[[Any, ConfigSnapshot], list[FieldError]]

REFERENCE_CHECKS: Registry[str, ReferenceCheck] = Registry()


def check_references(
    kind: str, spec: Any, snapshot: ConfigSnapshot
) -> list[FieldError]:
    """Return an error for each reference to a missing object."""
    check = REFERENCE_CHECKS.get(kind)
    if check is None:
        return []
    return check(spec, snapshot)


def _find_region_errors(
    field: str, name: str, snapshot: ConfigSnapshot
) -> list[FieldError]:
    if name in snapshot.regions:
        return []
    return [FieldError(field, f"no region named {name!r}")]


def _find_service_errors(
    field: str, name: str, snapshot: ConfigSnapshot
) -> list[FieldError]:
    if name in snapshot.services:
        return []
    return [FieldError(field, f"no service named {name!r}")]


def _find_domain_errors(
    region: str, domain: str, snapshot: ConfigSnapshot
) -> list[FieldError]:
    spec = snapshot.regions.get(region)
    if spec is None or domain in spec.failure_domains:
        return []
    reason = f"region {region!r} has no failure domain {domain!r}"
    return [FieldError("spec.failure_domain", reason)]


@REFERENCE_CHECKS.register(KIND_LINK)
def check_link(spec: LinkSpec, snapshot: ConfigSnapshot) -> list[FieldError]:
    """Check that a link's regions exist and differ."""
    errors = _find_region_errors("spec.source", spec.source, snapshot)
    errors += _find_region_errors("spec.target", spec.target, snapshot)
    if spec.source == spec.target:
        errors.append(FieldError("spec.target", "must differ from the source"))
    return errors


@REFERENCE_CHECKS.register(KIND_SITE)
def check_site(spec: SiteSpec, snapshot: ConfigSnapshot) -> list[FieldError]:
    """Check a site's region and failure domain."""
    errors = _find_region_errors("spec.region", spec.region, snapshot)
    return errors + _find_domain_errors(spec.region, spec.failure_domain, snapshot)


@REFERENCE_CHECKS.register(KIND_UPSTREAM)
def check_upstream(spec: UpstreamSpec, snapshot: ConfigSnapshot) -> list[FieldError]:
    """Check an upstream's service, region and failure domain."""
    errors = _find_service_errors("spec.service", spec.service, snapshot)
    errors += _find_region_errors("spec.region", spec.region, snapshot)
    return errors + _find_domain_errors(spec.region, spec.failure_domain, snapshot)


@REFERENCE_CHECKS.register(KIND_INTENT)
def check_intent(spec: IntentSpec, snapshot: ConfigSnapshot) -> list[FieldError]:
    """Check an intent's references, and that it has weights or moves."""
    errors = _find_service_errors("spec.service", spec.service, snapshot)
    for name in spec.weights:
        errors += _find_region_errors(f"spec.weights.{name}", name, snapshot)
    for index, move in enumerate(spec.moves):
        errors += _find_region_errors(
            f"spec.moves[{index}].source", move.source, snapshot
        )
        errors += _find_region_errors(
            f"spec.moves[{index}].target", move.target, snapshot
        )
    if bool(spec.weights) == bool(spec.moves):
        errors.append(FieldError("spec.weights", "give either weights or moves"))
    if spec.weights and sum(spec.weights.values()) <= 0:
        errors.append(FieldError("spec.weights", "the sum must be above 0"))
    return errors


@REFERENCE_CHECKS.register(KIND_CLIENT_BLOCK_SET)
def check_client_block_set(
    spec: ClientBlockSetSpec, snapshot: ConfigSnapshot
) -> list[FieldError]:
    """Check the regions and sites of a set's groups."""
    errors: list[FieldError] = []
    for index, group in enumerate(spec.groups):
        for name in group.regions:
            errors += _find_region_errors(
                f"spec.groups[{index}].regions", name, snapshot
            )
        if group.site is not None and group.site not in snapshot.sites:
            reason = f"no site named {group.site!r}"
            errors.append(FieldError(f"spec.groups[{index}].site", reason))
    return errors
