"""Test the simulated platform's object API over HTTP."""

import gevent
import pytest

from bilberry_testing import client
from bilberry_testing.platform import PlatformServer


@pytest.fixture
def platform():
    server = PlatformServer()
    server.start()
    yield server
    server.close()


def call(platform, method, path, body=None, **headers):
    reply = client.call(method, platform.url + path, body, headers)
    return reply.status, reply.json()


def put(platform, name, version, **spec):
    headers = {"If-Match": str(version)}
    return call(platform, "PUT", f"/objects/region/{name}", {"spec": spec}, **headers)


def test_write_read_conflict_and_delete(platform):
    status, created = put(platform, "mtl", 0, size=1)
    assert (status, created["metadata"]["version"]) == (200, 1)
    assert created["kind"] == "region"
    assert put(platform, "mtl", 0)[0] == 409
    assert call(platform, "GET", "/objects/region/mtl")[1] == created
    listed = {"version": 1, "items": [created]}
    assert call(platform, "GET", "/objects/region") == (200, listed)
    assert call(platform, "DELETE", "/objects/region/mtl")[1] == {"version": 2}
    assert call(platform, "GET", "/objects/region/mtl")[0] == 404
    assert put(platform, "mtl", "x")[0] == 400
    assert put(platform, "mtl", 0, note="x" * 1_000_001)[0] == 413


def test_a_waiting_watch_sees_a_later_write_and_counts_as_one(platform):
    path = "/objects/region?watch=1&since=0&timeout_ms=5000"
    watch = gevent.spawn(call, platform, "GET", path)
    gevent.sleep(0.05)
    put(platform, "mtl", 0)
    status, result = watch.get(timeout=5)
    assert (status, result["version"]) == (200, 1)
    assert result["events"][0]["object"]["metadata"]["name"] == "mtl"
    counts = call(platform, "GET", "/_calls")[1]
    assert (counts["watch"], counts["put"], counts["total"]) == (1, 1, 2)


def test_a_watch_ends_at_its_timeout_without_events(platform):
    put(platform, "mtl", 0)
    path = "/objects/region?watch=1&since=1&timeout_ms=20"
    assert call(platform, "GET", path) == (200, {"version": 1, "events": []})


def test_a_lost_reply_leaves_the_write_in_effect(platform):
    call(platform, "PUT", "/_faults", {"lose_reply": 1})
    with pytest.raises(client.CALL_ERRORS):
        put(platform, "mtl", 0)
    assert call(platform, "GET", "/objects/region/mtl")[0] == 200
    assert call(platform, "GET", "/_faults")[1]["lose_reply"] == 0


def test_down_closes_connections_and_waiting_watches(platform):
    path = "/objects/region?watch=1&since=0&timeout_ms=5000"
    watch = gevent.spawn(call, platform, "GET", path)
    watch.link_exception(lambda _: None)
    gevent.sleep(0.05)
    call(platform, "PUT", "/_faults", {"down": True})
    watch.join(timeout=1)
    assert watch.exception is not None
    with pytest.raises(client.CALL_ERRORS):
        call(platform, "GET", "/vms")
    call(platform, "PUT", "/_faults", {})
    assert call(platform, "GET", "/vms") == (200, {"items": []})


def test_stale_reads_miss_a_write_until_cleared(platform):
    call(platform, "PUT", "/_faults", {"stale": True})
    assert put(platform, "mtl", 0)[0] == 200
    assert call(platform, "GET", "/objects/region/mtl")[0] == 404
    call(platform, "PUT", "/_faults", {"stale": False})
    assert call(platform, "GET", "/objects/region/mtl")[0] == 200
    assert call(platform, "PUT", "/_faults", {"broken": 1})[0] == 400
