"""Test that the lease's epoch fences plans."""

import pytest

from bilberry_core.clock import SystemClock
from bilberry_fleet.const import KIND_PLAN, NAME_CURRENT_PLAN
from bilberry_fleet.planner import PlanErrorKind, PlanWriter
from bilberry_store.client import StoreClient, StoreClientSettings
from bilberry_testing.platform import PlatformServer
from bilberry_testing.platform.messages import Faults


@pytest.fixture
def platform():
    found = PlatformServer()
    found.start()
    yield found
    found.close()


@pytest.fixture
def writer(platform):
    settings = StoreClientSettings(call_timeout_ms=500, resolve_delay_ms=1)
    clients = []

    def make():
        client = StoreClient(platform.url, SystemClock(), settings)
        client.start()
        clients.append(client)
        return PlanWriter(client)

    yield make
    for client in clients:
        client.close()


def stored(writer):
    return writer.store.get(KIND_PLAN, NAME_CURRENT_PLAN).unwrap().spec


def test_a_former_holder_that_resumes_cannot_write(writer):
    old, new = writer(), writer()
    old.claim(1)
    old.publish(b'{"x":1}', 1).unwrap()
    assert bytes(new.claim(2).unwrap().body) == b'{"x":1}'
    error = old.publish(b'{"x":2}', 1).failure()
    assert error.kind is PlanErrorKind.SUPERSEDED
    assert stored(new) == {"epoch": 2, "body": {"x": 1}}
    assert old.claim(1).failure().kind is PlanErrorKind.SUPERSEDED


def test_a_plan_whose_reply_is_lost_is_found_in_place(writer, platform):
    found = writer()
    found.claim(1)
    platform.set_faults(Faults(lose_reply=1))
    record = found.publish(b'{"x":1}', 1).unwrap()
    assert stored(found) == {"epoch": 1, "body": {"x": 1}}
    assert found.publish(b'{"x":2}', 1).unwrap().version > record.version


def test_publishing_goes_on_after_an_outage(writer, platform):
    found = writer()
    found.claim(1)
    platform.set_faults(Faults(down=True))
    assert found.publish(b'{"x":1}', 1).failure().kind is PlanErrorKind.STORE
    platform.set_faults(Faults())
    found.publish(b'{"x":2}', 1).unwrap()
    assert stored(found)["body"] == {"x": 2}


def test_only_the_claimed_epoch_publishes(writer):
    found = writer()
    found.claim(3)
    error = found.publish(b"{}", 2).failure()
    assert error.kind is PlanErrorKind.NOT_HOLDER
