"""A granted slot is never leaked, however the wait for it ends."""

import gevent
from gevent.event import AsyncResult

from bilberry_balance.placement.candidates import Selection, UpstreamRequirements
from bilberry_balance.placement.distances import Location
from bilberry_balance.placement.upstream import UpstreamSpec
from bilberry_core.clock import SystemClock
from bilberry_router.entry.placer import PlacementRequest, Placer
from bilberry_router.entry.state import EntryState

from ...bilberry_balance.placement.common import forbid_waiting
from .common import SHARED_LIMITS, config, eventually

TARGET_MS = 60_000


class OneSlot:
    """Run a placer with one upstream, whose only slot is taken at first."""

    def __init__(self):
        self.clock = SystemClock()
        self.state = EntryState(
            "n1", Location("mtl-a", "mtl"), SHARED_LIMITS, self.clock
        )
        self.state.install(config())
        spec = UpstreamSpec("u0", "s", "127.0.0.1:1", "mtl-a", "mtl", slots=1)
        self.upstream = self.state.upstreams.put(spec, draining=False)
        self.upstream.in_flight = 1
        forbid_waiting(self.upstream)
        self.placer = Placer(self.state)
        self.disconnect = None

    def request(self, homes=()):
        rule = self.state.routes.config.routes[0]
        processing_times = self.state.processing_times(rule, "s")
        now_ms = self.clock.now_ms()
        until_ms = now_ms + TARGET_MS
        requirements = UpstreamRequirements(
            "s", "k", processing_times, frozenset(homes)
        )
        return PlacementRequest(requirements, 0, TARGET_MS, now_ms, until_ms, until_ms)

    def watch(self, on_caller_gone):
        self.disconnect = on_caller_gone

    def place(self, request):
        return self.placer.place(request, self.watch)


def test_a_slot_granted_just_before_a_disconnect_is_kept():
    rig = OneSlot()
    placement = gevent.spawn(rig.place, rig.request())
    eventually(lambda: rig.placer.queue_length("s") == 1)
    rig.placer.release(rig.upstream)
    assert rig.upstream.in_flight == 1
    rig.disconnect()
    placed = placement.get(timeout=10)
    assert isinstance(placed, Selection)
    assert placed.upstream is rig.upstream


def test_a_slot_granted_as_the_wait_ends_is_kept():
    rig = OneSlot()

    class GrantedOnTimeout(AsyncResult):
        def wait(self, timeout=None):
            rig.placer.release(rig.upstream)

    request = rig.request()
    request.granted = GrantedOnTimeout()
    placed = rig.place(request)
    assert isinstance(placed, Selection)
    assert rig.upstream.in_flight == 1


def test_a_queued_request_takes_no_slot_after_a_disconnect():
    rig = OneSlot()
    placement = gevent.spawn(rig.place, rig.request())
    eventually(lambda: rig.placer.queue_length("s") == 1)
    rig.disconnect()
    assert not isinstance(placement.get(timeout=10), Selection)
    rig.placer.release(rig.upstream)
    assert rig.upstream.in_flight == 0


def put_upstream(rig, name, service, region):
    spec = UpstreamSpec(name, service, "127.0.0.1:1", f"{region}-a", region, slots=20)
    rig.state.upstreams.put(spec, draining=False)


def test_a_service_with_upstreams_in_another_region_only_is_served_there():
    rig = OneSlot()
    rig.state.upstreams.remove("u0")
    put_upstream(rig, "u1", "s", "qc")
    put_upstream(rig, "u2", "other", "mtl")
    for _ in range(20):
        assert isinstance(rig.place(rig.request()), Selection)


def test_requests_bound_to_one_region_leave_the_shares_of_others_alone():
    rig = OneSlot()
    put_upstream(rig, "u1", "s", "mtl")
    put_upstream(rig, "u2", "s", "qc")
    rig.state.init_region_shares(rig.clock.now_ms())
    limiter = rig.state.region_share_limiter
    before = dict(limiter.wanted_shares), dict(limiter.shares), dict(limiter.credits)
    for _ in range(10):
        placed = rig.place(rig.request(homes=["qc"]))
        assert placed.upstream.name == "u2"
    assert (limiter.wanted_shares, limiter.shares, limiter.credits) == before
