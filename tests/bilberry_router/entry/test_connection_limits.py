"""One address can't take all connections, nor all callers all descriptors."""

import logging

import pytest

from bilberry_core.clock import ManualClock
from bilberry_resources.routing import CallerLimits
from bilberry_router.entry import connection_limits
from bilberry_router.entry.caller_refusals import (
    LOG_INTERVAL_MS,
    CallerLimit,
    CallerRefusals,
)
from bilberry_router.entry.connection_limits import ConnectionLimits
from bilberry_router.entry.const import MAX_CONNECTIONS

from .common import Client, Rig, config, eventually


@pytest.fixture
def descriptors(monkeypatch):
    """Set the process's limit on descriptors."""

    def set_limit(count):
        monkeypatch.setattr(
            connection_limits.resource, "getrlimit", lambda kind: (count, count)
        )

    set_limit(1_000)
    return set_limit


def fill(limits, address, count):
    assert [limits.try_add(address) for _ in range(count)] == [None] * count


def test_one_address_leaves_connections_to_others(descriptors):
    limits = ConnectionLimits()
    fill(limits, "a", 375)
    assert limits.try_add("a") is CallerLimit.ADDRESS_CONNECTIONS
    fill(limits, "b", 375)
    assert limits.try_add("c") is CallerLimit.CONNECTIONS
    limits.remove("a")
    assert limits.try_add("c") is None


def test_callers_leave_descriptors_to_the_other_listeners(descriptors):
    """Guard against a probe of readiness that finds no descriptor."""
    limits = ConnectionLimits()
    fill(limits, "a", 375)
    fill(limits, "b", 375)
    for _ in range(100):
        assert limits.try_add("probe", is_auxiliary=True) is None
    assert limits.try_add("c", is_auxiliary=True) is CallerLimit.CONNECTIONS
    descriptors(100_000)
    fill(limits, "d", 1_500)
    fill(limits, "e", MAX_CONNECTIONS - limits.total)
    assert limits.try_add("f") is CallerLimit.CONNECTIONS
    assert limits.try_add("f", is_auxiliary=True) is None


def test_the_limit_follows_the_descriptors_but_is_never_over_the_fixed_one(
    descriptors,
):
    assert connection_limits.max_connections(0.5) == 500
    descriptors(100_000)
    assert connection_limits.max_connections(0.5) == MAX_CONNECTIONS
    descriptors(connection_limits.resource.RLIM_INFINITY)
    assert connection_limits.max_connections(0.5) == MAX_CONNECTIONS


def test_a_limit_of_the_settings_replaces_the_default(descriptors):
    limits = ConnectionLimits()
    limits.max_of_address = 2
    fill(limits, "a", 2)
    assert limits.try_add("a") is CallerLimit.ADDRESS_CONNECTIONS


def test_nothing_is_kept_of_addresses_without_connections(descriptors):
    limits = ConnectionLimits()
    fill(limits, "a", 2)
    limits.remove("a")
    limits.remove("a")
    assert (limits.total, dict(limits.by_address)) == (0, {})
    limits.max_of_address = 1
    fill(limits, "b", 1)
    assert limits.try_add("b") is CallerLimit.ADDRESS_CONNECTIONS
    limits.remove("b")
    assert dict(limits.by_address) == {}


def test_a_listener_closes_what_passes_the_limit_and_serves_others():
    with Rig(count=1) as rig:
        rig.listener.connection_limits.max_of_address = 2
        idle = [rig.client() for _ in range(2)]
        eventually(lambda: len(rig.listener.connections) == 2)
        assert rig.client().answer() is None
        other = Client(rig.listener.address, source="127.0.0.2")
        other.send("/read/x")
        assert other.answer().status == 200
        idle[0].reset()
        eventually(lambda: rig.listener.connection_limits.by_address["127.0.0.1"] == 1)
        assert rig.ask("/read/x", request_id="r2").status == 200
        counts = rig.listener.refusals.counts
        assert counts == {CallerLimit.ADDRESS_CONNECTIONS: 1}


def test_refusals_are_counted_by_the_limit():
    with Rig(count=1) as rig:
        limits = CallerLimits(max_header_bytes=500, max_body_bytes=10)
        rig.state.install(config(2, limits=limits))
        rig.ask("/read/x", headers=("X-Long: " + "x" * 600,))
        rig.ask("/read/x", method="POST", body=b"x" * 11)
        rig.ask("/read/x", headers=("Content-Length: x",))
        assert rig.ran == []
        assert rig.listener.refusals.counts == {
            CallerLimit.HEAD_SIZE: 1,
            CallerLimit.BODY_SIZE: 1,
            CallerLimit.FORMAT: 1,
        }


def test_refusals_are_logged_once_in_an_interval(caplog):
    """Guard against a log line for each of many hostile connections."""
    clock = ManualClock()
    refusals = CallerRefusals(clock)
    with caplog.at_level(logging.WARNING):
        for _ in range(100):
            refusals.record(CallerLimit.TIME, "10.0.0.1")
        clock.advance(LOG_INTERVAL_MS)
        refusals.record(CallerLimit.MEMORY, "10.0.0.2")
    assert [record.getMessage() for record in caplog.records] == [
        "entry: Refused callers: time 1; the last is 10.0.0.1.",
        "entry: Refused callers: time 99, memory 1; the last is 10.0.0.2.",
    ]
    assert refusals.counts == {CallerLimit.TIME: 100, CallerLimit.MEMORY: 1}
