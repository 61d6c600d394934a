"""Test `check`, which asks no node."""

import msgspec
import pytest

from bilberry_testing.http import HttpServer, json_response
from bilberry_testing.machines.objects import config_of, route_spec, workspace_spec

SPLIT = [{"service": "s", "weight": 9}, {"service": "t", "weight": 1}]
SLOTS = {"s": {"mtl": 30, "qc": 30}, "t": {"mtl": 3}}


def sound(version=7, **fields):
    """Return a stored object of all kinds of resources, without a fault."""
    routes = [
        route_spec("read", "/read/", home_regions=["mtl", "qc"], **fields),
        route_spec("book", "/book/", kind="non_idempotent", max_attempts=3),
        route_spec("split", "/split/", service=None, traffic_split=SPLIT),
        route_spec("get", "/get/", kind="download", timeout_s=60),
        route_spec("open", "/open/", public=True, home_regions=["qc"]),
    ]
    spec = config_of(version, routes)
    spec["resources"] += [
        {"resource_kind": "services", "metadata": {"name": "t"}, "spec": {}},
        workspace_spec("w1", ["key-1", "key-2"], rate_per_s=5, burst=10),
        workspace_spec("w2", ["key-3"], home_regions=["mtl"], priority=2),
    ]
    return {"metadata": {"name": "main"}, "spec": spec}


@pytest.fixture
def save(tmp_path):
    def save_json(data, name="main.jsonc"):
        path = tmp_path / name
        path.write_bytes(msgspec.json.format(msgspec.json.encode(data)))
        return str(path)

    return save_json


@pytest.mark.parametrize("is_bare", [False, True])
def test_a_sound_configuration_raises_no_alarm(run, api, save, is_bare):
    """Guards against false alarms and against calls of a node."""
    path = save(sound()["spec"] if is_bare else sound())
    slots = save(SLOTS, "slots.json")
    assert run("check", path, "--strict", "--slots", slots) == 0, run.out
    assert run.out == "version 7, errors: 0, warnings: 0\n"
    assert api.requests == []


def test_problems_name_line_index_and_field(run, write):
    """Guards against errors that leave an operator searching the file."""
    path = write(
        '// Main.\n{"spec": {"version": 7, "resources": [ /* {,\n */\n'
        '  {"resource_kind": "limits", "metadata": {"name": "x"}, "spec": 3},\n'
        '  7, {"resource_kind": "routes",\n'
        '   "metadata": {"name": "a [b]"}, "spec": {"host": "h", "path_prefix": "/",\n'
        '   "kind": "idempotent", "timeout_s": 1, "target_latency_s": 0.1,\n'
        '   "max_attempts": 2, "service": "s", "home_regions": ["mtl", 8]}},\n'
        '  {"resource_kind": "services", "metadata": {"name": "s", "x": [1]},\n'
        '   "spec": {"cold_per_s": -1}},  // trailing\n]}}\n'
    )
    assert run("--output", "json", "check", path) == 1
    report = msgspec.json.decode(run.out)
    assert [
        (found["index"], found["line"], found["resource"], found["field"])
        for found in report["problems"]
    ] == [
        (0, 4, "limits", "spec"),
        (1, 5, "resource", ""),
        (2, 5, "routes", "spec.home_regions[1]"),
        (3, 9, "services", ""),
    ]
    assert (report["errors"], report["warnings"], report["version"]) == (3, 1, 7)
    assert set(report["problems"][0]) == {
        *("severity", "resource", "name", "message", "field", "index", "line")
    }
    assert run("check", path) == 1
    assert run.out.splitlines()[2] == (
        f"{path}:5: error: routes[2] a [b]: spec.home_regions[1]: "
        "Expected `str`, got `int`"
    )


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ('// One\n{"a": /* x\n */ [1,\n  2,],\n  b: 3}', "line 5, column 3: Expect"),
        ('{"a": "//",\n "b": }', "line 2, column 7: Expect"),
        ('{"spec": {"version": NaN, "resources": []}}', "NaN is no number"),
        ("[]", "expected an object"),
        ('{"version": "7", "resources": []}', "Expected `int`, got `str`"),
    ],
)
def test_what_can_not_be_decoded_ends_with_2(run, write, text, reason):
    """Guards against a syntax error whose place is unknown."""
    assert run("check", write(text)) == 2
    assert reason in run.err


@pytest.mark.parametrize("option", ["--against", "--slots", "--format"])
def test_other_files_that_can_not_be_read_end_with_2(run, save, option):
    """Guards against a check that silently compares with nothing."""
    path = save(sound())
    assert run("check", path, option, "no.such.file") == 2
    assert "no.such.file" in run.err
    assert run("check", "no.such.file") == 2


def test_long_and_odd_names_are_printed_whole_and_harmless(run, save):
    """Guards against cut lines, and names that control a terminal."""
    name = "n" * 300 + "\x1b[31m"
    assert run("check", save(config_of(7, [route_spec(name, "/x")]))) == 1
    assert "n" * 300 + "\\x1b[31m: never matches" in run.out


def test_a_module_that_is_no_format_is_a_usage_error(run, save):
    """Guards against a traceback for a wrong module name."""
    assert run("check", save(sound()), "--format", "json") == 2
    assert "--format: json has no read_config_file" in run.err


def test_warnings_fail_only_if_asked_to(run, save):
    """Guards against scripts that stop, or go on, at the wrong problems."""
    path = save(sound(timeout_s=0.4))
    assert run("check", path) == 0
    assert "warning" in run.out
    assert run("check", path, "--strict") == 1
    assert "errors: 0, warnings: 1" in run.err


def test_differences_are_no_failure_and_show_no_keys(run, save):
    """Guards against keys in an operator's terminal or a script's log."""
    old = sound(6)
    old["spec"]["resources"][-1]["spec"]["api_keys"] = ["key-8", "key-9"]
    path, against = save(sound(service="t")), save(old, "old.jsonc")
    assert run("check", path, "--against", against, "--strict") == 0
    assert run.out.splitlines() == [
        "routes read: changed: moves from service s to service t",
        "workspaces w2: changed: keys: 1 added, 2 removed",
        "from version 6 to 7, resources that differ: 2",
        "version 7, errors: 0, warnings: 0",
    ]
    report = run.json("check", path, "--against", against)
    assert (report["against_version"], len(report["differences"])) == (6, 2)
    assert report["differences"][0]["fields"] == [
        {"field": "services", "text": "moves from service s to service t"}
    ]
    assert "key-" not in run.out


def test_a_version_that_is_not_newer_is_an_error(run, save):
    """Guards against a file that the nodes ignore."""
    path = save(sound())
    assert run("check", path, "--against", path) == 1
    assert "7 is not newer than 7" in run.out


def test_the_version_in_force_is_fetched_from_the_store(run, save):
    """Guards against a comparison with an error page or a wrong object."""
    seen = []

    def answer(request):
        seen.append((request.method, request.path))
        return json_response(sound(6), 200 if request.path.endswith("main") else 404)

    store = HttpServer(answer)
    store.start()
    path = save(sound())
    against = f"{store.url}/objects/config/main"
    assert run.json("check", path, "--against", against)["against_version"] == 6
    assert seen == [("GET", "/objects/config/main")]
    assert run("check", path, "--against", f"{store.url}/nothing") == 2
    assert "status 404" in run.err
    store.close()
    assert run("check", path, "--against", against) == 2
    assert run("check", path, "--against", "http://") == 2
