"""Test the resource API against the simulated platform."""

import pytest

from bilberry_router.admin.app import AdminApp
from bilberry_testing.platform.messages import Faults

from .common import REGION
from .conftest import OPERATE_TOKEN, VIEW_TOKEN


def audit_results(caller):
    items = caller("GET", "/api/v1/audit")[1]["items"]
    return [(item["action"], item["name"], item["result"]) for item in items]


def test_write_read_list_and_delete(caller):
    status, created = caller.put("region", "mtl", 0, REGION)
    assert status == 200
    assert created["metadata"]["generation"] == 1
    assert caller("GET", "/api/v1/region/mtl")[1]["spec"] == REGION
    listed = caller("GET", "/api/v1/region")[1]
    assert [item["metadata"]["name"] for item in listed["items"]] == ["mtl"]
    assert caller("DELETE", "/api/v1/region/mtl")[0] == 200
    assert caller("GET", "/api/v1/region/mtl")[0] == 404


def test_a_write_on_an_old_version_gets_the_current_object(caller):
    version = caller.put("region", "mtl", 0, REGION)[1]["metadata"]["version"]
    changed = {"failure_domains": ["mtl-a"]}
    assert caller.put("region", "mtl", version, changed)[0] == 200
    status, current = caller.put("region", "mtl", version, REGION)
    assert status == 409
    assert current["spec"] == changed
    assert audit_results(caller) == [
        ("put", "mtl", "accepted"),
        ("put", "mtl", "accepted"),
        ("put", "mtl", "refused"),
    ]


def test_a_write_id_sent_by_an_operator_is_not_trusted(caller):
    created = caller.put("region", "mtl", 0, REGION)[1]
    old = created["metadata"]["version"]
    kept = {**created["metadata"]}
    caller("PUT", "/api/v1/region/mtl", {"metadata": kept, "spec": REGION})
    body = {"metadata": {**kept, "version": old}, "spec": {"failure_domains": ["x"]}}
    assert caller("PUT", "/api/v1/region/mtl", body)[0] == 409


def test_a_put_without_a_version_creates_but_never_overwrites(caller):
    path = "/api/v1/region/mtl"
    assert caller("PUT", path, {"spec": REGION})[0] == 200
    assert caller("PUT", path, {"spec": REGION})[0] == 409


def test_the_generation_counts_changes_of_the_spec(caller):
    first = caller.put("region", "mtl", 0, REGION)[1]["metadata"]
    second = caller.put("region", "mtl", first["version"], REGION)[1]["metadata"]
    changed = {"failure_domains": ["mtl-a"]}
    third = caller.put("region", "mtl", second["version"], changed)[1]["metadata"]
    generations = [m["generation"] for m in (first, second, third)]
    assert generations == [1, 1, 2]


def test_an_invalid_object_lists_every_field(caller):
    spec = {"service": "suivi", "region": "mtl", "colour": 1, "address": "x"}
    status, problem = caller.put("upstream", "u1", 0, spec)
    assert status == 422
    assert problem["outcome"] == "not-run"
    fields = {error["field"] for error in problem["errors"]}
    assert fields == {"spec.colour", "spec.address", "spec.failure_domain"}


def test_references_are_checked_against_the_store(caller):
    site = {"region": "mtl", "failure_domain": "mtl-a"}
    assert caller.put("site", "s1", 0, site)[0] == 422
    caller.put("region", "mtl", 0, REGION)
    assert caller.put("site", "s1", 0, site)[0] == 200


def test_a_body_that_is_not_json_is_refused(caller):
    status, problem = caller("PUT", "/api/v1/region/mtl", None)
    assert status == 422
    assert problem["errors"][0]["field"] == "(body)"


def test_a_name_that_differs_from_the_path_is_refused(caller):
    body = {"metadata": {"name": "qc"}, "spec": REGION}
    status, problem = caller("PUT", "/api/v1/region/mtl", body)
    assert status == 422
    assert problem["errors"][0]["field"] == "metadata.name"


def test_an_unreachable_store_refuses_changes_as_not_run(caller, platform):
    platform.set_faults(Faults(down=True))
    status, problem = caller.put("region", "mtl", 0, REGION)
    assert (status, problem["outcome"]) == (503, "not-run")


def test_references_that_could_not_be_read_are_not_called_invalid(caller, platform):
    platform.set_faults(Faults(down=True))
    site = {"region": "mtl", "failure_domain": "mtl-a"}
    status, problem = caller.put("site", "mtl-a", 0, site)
    assert (status, problem["outcome"]) == (503, "not-run")


def test_a_lost_reply_is_resolved_by_reading_back(caller, platform):
    platform.set_faults(Faults(lose_reply=2))
    status, created = caller.put("region", "mtl", 0, REGION)
    assert status == 200
    assert caller("GET", "/api/v1/region/mtl")[1] == created
    assert audit_results(caller) == [("put", "mtl", "accepted")]


def test_two_operators_race_and_one_wins(caller):
    version = caller.put("region", "mtl", 0, REGION)[1]["metadata"]["version"]
    first = caller.put("region", "mtl", version, {"failure_domains": ["a"]})
    second = caller.put("region", "mtl", version, {"failure_domains": ["b"]})
    assert (first[0], second[0]) == (200, 409)
    assert second[1]["spec"] == {"failure_domains": ["a"]}


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/api/v1/horn", 404),
        ("/api/v1/region?watch=1&since=x", 400),
        ("/api/v1/audit?since=yesterday", 400),
        ("/nowhere", 404),
    ],
)
def test_bad_paths_and_queries_are_refused(caller, path, status):
    assert caller("GET", path)[0] == status


class TestTokens:
    @pytest.fixture
    def tokens(self, known_tokens):
        return known_tokens

    @pytest.mark.parametrize("header", ["", "Bearer wrong", f"Basic {VIEW_TOKEN}"])
    def test_calls_without_a_known_token_are_refused(self, caller, header):
        assert caller("GET", "/api/v1/region", HTTP_AUTHORIZATION=header)[0] == 401

    def test_a_viewer_may_read_only(self, caller):
        header = f"Bearer {VIEW_TOKEN}"
        assert caller("GET", "/api/v1/region", HTTP_AUTHORIZATION=header)[0] == 200
        refused = caller.put("region", "mtl", 0, REGION, HTTP_AUTHORIZATION=header)
        assert refused[0] == 403

    def test_an_operator_is_named_in_the_audit_trail(self, caller):
        header = f"Bearer {OPERATE_TOKEN}"
        caller.put("region", "mtl", 0, REGION, HTTP_AUTHORIZATION=header)
        items = caller("GET", "/api/v1/audit", HTTP_AUTHORIZATION=header)[1]["items"]
        assert [item["who"] for item in items] == ["operator"]


def test_the_admin_address_serves_look_ups():
    app = AdminApp(None, None, None, None, lambda environ, start: [b"looked up"])
    assert app({"PATH_INFO": "/v1/lookup"}, None) == [b"looked up"]
