"""Nodes learn from each other which upstreams are slow, and fast again."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberry_balance.placement.const import (
    MAX_SHARED_REPORTS,
    MIN_SLOW_RATIO,
    SLOWNESS_SHARE_MS,
)
from bilberry_balance.placement.slow_reports import (
    SlowReport,
    make_slow_reports,
    merge_slow_reports,
)

from .common import SelectorPool, requirements, spec

NOW_MS = 10_000


def make_pool(*names):
    return SelectorPool(*(spec(name) for name in names or ("u0", "u1")))


def reports_of(pool, now_ms):
    return make_slow_reports(pool.directory.by_name.values(), now_ms)


def tell(sender, receiver, now_ms, way_ms=0):
    data = msgspec.msgpack.encode(reports_of(sender, now_ms))
    reports = msgspec.msgpack.decode(data, type=list[SlowReport])
    merge_slow_reports(reports, receiver.directory.by_name, now_ms + way_ms)


def test_a_node_avoids_an_upstream_that_only_its_peer_found_slow():
    one, other = make_pool(), make_pool()
    first = other.name_of(requirements("k1"))
    one[first].on_processing_time(12.0, NOW_MS)
    tell(one, other, NOW_MS + 300)
    assert other.name_of(requirements("k1"), now_ms=NOW_MS + 400) != first


def test_nodes_tell_that_an_upstream_is_fast_again():
    one, other = make_pool(), make_pool()
    one["u0"].on_processing_time(8.0, NOW_MS)
    tell(one, other, NOW_MS)
    for step in range(1, 4):
        other["u0"].on_processing_time(0.5, NOW_MS + step)
    tell(other, one, NOW_MS + 10)
    assert one["u0"].slow_factor(NOW_MS + 10) == 1.0


def test_an_older_report_changes_nothing():
    pool = make_pool()
    pool["u0"].on_processing_time(1.0, NOW_MS)
    merge_slow_reports(
        [SlowReport("u0", 9.0, age_ms=500)], pool.directory.by_name, NOW_MS
    )
    assert pool["u0"].slow_factor(NOW_MS) == 1.0


def test_fast_upstreams_and_old_observations_are_not_reported():
    pool = make_pool()
    pool["u0"].on_processing_time(1.0, NOW_MS)
    pool["u1"].on_processing_time(9.0, NOW_MS)
    assert [report.upstream for report in reports_of(pool, NOW_MS)] == ["u1"]
    assert reports_of(pool, NOW_MS + SLOWNESS_SHARE_MS) == []


def test_a_report_passed_on_forever_ends():
    pools = [make_pool() for _ in range(3)]
    pools[0]["u0"].on_processing_time(9.0, NOW_MS)
    for turn in range(60):
        now_ms = NOW_MS + 100 * turn
        tell(pools[turn % 3], pools[(turn + 1) % 3], now_ms, way_ms=55)
    assert not any(reports_of(pool, NOW_MS + 6_000) for pool in pools)


def test_of_many_reports_the_newest_are_sent():
    names = [f"u{index}" for index in range(2 * MAX_SHARED_REPORTS)]
    pool = make_pool(*names)
    for index, name in enumerate(names):
        pool[name].on_slow_report(9.0, NOW_MS + index)
    sent = [report.upstream for report in reports_of(pool, NOW_MS + 200)]
    assert sent == names[: MAX_SHARED_REPORTS - 1 : -1]


def test_a_node_that_finds_most_upstreams_slow_blames_none():
    """It is slow itself, or its network is; what it heard it passes on."""
    slow_node = make_pool("u0", "u1", "u2", "u3")
    for name in ("u0", "u1", "u2"):
        slow_node[name].on_processing_time(9.0, NOW_MS)
    slow_node["u3"].on_slow_report(4.0, NOW_MS - 100)
    assert [r.upstream for r in reports_of(slow_node, NOW_MS)] == ["u3"]


def test_a_report_of_an_unknown_upstream_is_ignored():
    pool = make_pool()
    merge_slow_reports([SlowReport("gone", 9.0, 0)], pool.directory.by_name, NOW_MS)
    assert "gone" not in pool.directory.by_name


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.floats(0.1, 30.0), st.integers(1, 400)),
        min_size=1,
        max_size=12,
    )
)
def test_nodes_that_heard_of_all_observations_agree(observations):
    pools = [make_pool() for _ in range(3)]
    now_ms = NOW_MS
    for node, ratio, pause_ms in observations:
        now_ms += pause_ms
        pools[node]["u0"].on_processing_time(ratio, now_ms)
        for pool in pools:
            tell(pools[node], pool, now_ms)
    factors = [pool["u0"].slow_factor(now_ms) for pool in pools]
    newest = max(pools, key=lambda pool: pool["u0"].slow_ratio_at_ms)
    if newest["u0"].has_been_slow:
        assert max(factors) - min(factors) <= 0.1 or min(factors) < MIN_SLOW_RATIO


def test_an_upstream_that_started_again_is_not_slow_by_earlier_reports():
    one = SelectorPool(spec("u0", started_at_ms=1))
    other = SelectorPool(spec("u0", started_at_ms=2))
    one["u0"].on_processing_time(12.0, NOW_MS)
    tell(one, other, NOW_MS + 300)
    assert not other["u0"].is_slow(NOW_MS + 300)
