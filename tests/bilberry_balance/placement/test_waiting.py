"""A request that would be fast at a full upstream may wait there.

With few slots an upstream is often full by chance. A node that waits hears
late that a slot is free; a request that waits at the upstream gets it at once.
"""

from bilberry_balance.placement.costs import WaitState

from .common import SelectorPool, requirements, spec

SLOTS = 3


def pool_of(*names, **fields):
    specs = [spec(name, slots=SLOTS, **fields) for name in names]
    return SelectorPool(*specs, waiting=True)


def fill(upstream, waiting=0):
    upstream.in_flight = SLOTS + waiting


def test_a_request_waits_at_the_upstream_of_its_key():
    pool = pool_of("u0", "u1", "u2")
    primary = pool.select(requirements("k")).upstream
    fill(primary)
    assert pool.select(requirements("k")).upstream is primary


def test_no_more_requests_wait_than_the_upstream_has_slots():
    pool = pool_of("u0")
    fill(pool["u0"], waiting=SLOTS - 1)
    assert pool.name_of(requirements("k")) == "u0"
    fill(pool["u0"], waiting=SLOTS)
    assert pool.name_of(requirements("k")) == "no room"


def test_an_upstream_that_turned_requests_away_gets_no_more_than_it_queues():
    pool = pool_of("u0")
    pool["u0"].on_shed(has_free_slot=False, waiting=1, now_ms=9_000)
    fill(pool["u0"])
    assert pool.name_of(requirements("k")) == "u0"
    fill(pool["u0"], waiting=1)
    assert pool.name_of(requirements("k")) == "no room"
    assert pool.name_of(requirements("k"), now_ms=60_000) == "u0"


def test_a_request_does_not_wait_where_it_would_evict_an_object():
    pool = pool_of("u0", "u1", "u2", "u3")
    ranks = pool.selector.ranks.for_key("suivi", "k").ranks
    for name in ("u0", "u1", "u2", "u3"):
        pool[name].in_flight = SLOTS + (SLOTS if ranks.get(name) == 0 else 0)
    assert pool.name_of(requirements("k")) == "no room"


def test_requests_are_spread_over_full_upstreams_without_a_key():
    pool = pool_of("u0", "u1")
    for _ in range(2 * SLOTS + 2):
        pool.select(requirements("")).upstream.in_flight += 1
    assert pool["u0"].in_flight == pool["u1"].in_flight == SLOTS + 1


def test_a_free_slot_elsewhere_goes_before_a_long_wait():
    pool = SelectorPool(spec("u0", slots=1), spec("far", "qc-a", slots=1), waiting=True)
    for upstream in pool.directory.by_name.values():
        upstream.record_key("k", 10_000)
    pool["u0"].in_flight = 1
    assert pool.name_of(requirements("k"), wait_state=WaitState()) == "far"
