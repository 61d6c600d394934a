"""Test apply and diff."""

import pytest

from bilberry_core.outcome import FieldError

from ..fake_api import problem


def test_objects_are_written_in_order_and_only_once(run, api, config):
    assert run("apply", "-f", config) == 0
    assert run.out.splitlines() == [
        "region/mtl created (version 1)",
        "service/suivi created (version 2)",
        "upstream/u1 created (version 3)",
        "3 created, 0 updated, 0 unchanged",
    ]
    assert run("apply", "-f", config) == 0
    assert run.out.splitlines()[-1] == "0 created, 0 updated, 3 unchanged"
    assert api.table.version == 3


def test_an_explicit_default_is_no_change(run, api, write, config):
    run("apply", "-f", config)
    same = write(
        '{"kind": "service", "metadata": {"name": "suivi"},'
        ' "spec": {"slots": 9, "priority": "normal"}}'
    )
    assert run.json("apply", "-f", same)["items"][0]["action"] == "unchanged"
    other = write('[{"kind":"service","metadata":{"name":"suivi"},"spec":{"slots":4}}]')
    assert run.json("apply", "-f", other)["items"][0] == {
        "kind": "service",
        "name": "suivi",
        "action": "updated",
        "version": 4,
    }


def test_every_field_error_is_listed_before_anything_is_written(run, api, write):
    path = write(
        '[{"kind":"region","metadata":{"name":"mtl"},"spec":{"colour":1}},'
        '{"kind":"widget","metadata":{"name":"h"},"spec":{}},'
        '{"kind":"service","metadata":{"name":"Ü"},"spec":{}}]'
    )
    assert run("apply", "-f", path) == 2
    assert "[0].spec.colour: unknown field" in run.err
    assert "[0].spec.failure_domains: required field is missing" in run.err
    assert "[1].kind: unknown kind 'widget'" in run.err
    assert "[2].metadata.name" in run.err
    assert api.requests == []


@pytest.mark.parametrize("text", ["{", "[1]"])
def test_a_file_that_is_no_configuration_is_invalid_input(run, write, text):
    assert run("apply", "-f", write(text)) == 2


def test_a_missing_file_is_invalid_input(run):
    assert run("apply", "-f", "no-such-file.jsonc") == 2
    assert "no-such-file.jsonc" in run.err


def test_an_older_version_in_the_file_is_a_conflict(run, api, write, config):
    run("apply", "-f", config)
    path = write(
        '{"kind":"region","metadata":{"name":"mtl","version":7},'
        '"spec":{"failure_domains":["mtl-a"]}}'
    )
    assert run("apply", "-f", path) == 3
    assert "region/mtl: conflict: region/mtl is now at version 1" in run.err


def test_the_servers_field_errors_are_shown(run, api, config):
    errors = [FieldError("spec.region", "no region named 'mtl'")]
    api.canned["PUT", "/api/v1/upstream/u1"] = problem(422, "not valid", errors=errors)
    assert run("apply", "-f", config) == 2
    assert "  spec.region: no region named 'mtl'" in run.err
    assert "1 not applied" in run.out


@pytest.mark.parametrize(
    ("status", "outcome"), [(503, "not-run"), (504, "unknown"), (403, "not-run")]
)
def test_other_refusals_fail_with_their_outcome(run, api, config, status, outcome):
    api.canned["PUT", "/api/v1/region/mtl"] = problem(status, "no", "", outcome)
    assert run("apply", "-f", config, "--retry-ms", "0") == 1
    assert f"region/mtl: no ({outcome})" in run.err


def test_a_change_that_was_not_run_is_sent_again(run, api, config):
    path = "/api/v1/region/mtl"
    api.canned["PUT", path] = problem(503, "store unreachable")
    api.remove_after = {("PUT", path): 2}
    assert run("apply", "-f", config) == 0
    assert api.requests.count(("PUT", path)) == 3


def test_a_change_that_may_have_run_is_not_sent_again(run, api, config):
    path = "/api/v1/region/mtl"
    api.canned["PUT", path] = problem(504, "unknown", "write id 7", "unknown")
    assert run("apply", "-f", config) == 1
    assert api.requests.count(("PUT", path)) == 1


def test_diff_changes_nothing(run, api, write, config):
    run("apply", "-f", config)
    path = write(
        '[{"kind":"service","metadata":{"name":"suivi"},"spec":{"slots":4}},'
        '{"kind":"service","metadata":{"name":"reserve"},"spec":{}}]'
    )
    assert run("diff", "-f", path) == 0
    assert run.out.splitlines() == [
        "update service/suivi",
        "  spec.slots: 9 -> 4",
        "create service/reserve",
        "2 of 2 objects differ",
    ]
    changes = run.json("diff", "-f", path)["items"]
    assert changes[0]["differences"] == [
        {"field": "spec.slots", "before": 9, "after": 4}
    ]
    assert api.table.version == 3


def test_sets_of_client_blocks_are_applied_whole(run, api, write):
    prefixes = ",".join(f'"10.0.{i}.0/24"' for i in range(250))
    path = write(
        '{"kind":"client_block_set","metadata":{"name":"clients"},'
        f'"spec":{{"groups":[{{"regions":["mtl"],"prefixes":[{prefixes}]}}]}}}}'
    )
    assert run("apply", "-f", path) == 0
    stored = run.json("get", "client_block_set", "clients")
    assert len(stored["spec"]["groups"][0]["prefixes"]) == 250
    run("get", "client_block_set")
    assert run.out.splitlines()[1].split()[:3] == ["clients", "1", "250"]
