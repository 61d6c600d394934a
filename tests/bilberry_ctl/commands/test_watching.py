"""Test watch and wait."""

import msgspec

from bilberry_resources.model import Status

from ..fake_api import problem


def test_wait_ends_when_in_force(run, api, config):
    run("apply", "-f", config)
    assert run("wait", "region", "mtl", "--for", "in-force") == 0
    assert run.out.startswith("region/mtl is in-force after ")
    assert run.json("wait", "region", "mtl")["reached"] == "in-force"


def test_wait_times_out_and_reports_progress(run, api, config):
    run("apply", "-f", config)
    api.status = Status(in_force=True, sites_applied=2, sites_total=2, progress=0.4)
    argv = ("wait", "region", "mtl", "--timeout-ms", "50", "--for")
    assert run(*argv, "in-force") == 0
    assert run(*argv, "complete") == 4
    assert "2 of 2 sites, progress 40%" in run.err


def test_wait_goes_on_through_an_outage_but_not_without_the_object(run, api):
    path = "/api/v1/region/mtl"
    api.canned["GET", path] = problem(503, "store unreachable")
    assert run("wait", "region", "mtl", "--timeout-ms", "50") == 4
    assert "store unreachable" in run.err
    del api.canned["GET", path]
    assert run("wait", "region", "mtl", "--timeout-ms", "5000") == 1


def test_a_goal_that_does_not_exist_is_a_usage_error(run):
    assert run("wait", "region", "mtl", "--for", "ever") == 2


def test_watch_prints_each_change_once(run, api, config):
    run("apply", "-f", config)
    argv = ("watch", "region", "--timeout-ms", "60")
    assert run(*argv, "--since", "0") == 0
    assert run.out == "put     region/mtl (version 1)\n"
    assert run("--output", "json", *argv, "--since", "0") == 0
    (line,) = run.out.splitlines()
    assert msgspec.json.decode(line)["object"]["metadata"]["name"] == "mtl"
    assert run(*argv) == 0
    assert run.out == ""


def test_a_watch_from_an_expired_version_fails(run, api):
    api.canned["GET", "/api/v1/region"] = problem(410, "too old")
    assert run("watch", "region", "--since", "0", "--timeout-ms", "50") == 1
