"""Test get, describe and delete."""

from bilberry_resources.model import Condition, Status


def test_get_prints_columns(run, config):
    run("apply", "-f", config)
    assert run("get", "upstream") == 0
    head, row = (line.split() for line in run.out.splitlines())
    assert head[:3] == ["NAME", "SERVICE", "REGION"]
    assert row[:5] == ["u1", "suivi", "mtl", "mtl-a", "127.0.0.1:9001"]
    assert run("get", "region", "mtl") == 0
    assert run.out.splitlines()[1].split()[-2:] == ["yes", "2/2"]
    assert run.json("get", "region")["items"][0]["metadata"]["version"] == 1


def test_describe_shows_status_and_conditions(run, api, config):
    run("apply", "-f", config)
    condition = Condition(
        type="Paused", status="true", reason="Latency", message="p99 is 900 ms"
    )
    api.status = Status(sites_applied=1, sites_total=2, conditions=[condition])
    assert run("describe", "region", "mtl") == 0
    assert "label owner=arcq" in run.out
    assert "not in force: 1 of 2 sites" in run.out
    assert "Latency  p99 is 900 ms" in run.out
    assert run.json("describe", "region", "mtl")["status"]["sites_total"] == 2


def test_a_missing_object_fails(run):
    assert run("get", "region", "mtl") == 1
    assert run("describe", "region", "mtl") == 1
    assert run("delete", "region", "mtl") == 1
    assert "there is no region/mtl" in run.err


def test_an_unknown_kind_is_a_usage_error(run):
    assert run("get", "widget") == 2
    assert "unknown kind 'widget'; expected one of: region, link" in run.err


def test_delete_names_the_version_it_read(run, api, config):
    run("apply", "-f", config)
    assert run("delete", "service", "suivi", "--version", "1") == 3
    assert run("delete", "service", "suivi") == 0
    assert run.out == "service/suivi deleted\n"
    assert run("get", "service", "suivi") == 1
