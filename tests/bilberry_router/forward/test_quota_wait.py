"""Test that a request waits briefly for quota before it is shed."""

from bilberry_router.forward import quota_wait
from bilberry_steering.routing_results import Route, Shed, ShedReason

from .common import OK, ForwarderFixture, UnlimitedSteering, always

SHED = Shed(ShedReason.NO_CAPACITY, 1_000)


class DelayedSteering(UnlimitedSteering):
    """Have no quota until `route_again` was called `waits` times."""

    def __init__(self, waits):
        super().__init__()
        self.waits = waits
        self.asked = 0

    def route(self, service, client_ip, request_hash, now_ms):
        return SHED

    def route_again(self, service, client_ip, request_hash, now_ms):
        self.asked += 1
        if self.asked < self.waits:
            return None
        return Route(self.regions[0], [], "g")


def test_a_request_is_served_once_quotas_have_refilled():
    with ForwarderFixture(always(OK), steering=DelayedSteering(waits=3)) as rig:
        answer = rig.ask("GET", "/x")
        assert (answer.status, answer.body) == (200, b"ok")
        assert rig.forwarder.quota_waiter.waiting_count == 0


def test_it_is_shed_as_not_run_when_they_do_not_refill():
    steering = DelayedSteering(waits=10_000)
    with ForwarderFixture(always(OK), steering=steering) as rig:
        answer = rig.ask("GET", "/x")
        assert answer.status == 503
        assert answer.headers["x-bilberry-outcome"] == "not-run"
        assert steering.asked > 1
        assert rig.upstreams[0].requests == []


def test_no_more_than_a_bound_wait(monkeypatch):
    monkeypatch.setattr(quota_wait, "MAX_WAITING", 0)
    steering = DelayedSteering(waits=1)
    with ForwarderFixture(always(OK), steering=steering) as rig:
        assert rig.ask("GET", "/x").status == 503
        assert steering.asked == 0
