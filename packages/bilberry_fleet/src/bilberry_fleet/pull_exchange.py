"""Create pull requests and answer those of other nodes."""

import msgspec

from .messages import EMPTY_RAW, Fact, PlanRecord, PullRequest, PullResponse
from .node import FleetNode
from .pull_schedule import PullKind, PullTarget


def make_request(node: FleetNode, target: PullTarget) -> PullRequest:
    """Return the request for a target, with the pending report if any."""
    cursor_key = (target.name, node.is_relay)
    cursor_incarnation, cursor = node.cursors.get(cursor_key, (0, 0))
    epoch, version = node.plan.order
    if node.is_relay:
        epoch, version = node.plan.served_order
    report = EMPTY_RAW
    if target.kind is PullKind.RELAY and not node.is_relay:
        report, node.pending_report = node.pending_report, EMPTY_RAW
    return PullRequest(
        sender=node.own.name,
        incarnation=node.own.incarnation,
        config_version=node.config.version,
        fetched_version=node.config.fetched_version,
        plan_epoch=epoch,
        plan_version=version,
        cursor_incarnation=cursor_incarnation,
        cursor=cursor,
        hold_ms=target.hold_ms,
        relay=node.is_relay,
        facts=list(node.outbox.values()),
        digests={} if cursor_incarnation else node.facts.digests(),
        report=report,
    )


def has_updates(node: FleetNode, request: PullRequest) -> bool:
    """Return whether a waiting pull should be answered now."""
    known_version = max(request.config_version, request.fetched_version)
    if node.config.version > known_version:
        return True
    if node.plan.served_order > (request.plan_epoch, request.plan_version):
        return True
    if request.cursor_incarnation != node.own.incarnation:
        return True
    return node.facts.has_updates(request.cursor, request.relay)


def make_response(
    node: FleetNode, request: PullRequest, claim: Fact | None, now_ms: int
) -> PullResponse:
    """Return newer state than requested, and a claim to refute if any."""
    known_version = max(request.config_version, request.fetched_version)
    cursor = request.cursor if request.cursor_incarnation == node.own.incarnation else 0
    facts = node.facts.since(cursor, request.relay, now_ms, request.sender)
    if request.digests and not cursor:
        facts = node.facts.differing(request.digests, facts)
    if claim is not None and claim not in facts:
        facts.append(claim)
    delta = None
    if node.config.version > known_version:
        delta = node.config.delta_since(known_version)
    plan = None
    if node.plan.served_order > (request.plan_epoch, request.plan_version):
        plan = plan_for(node, request)
    return PullResponse(
        incarnation=node.own.incarnation,
        cursor=node.facts.sequence,
        config_version=node.config.version,
        store_age_ms=node.store_age.age_ms(now_ms),
        config=delta,
        plan=plan,
        facts=facts,
        unreachable=node.unreachable(now_ms),
    )


def plan_for(node: FleetNode, request: PullRequest) -> PlanRecord | None:
    """Return the plan; only a relay gets all of it."""
    plan = node.plan.current
    if plan is None or request.relay:
        return plan
    body = node.trim_plan(plan.body, request.sender)
    return msgspec.structs.replace(plan, body=body, partial=True)
