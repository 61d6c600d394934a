"""Requests go to the eligible upstream expected to finish first."""

from bilberry_balance.placement.costs import WaitState
from bilberry_balance.placement.processing_times import Warmth

from .common import SelectorPool, requirements, spec

# A wait after which any free slot is cheaper than waiting on.
LONG_WAIT = WaitState(queued=60, waited_ms=2_000)


def test_near_upstreams_are_preferred():
    pool = SelectorPool(
        spec("far", "qc-a"), spec("near", "mtl-a"), spec("next", "mtl-b")
    )
    assert pool.name_of() in ("near", "next")


def test_a_key_stays_with_one_upstream_of_its_region():
    pool = SelectorPool(*(spec(f"u{i}") for i in range(6)))
    names = set()
    for _ in range(20):
        selection = pool.select(requirements("k7"))
        names.add(selection.upstream.name)
        selection.upstream.record_key("k7", 10_000)
    assert len(names) == 1


def test_nodes_agree_on_a_keys_upstream_without_communication():
    specs = [spec(f"u{i}") for i in range(6)]
    one, other = SelectorPool(*specs), SelectorPool(*reversed(specs))
    for index in range(30):
        key = f"k{index}"
        assert one.name_of(requirements(key)) == other.name_of(requirements(key))


def test_an_upstream_filled_by_own_and_peers_requests_is_not_selected():
    pool = SelectorPool(spec("u0", slots=3), spec("far", "qc-a"))
    pool["u0"].in_flight = 1
    pool.peer_loads.update("n2", {"u0": 2}, 10_000)
    assert pool.name_of() == "no room"
    assert pool.name_of(wait_state=LONG_WAIT) == "far"
    pool.peer_loads.remove("n2")
    assert pool.name_of() == "u0"


def test_a_recent_load_report_goes_before_the_counts_of_peers():
    pool = SelectorPool(spec("u0", slots=3), spec("far", "qc-a"))
    pool["u0"].on_report(running=3, waiting=1, pace=1.0, now_ms=10_000)
    assert pool.name_of() == "no room"
    assert pool.name_of(wait_state=LONG_WAIT) == "far"
    assert pool.name_of(now_ms=11_000) == "u0"


def test_home_regions_apply_even_if_only_other_regions_have_free_slots():
    pool = SelectorPool(spec("u0", slots=1), spec("far", "qc-a"))
    pool["u0"].in_flight = 1
    assert pool.name_of(requirements(homes=["mtl"])) == "no room"
    assert pool.name_of(requirements(homes=["sag"])) == "no upstream"


def test_draining_and_evacuated_upstreams_are_not_selected():
    pool = SelectorPool(spec("u0"), spec("u1", "mtl-b"))
    pool["u0"].draining = True
    assert pool.name_of() == "u1"
    pool.directory.evacuate(frozenset({"mtl-b"}))
    assert pool.name_of() == "no upstream"
    assert pool.directory.evacuate(frozenset()) == {"mtl-b"}
    assert pool.name_of() == "u1"


def test_an_upstream_tried_before_is_not_tried_again():
    pool = SelectorPool(spec("u0"), spec("u1", "mtl-b"))
    assert pool.name_of(requirements(excluded=["u0"])) == "u1"


def test_a_request_waits_if_no_region_may_be_picked():
    pool = SelectorPool(spec("u0", slots=1), spec("far", "qc-a"))
    pool["u0"].in_flight = 1
    assert pool.name_of(pick=lambda regions, now_ms: None) == "no room"


def test_a_slow_upstream_is_avoided_until_its_ratio_has_decayed():
    pool = SelectorPool(spec("u0"), spec("u1", "mtl-b"))
    primary = pool.select().upstream
    for _ in range(8):
        primary.on_processing_time(8.0, 10_000)
    assert pool.select().upstream is not primary
    assert pool.select(now_ms=60_000).upstream is primary


def test_under_load_a_cache_miss_is_not_placed_at_lower_ranks():
    pool = SelectorPool(*(spec(f"u{i}", slots=4) for i in range(4)))
    for _ in range(2):
        pool.select(requirements("k3"), wait_state=LONG_WAIT).upstream.in_flight = 4
    others = [u for u in pool.directory.by_name.values() if not u.in_flight]
    assert pool.name_of(requirements("k3")) == "no room"
    assert pool.select(requirements("k3"), wait_state=LONG_WAIT).upstream in others
    for upstream in others:
        upstream.in_flight = 1
    assert pool.name_of(requirements("k3"), wait_state=LONG_WAIT) == "no room"
    others[0].record_key("k3", 10_000)
    assert pool.select(requirements("k3"), wait_state=LONG_WAIT).warmth is Warmth.KNOWN


def test_in_other_regions_only_the_first_rank_takes_a_cache_miss():
    pool = SelectorPool(
        spec("u0", slots=1), *(spec(f"q{i}", "qc-a", slots=10) for i in range(3))
    )
    pool["u0"].in_flight = 1
    first = pool.select(requirements("k")).upstream
    assert first.spec.region == "qc"
    first.in_flight = 10
    assert pool.name_of(requirements("k")) == "no room"


def test_upstreams_in_other_regions_are_used_to_their_last_slot():
    pool = SelectorPool(spec("u0", slots=1), spec("far", "qc-a", slots=3))
    pool["u0"].in_flight = 1
    pool["far"].in_flight = 2
    assert pool.name_of() == "far"
    pool["far"].in_flight = 3
    assert pool.name_of() == "no room"


def test_a_cached_object_returns_to_its_first_rank():
    pool = SelectorPool(*(spec(f"u{i}") for i in range(3)))
    primary = pool.select(requirements("k3")).upstream
    primary.in_flight = 4
    second = pool.select(requirements("k3"), wait_state=LONG_WAIT).upstream
    second.record_key("k3", 10_000)
    assert pool.select(requirements("k3"), wait_state=LONG_WAIT).upstream is second
    primary.in_flight = 3
    assert pool.select(requirements("k3")).upstream is primary


def test_a_short_wait_is_preferred_to_another_region():
    pool = SelectorPool(spec("u0", slots=9), spec("far", "qc-a", slots=9))
    pool["u0"].in_flight = 9
    for upstream in pool.directory.by_name.values():
        upstream.record_key("k", 10_000)
    assert pool.name_of(wait_state=WaitState(queued=1)) == "no room"
    assert pool.name_of(wait_state=WaitState(queued=20)) == "far"
    assert pool.name_of(wait_state=WaitState(queued=1, waited_ms=400)) == "far"


def test_no_request_waits_for_a_cold_upstream():
    pool = SelectorPool(spec("u0", slots=9), spec("far", "qc-a", slots=9))
    pool["u0"].in_flight = 9
    pool.directory.mark_cold(pool["u0"], 3_000, 6.4, 10_000)
    assert pool.name_of() == "far"


def test_a_late_request_may_use_a_lightly_loaded_upstream():
    pool = SelectorPool(*(spec(f"u{i}", slots=4) for i in range(4)))
    pool.select(requirements("k3")).upstream.in_flight = 4
    late = WaitState(is_late=True)
    assert pool.name_of(requirements("k3")) == "no room"
    assert pool.select(requirements("k3"), wait_state=late).warmth is Warmth.SECOND_RANK
    for upstream in pool.directory.by_name.values():
        upstream.in_flight = max(upstream.in_flight, 2)
    assert pool.name_of(requirements("k3"), wait_state=late) == "no room"
