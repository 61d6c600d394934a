"""Requests in progress follow the newest configuration."""

import gevent
import pytest
from gevent.event import Event

from bilberry_router.entry.const import MAX_QUEUE_MISSES
from bilberry_router.http.upstream_socket import UpstreamSocket

from .common import NAMES, Rig, config, eventually, route


def bound_to(region, name="read", prefix="/read/", **fields):
    return route(name, prefix, home_regions=frozenset([region]), **fields)


class TwoRegions(Rig):
    """Run one upstream in mtl and one in qc, and bind a route to mtl."""

    def __enter__(self):
        super().__enter__()
        self.mtl, self.qc = self.upstreams
        self.register(self.qc, region="qc")
        self.change(bound_to("mtl"))
        return self

    def change(self, *routes):
        """Install a newer configuration with these routes."""
        version = self.state.routes.config.version + 1
        assert self.forwarder.state.install(config(version, routes))

    def send(self, request_id="r1", **fields):
        client = self.client()
        client.send("/read/a", request_id=request_id, **fields)
        return client

    def send_held(self):
        """Send a request that runs in mtl until released."""
        self.mtl.faults.hold = Event()
        client = self.send()
        eventually(lambda: self.mtl.running == 1)
        return client


@pytest.fixture
def rig():
    with TwoRegions(slots=1) as rig:
        yield rig


@pytest.fixture
def during_connect(monkeypatch):
    """Return a function that sets what happens once, in the next connect."""
    connect = UpstreamSocket.connect
    actions = []

    def connect_and_act(self, *args):
        connect(self, *args)
        if actions:
            actions.pop()()

    monkeypatch.setattr(UpstreamSocket, "connect", connect_and_act)
    return actions.append


def test_a_request_in_the_queue_goes_by_new_homes(rig):
    first = rig.send_held()
    second = rig.send("r2")
    eventually(lambda: rig.queued == 1)
    rig.change(bound_to("qc"))
    assert second.answer().body == b"u1 ran r2"
    rig.mtl.faults.hold.set()
    assert first.answer().body == b"u0 ran r1"


def test_a_second_attempt_goes_by_new_homes(rig):
    rig.mtl.faults.script = [None]
    client = rig.send_held()
    rig.change(bound_to("qc"))
    rig.mtl.faults.hold.set()
    assert client.answer().body == b"u1 ran r1"
    assert len(rig.mtl.served_requests) == 1


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_that_connects_goes_by_new_homes(rig, during_connect, method):
    is_idempotent = method == "GET"
    rig.change(bound_to("mtl", idempotent=is_idempotent))
    during_connect(lambda: rig.change(bound_to("qc", idempotent=is_idempotent)))
    answer = rig.send(method=method).answer()
    assert answer.body == b"u1 ran r1"
    assert rig.mtl.served_requests == []


def test_homes_that_change_and_return_bind_again(rig, during_connect):
    def change_and_return():
        rig.change(bound_to("qc"))
        rig.change(bound_to("mtl"))

    during_connect(change_and_return)
    assert rig.send().answer().body == b"u0 ran r1"


def test_a_request_that_connects_isnt_sent_to_an_upstream_that_leaves(
    rig, during_connect
):
    rig.change(route("read", "/read/"))
    during_connect(lambda: rig.register(rig.mtl, draining=True))
    assert rig.send().answer().body == b"u1 ran r1"
    assert rig.mtl.served_requests == []


def test_a_request_in_the_queue_follows_its_route_to_another_service(rig):
    first = rig.send_held()
    second = rig.send("r2")
    eventually(lambda: rig.queued == 1)
    rig.change(route("read", "/read/", service="none"))
    assert second.answer().status == 503
    rig.mtl.faults.hold.set()
    assert first.answer().status == 200
    assert len(rig.ran) == 1


def test_a_request_whose_route_is_dropped_ends_as_it_began(rig):
    first = rig.send_held()
    second = rig.send("r2")
    eventually(lambda: rig.queued == 1)
    rig.change(route("other", "/other/"))
    gevent.sleep(0.05)
    rig.mtl.faults.hold.set()
    assert first.answer().body == b"u0 ran r1"
    assert second.answer().body == b"u0 ran r2"


def test_a_request_that_may_not_run_twice_any_more_isnt_repeated(rig):
    rig.mtl.faults.script = [None]
    client = rig.send_held()
    rig.change(bound_to("qc", idempotent=False))
    rig.mtl.faults.hold.set()
    assert client.answer().status == 502
    assert len(rig.ran) == 1


def test_a_request_that_ran_isnt_repeated_because_its_route_now_allows_it(rig):
    rig.change(bound_to("mtl", idempotent=False))
    rig.mtl.faults.script = [None]
    client = rig.send_held()
    rig.change(bound_to("qc"))
    rig.mtl.faults.hold.set()
    assert client.answer().status == 502
    assert len(rig.ran) == 1


def test_more_attempts_allowed_meanwhile_are_not_made(rig):
    rig.change(bound_to("mtl", max_attempts=1))
    rig.mtl.faults.script = [None]
    client = rig.send_held()
    rig.change(bound_to("qc", max_attempts=5))
    rig.mtl.faults.hold.set()
    assert client.answer().status == 502
    assert len(rig.ran) == 1


def test_a_request_that_connects_isnt_sent_to_an_upstream_that_asks_for_a_pause(
    rig, during_connect
):
    rig.change(route("read", "/read/"))
    upstream = rig.state.upstreams.by_name["u0"]

    def ask_for_pause():
        upstream.refuses_until_ms = rig.clock.now_ms() + 5_000

    during_connect(ask_for_pause)
    assert rig.send().answer().body == b"u1 ran r1"
    assert rig.mtl.served_requests == []


def test_the_time_that_a_connect_takes_is_not_forwarded(rig, during_connect):
    during_connect(lambda: gevent.sleep(0.4))
    answer = rig.send(headers=(f"{NAMES.timeout}: 1000",)).answer()
    assert answer.status == 200
    assert 0 < rig.mtl.served_requests[0].timeout_ms <= 600


def test_new_homes_free_a_request_behind_a_long_queue(rig):
    other = {"name": "other", "prefix": "/other/", "priority": 1}
    rig.change(bound_to("mtl"), bound_to("mtl", **other))
    first = rig.send_held()
    ahead = [rig.send(f"a{index}") for index in range(MAX_QUEUE_MISSES + 10)]
    eventually(lambda: rig.queued == len(ahead))
    last = rig.client()
    last.send("/other/x", request_id="last")
    eventually(lambda: rig.queued == len(ahead) + 1)
    rig.change(bound_to("mtl"), bound_to("qc", **other))
    eventually(lambda: rig.qc.served_requests)
    assert rig.queued == len(ahead)
    assert last.answer().body == b"u1 ran last"
    rig.mtl.faults.hold.set()
    assert first.answer().status == 200


def test_a_node_that_stops_queues_no_request_again(rig):
    first = rig.send_held()
    second = rig.send("r2")
    eventually(lambda: rig.queued == 1)
    rig.placer.refuse_queued()
    assert second.answer().status == 503
    assert rig.send("r3").answer().status == 503
    assert rig.queued == 0
    rig.mtl.faults.hold.set()
    assert first.answer().status == 200
