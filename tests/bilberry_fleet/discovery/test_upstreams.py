"""The listener tells changes of upstreams from mere renewals of entries."""

import pytest

from bilberry_balance.placement.cold_rate_limiter import ColdRateLimiter
from bilberry_balance.placement.directory import UpstreamDirectory
from bilberry_balance.placement.upstream import UpstreamSpec
from bilberry_core.clock import ManualClock
from bilberry_core.outcome import Failure, Success
from bilberry_fleet.discovery.const import REREGISTRATION_GRACE_MS
from bilberry_fleet.discovery.source import Change, Changes, Record, Snapshot
from bilberry_fleet.discovery.upstreams import UpstreamEntry, UpstreamListener

SPEC = UpstreamSpec("u0", "suivi", "10.0.0.1:80", "mtl-a", "mtl", 4, 1)


def entry(spec=SPEC, draining=False, cold_left_ms=0):
    return UpstreamEntry(spec, draining, cold_left_ms)


@pytest.fixture
def listener():
    found = UpstreamListener(
        UpstreamDirectory(ColdRateLimiter("n1")),
        lambda record: Success(record.content) if record.content else Failure("none"),
        ManualClock(monotonic_ms=10_000),
        lambda service: None,
    )
    found.on_snapshot(Snapshot([Record("u0", 1, entry())], 1))
    return found


def apply(listener, content, deleted=False, name="u0"):
    return listener.on_changes(Changes([Change(Record(name, 2, content), deleted)], 2))


def test_a_renewed_entry_is_no_news(listener):
    assert not apply(listener, entry())


@pytest.mark.parametrize(
    "changed",
    [
        entry(draining=True),
        entry(cold_left_ms=2_000),
        entry(UpstreamSpec("u0", "suivi", "10.0.0.1:80", "mtl-a", "mtl", 4, 2)),
        None,
    ],
    ids=["draining", "cold", "restarted", "unreadable"],
)
def test_a_changed_entry_is_news_once(listener, changed):
    assert apply(listener, changed)
    assert not apply(listener, changed)


def test_new_and_removed_upstreams_are_news(listener):
    other = UpstreamSpec("u1", "suivi", "10.0.0.2:80", "mtl-a", "mtl", 4, 1)
    assert apply(listener, entry(other), name="u1")
    assert apply(listener, None, deleted=True)
    assert not apply(listener, None, deleted=True)


def test_an_entry_that_an_outage_hid_is_kept_from_the_first_answer_on(listener):
    """Guard against a wait that begins with a later read of this kind."""
    listener.on_outage()
    listener.record_recovery()
    until_ms = listener.clock.now_ms() + REREGISTRATION_GRACE_MS
    listener.clock.advance(REREGISTRATION_GRACE_MS - 1)
    listener.on_snapshot(Snapshot([], 3))
    listener.expire(until_ms - 1)
    assert "u0" in listener.directory.by_name
    listener.expire(until_ms)
    assert "u0" not in listener.directory.by_name


def test_an_entry_that_lapses_and_returns_after_an_outage_is_news(listener):
    listener.on_outage()
    assert apply(listener, None, deleted=True)
    assert apply(listener, entry())
    assert not apply(listener, entry())


def test_only_services_with_changed_upstreams_are_reported(listener):
    """Guard against clearing the ranks of all services, or none at a drain."""
    changed = []
    listener.on_change = changed.append
    other = UpstreamSpec("u1", "galerie", "10.0.0.2:80", "mtl-a", "mtl", 4, 1)
    apply(listener, entry(other), name="u1")
    apply(listener, entry(other), name="u1")
    assert changed == ["galerie"]
    apply(listener, entry(draining=True))
    assert changed == ["galerie", "suivi"]


def test_services_of_replaced_upstreams_are_reported(listener):
    """Guard against a rank for an upstream whose address another one has."""
    changed = []
    listener.on_change = changed.append
    other = UpstreamSpec("u1", "galerie", SPEC.address, "mtl-a", "mtl", 4, 2)
    apply(listener, entry(other), name="u1")
    assert changed == ["galerie", "suivi"]
    apply(listener, None, deleted=True, name="u1")
    assert changed == ["galerie", "suivi"] * 2
