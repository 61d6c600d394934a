"""All nodes together send cold upstreams only a small request rate."""

import pytest

from bilberry_balance.placement.cold_rate_limiter import ColdRateLimiter
from bilberry_balance.placement.restarts import RestartTracker
from bilberry_balance.placement.upstream import Upstream
from bilberry_resources.routing import PoolConfig

from .common import SelectorPool, spec

COLD_PER_S = 6.4
OVERAGE = 1.5
SLACK = 5
STEP_MS = 10
COLD_MS = 3_000


def simulate_sends(nodes, known):
    """Send from `nodes` nodes whenever allowed; return the times in ms."""
    times = []
    for index in range(nodes):
        limiter = ColdRateLimiter(f"node-{index}")
        limiter.set_node_count(known)
        upstream = Upstream(spec("u0"))
        limiter.schedule_first(upstream, COLD_PER_S, 0)
        for now_ms in range(0, COLD_MS, STEP_MS):
            if limiter.is_allowed(upstream, now_ms):
                limiter.schedule_next(upstream, COLD_PER_S, now_ms)
                times.append(now_ms)
    return times


def max_per_second(times):
    return max(sum(t <= other < t + 1_000 for other in times) for t in times)


@pytest.mark.parametrize(
    ("nodes", "known"), [(10, 10), (16, 10), (11, 11), (86, 86), (195, 195), (880, 880)]
)
def test_the_rate_of_all_nodes_stays_within_the_limit(nodes, known):
    times = simulate_sends(nodes, known)
    assert max_per_second(times) <= COLD_PER_S * OVERAGE + SLACK


@pytest.mark.parametrize("nodes", [12, 90, 195, 880])
def test_a_cold_upstream_is_used_by_some_of_many_nodes(nodes):
    times = simulate_sends(nodes, nodes)
    assert len(times) >= COLD_PER_S * COLD_MS / 1_000 / 3


def test_without_dividing_by_the_nodes_the_limit_is_exceeded():
    assert max_per_second(simulate_sends(10, 1)) > COLD_PER_S * OVERAGE + SLACK


def test_a_cold_upstream_is_selected_only_when_the_limiter_allows_it():
    pool = SelectorPool(spec("u0"), nodes=10)
    upstream = pool["u0"]
    pool.directory.mark_cold(upstream, COLD_MS, COLD_PER_S, 10_000)
    due_ms = upstream.next_cold_send_ms
    assert pool.name_of(now_ms=due_ms - 1) == "no room"
    assert pool.name_of(now_ms=due_ms) == "u0"
    pool.limiter.schedule_next(upstream, COLD_PER_S, due_ms)
    assert pool.name_of(now_ms=due_ms + 1) == "no room"
    assert pool.name_of(now_ms=10_000 + COLD_MS) == "u0"


def test_an_upstream_is_cold_after_it_was_unreachable():
    pool = SelectorPool(spec("u0"), nodes=10)
    upstream = pool["u0"]
    config = PoolConfig("suivi", cold_start_ms=COLD_MS, cold_requests_per_s=COLD_PER_S)
    restarts = RestartTracker(pool.directory, lambda service: config)
    restarts.on_unreachable(upstream, False, 1_000)
    assert upstream.is_blocked(1_100)
    assert not upstream.is_blocked(1_300)
    upstream.in_flight = 1
    assert upstream.is_blocked(1_300)
    upstream.in_flight = 0
    restarts.on_answer(upstream, 1_300)
    assert upstream.is_cold(1_300 + COLD_MS - 1)
    assert not upstream.is_cold(1_300 + COLD_MS)
    assert upstream.next_cold_send_ms > 1_300
