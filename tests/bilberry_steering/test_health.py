"""Test which reports determine the health of a region."""

from bilberry_resources.kinds.services import UpstreamSpec, UpstreamState
from bilberry_resources.kinds.topology import RegionSpec
from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_steering.health import region_health
from bilberry_steering.messages import NodeReport

NOW_MS = 100_000


def upstream(region, state=UpstreamState.ACTIVE):
    return UpstreamSpec(
        service="suivi",
        region=region,
        failure_domain="a",
        address="127.0.0.1:1",
        state=state,
    )


SNAPSHOT = ConfigSnapshot(
    regions={name: RegionSpec(failure_domains=["a"]) for name in ("mtl", "qc")},
    upstreams={"u1": upstream("mtl"), "u2": upstream("qc")},
)


def report(node, region, share, age_ms=0):
    return NodeReport(
        node=node,
        region=region,
        sent_at_ms=NOW_MS - age_ms,
        window_ms=1_000,
        health={"suivi": share},
    )


def health_share(region, reports, planner_view):
    by_node = {r.node: r for r in reports}
    return region_health(SNAPSHOT, by_node, planner_view, NOW_MS)[region].share("suivi")


def test_only_reports_from_inside_the_region_count():
    reports = [report("a", "mtl", 1.0), report("b", "qc", 0.0)]
    assert health_share("mtl", reports, {("suivi", "mtl"): 0.0}) == 1.0


def test_a_single_deviating_report_is_outvoted():
    reports = [report(n, "mtl", s) for n, s in (("a", 1.0), ("b", 0.0), ("c", 1.0))]
    assert health_share("mtl", reports, {}) == 1.0


def test_the_planners_view_counts_without_a_recent_report():
    reports = [report("a", "mtl", 1.0, age_ms=20_000)]
    assert health_share("mtl", reports, {("suivi", "mtl"): 0.25}) == 0.25
    assert health_share("mtl", [], {}) == 1.0


def test_a_service_may_be_lost_where_others_are_not():
    health = region_health(SNAPSHOT, {}, {("suivi", "qc"): 0.0}, NOW_MS)
    assert health["qc"].share("suivi") == 0.0
    assert health["qc"].share("annuaire") == 1.0
