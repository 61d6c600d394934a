"""Test the model of the simulated upstream."""

from bilberry_testing.upstream.messages import (
    Control,
    Fault,
    FaultAction,
    HealthState,
)
from bilberry_testing.upstream.model import Admission, UpstreamModel
from bilberry_testing.upstream.request import UpstreamRequest


def request(path="/", query=""):
    return UpstreamRequest(method="GET", path=path, query=query, headers={})


def test_slots_then_queue_then_shed():
    model = UpstreamModel(Control(slots=1, queue=1), 0)
    assert [model.admit(1) for _ in range(3)] == [
        Admission.RUN,
        Admission.QUEUE,
        Admission.SHED,
    ]
    model.release_slot(2)
    model.dequeue(2)
    assert model.admit(3) is Admission.RUN


def test_a_draining_upstream_may_refuse():
    model = UpstreamModel(Control(draining=True, refuse_when_draining=True), 0)
    assert model.admit(1) is Admission.SHED


def test_load_lags_and_misleads():
    model = UpstreamModel(Control(load_lag_ms=100, load_factor=0.5), 0)
    model.admit(10)
    model.admit(10)
    assert model.load(109).in_flight == 0
    assert model.load(110).in_flight == 1
    assert model.load(110).measured_at_ms == 10


def test_health_is_warming_then_ready_then_draining_after_its_lag():
    model = UpstreamModel(Control(warm_ms=50, health_lag_ms=10), 0)
    assert model.health(59).state is HealthState.WARMING
    assert model.health(60).state is HealthState.READY
    model.set_control(Control(warm_ms=50, health_lag_ms=10, draining=True), 70)
    assert model.health(79).state is HealthState.READY
    assert model.health(80).state is HealthState.DRAINING


def test_a_cold_upstream_is_slower():
    model = UpstreamModel(Control(service_ms=10, warm_ms=50, cold_factor=3), 0)
    assert model.service_ms(request(), 49) == 30
    assert model.service_ms(request(), 50) == 10
    assert model.service_ms(request(query="service_ms=7"), 50) == 7


def test_a_fault_fits_by_path_and_is_used_up():
    fault = Fault(action=FaultAction.HANG, path="/a", count=2)
    model = UpstreamModel(Control(faults=[fault]), 0)
    found = [model.take_fault(request(path)) for path in ("/b", "/a1", "/a2", "/a3")]
    assert [item is not None for item in found] == [False, True, True, False]
