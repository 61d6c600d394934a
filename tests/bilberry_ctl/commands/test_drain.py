"""Test drain and undrain."""

import pytest

from ..fake_api import problem


def state_of(run, kind, name):
    return run.json("get", kind, name)["spec"].get("state")


def test_drain_changes_only_the_state(run, config):
    run("apply", "-f", config)
    assert run("drain", "upstream/u1") == 0
    assert run.out == "upstream/u1 is draining (updated, version 4)\n"
    stored = run.json("get", "upstream", "u1")
    assert stored["spec"]["address"] == "127.0.0.1:9001"
    assert run.json("drain", "upstream/u1")["action"] == "unchanged"
    assert run("undrain", "upstream/u1") == 0
    assert state_of(run, "upstream", "u1") == "active"


def test_a_retired_upstream_stays_retired(run, write, config):
    run("apply", "-f", config)
    run(
        "apply",
        "-f",
        write(
            '{"kind":"upstream","metadata":{"name":"u1"},"spec":{"service":"suivi",'
            '"region":"mtl","failure_domain":"mtl-a","address":"127.0.0.1:9001",'
            '"state":"retired"}}'
        ),
    )
    assert run("undrain", "upstream/u1") == 1
    assert state_of(run, "upstream", "u1") == "retired"


@pytest.mark.parametrize("target", ["region/mtl", "upstream", "upstream/"])
def test_other_targets_are_usage_errors(run, target):
    assert run("drain", target) == 2


def test_a_concurrent_change_is_a_conflict(run, api, config):
    run("apply", "-f", config)
    api.canned["PUT", "/api/v1/upstream/u1"] = problem(409, "conflict", "version 9")
    assert run("drain", "upstream/u1") == 3
    assert "version 9" in run.err
