"""Rollout status of a configuration object."""

from bilberry_resources.model import Condition, ConditionStatus, Status, StoredObject


def build_object_status(
    stored: StoredObject, applied: int, total: int, extra: Status | None
) -> Status:
    """Return the status of an object that `applied` of `total` sites use.

    The progress and conditions of `extra` are merged into it.
    """
    in_force = total > 0 and applied == total
    status = Status(
        accepted_version=stored.metadata.version,
        observed_generation=stored.metadata.generation if applied else 0,
        in_force=in_force,
        sites_applied=applied,
        sites_total=total,
        progress=applied / total if total else 0.0,
        conditions=[
            Condition(
                type="InForce",
                status=ConditionStatus.TRUE if in_force else ConditionStatus.FALSE,
                reason="AllSites" if in_force else "SitesBehind",
                message=f"{applied} of {total} sites applied it",
            )
        ],
    )
    if extra is not None:
        status.progress = extra.progress
        status.conditions += extra.conditions
    return status
