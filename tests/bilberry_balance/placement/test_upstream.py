"""The state of an upstream follows its answers, failures and reports."""

from bilberry_balance.placement.const import (
    FAILURES_TO_BLOCK,
    SHED_WAITING_TTL_MS,
    SHEDS_TO_BLOCK,
)
from bilberry_balance.placement.upstream import Upstream

from .common import SelectorPool, spec


def test_few_lost_answers_do_not_block_an_upstream():
    upstream = Upstream(spec("u0"))
    for _ in range(FAILURES_TO_BLOCK - 1):
        upstream.on_failure(1_000)
    assert not upstream.is_blocked(1_000)
    upstream.on_failure(1_000)
    assert upstream.is_blocked(1_000)


def test_a_complete_answer_resets_consecutive_failures():
    upstream = Upstream(spec("u0"))
    for _ in range(10):
        upstream.on_failure(1_000)
        upstream.on_answer(1_000)
    assert not upstream.is_blocked(1_000)
    assert not upstream.is_cold(1_000)


def test_an_upstream_that_sheds_with_free_slots_is_blocked():
    upstream = Upstream(spec("u0"))
    for _ in range(SHEDS_TO_BLOCK):
        upstream.on_shed(has_free_slot=True, waiting=0, now_ms=1_000)
    assert upstream.is_blocked(1_000)


def test_a_full_upstream_counts_as_full():
    upstream = Upstream(spec("u0", slots=4))
    upstream.on_shed(has_free_slot=False, waiting=2, now_ms=1_000)
    assert upstream.load(0, 1_000) == 4
    assert not upstream.is_blocked(1_000)


def test_an_upstream_that_sheds_lets_no_more_wait_than_it_said():
    upstream = Upstream(spec("u0", slots=4))
    assert upstream.max_waiting(1_000) == 4
    upstream.on_shed(has_free_slot=False, waiting=2, now_ms=1_000)
    assert upstream.max_waiting(1_000) == 2
    upstream.on_shed(has_free_slot=False, waiting=9, now_ms=1_000)
    assert upstream.max_waiting(1_000) == 4
    upstream.on_shed(has_free_slot=False, waiting=0, now_ms=1_000)
    assert upstream.max_waiting(1_000 + SHED_WAITING_TTL_MS) == 4


def test_a_new_incarnation_replaces_the_old_state():
    pool = SelectorPool(spec("u0", started_at_ms=1))
    old = pool["u0"]
    old.in_flight = 3
    old.record_key("k", 1_000)
    new = pool.directory.put(spec("u0", started_at_ms=2), draining=False)
    assert new is not old
    assert old.draining
    assert new.in_flight == 0
    assert not new.is_warm("k", 1_000)


def test_an_upstream_that_starts_draining_keeps_its_requests():
    pool = SelectorPool(spec("u0"))
    pool["u0"].in_flight = 3
    upstream = pool.directory.put(spec("u0"), draining=True)
    assert upstream.in_flight == 3
    assert not pool.directory.accepts_requests(upstream)


def test_peers_counts_are_replaced_and_expire():
    pool = SelectorPool(spec("u0"))
    pool.peer_loads.update("n2", {"u0": 2}, 1_000)
    pool.peer_loads.update("n2", {"u0": 1}, 1_200)
    pool.peer_loads.update("n3", {"u0": 1, "u1": 5}, 1_000)
    assert pool.peer_loads.total("u0") == 2
    pool.peer_loads.expire(3_600)
    assert pool.peer_loads.total("u0") == 1
    assert pool.peer_loads.total("u1") == 0
