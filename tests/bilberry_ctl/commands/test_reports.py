"""Test audit, lookup and status."""

from bilberry_ctl.messages import (
    AuditEntry,
    AuditPage,
    LookupResponse,
    Overview,
    RegionLoad,
    SiteVersion,
    UpstreamLoad,
    VmEndpoint,
)
from bilberry_testing.http import json_response

from ..fake_api import problem


def test_audit_shows_who_changed_what(run, api):
    entry = AuditEntry(
        id="1",
        when_ms=1_764_000_000_123,
        who="moira",
        action="put",
        kind="intent",
        name="shift",
        result="refused",
        detail="version 3 given, version 4 stored",
    )
    api.canned["GET", "/api/v1/audit"] = json_response(AuditPage([entry]))
    assert run("audit", "--since", "2h") == 0
    row = run.out.splitlines()[1]
    assert row.startswith("2025-11-24 16:00:00.123Z  moira")
    assert "intent/shift" in row
    assert run.json("audit")["items"][0]["who"] == "moira"
    assert run("audit", "--since", "yesterday-ish") == 2


def test_lookup_shows_vms_in_their_order(run, api):
    response = LookupResponse(
        "suivi", [VmEndpoint("vm-1", "10.0.0.1:80", "mtl")], 5_000, 12
    )
    api.canned["GET", "/v1/lookup"] = json_response(response)
    argv = ("lookup", "--service", "suivi", "--client", "203.0.113.7")
    assert run(*argv) == 0
    assert run.out.splitlines()[1].split() == ["vm-1", "mtl", "10.0.0.1:80"]
    assert run.json(*argv)["ttl_ms"] == 5_000
    api.canned["GET", "/v1/lookup"] = problem(404, "not found", "no service")
    assert run(*argv) == 1
    api.canned["GET", "/v1/lookup"] = problem(400, "bad request", "client")
    assert run(*argv) == 2
    assert run("lookup", "--service", "suivi") == 2


def test_status_shows_headroom_and_versions(run, api):
    overview = Overview(
        node="vm-1",
        config_version=12,
        regions=[
            RegionLoad(
                region="mtl",
                service="suivi",
                capacity_per_s=1_200,
                load_per_s=300,
                headroom=0.75,
            )
        ],
        upstreams=[UpstreamLoad(name="u1", health="warming", slots=9, in_flight=2)],
        sites=[SiteVersion(name="mtl-a", region="mtl", vms=2, applied_version=12)],
    )
    api.canned["GET", "/api/v1/status"] = json_response(overview)
    assert run("status") == 0
    lines = [line.split() for line in run.out.splitlines()]
    assert ["mtl", "suivi", "1,200", "300", "75%"] in lines
    assert ["mtl-a", "mtl", "2", "12"] in lines
    assert run.json("status")["upstreams"][0]["in_flight"] == 2
