"""Urgent requests that can be in time go first; hopeless ones are refused."""

from bilberry_balance.placement.admission import (
    admit,
    expected_queue_wait_ms,
    spread_retry_after_ms,
)
from bilberry_balance.placement.queue import QueueEntry, WaitQueue


def queue_entry(name, priority=1, in_time_until_ms=1_000):
    return QueueEntry(name, priority, in_time_until_ms, 2_000)


def order(queue, now_ms=0):
    return [entry.item for entry in queue.in_order(now_ms)]


def test_priority_goes_before_age():
    queue = WaitQueue()
    for entry in (queue_entry("a", 2), queue_entry("b", 1), queue_entry("c", 1)):
        queue.push(entry)
    assert order(queue) == ["b", "c", "a"]


def test_a_late_request_goes_last_within_its_priority():
    queue = WaitQueue()
    queue.push(queue_entry("late", in_time_until_ms=500))
    queue.push(queue_entry("in time", in_time_until_ms=1_000))
    assert order(queue, 400) == ["late", "in time"]
    assert order(queue, 600) == ["in time", "late"]


def test_a_request_without_a_slot_does_not_block_the_next():
    queue = WaitQueue()
    for name in ("a", "b", "c"):
        queue.push(queue_entry(name))
    assert queue.start_next(lambda item: item == "b", 0, max_misses=5) == 1
    assert order(queue) == ["a", "c"]
    assert queue.start_next(lambda item: item == "c", 0, max_misses=1) == 0


def test_a_wait_that_passes_the_objective_is_refused_at_once():
    assert admit(300, 400) is None
    refusal = admit(500, 400)
    assert refusal is not None
    assert refusal.retry_after_ms == 500


def test_the_expected_wait_follows_the_slots_that_all_nodes_share():
    # 100 slots free 500 times a second for the 10 requests of each node.
    assert expected_queue_wait_ms(9, nodes=50, slots=100, processing_ms=200) == 1_000


def test_a_node_of_many_expects_no_longer_wait_as_its_own_requests_are_rare():
    few = expected_queue_wait_ms(0, nodes=10, slots=40, processing_ms=200)
    many = expected_queue_wait_ms(0, nodes=200, slots=800, processing_ms=200)
    assert few == many == 50


def test_without_any_upstream_that_works_a_request_may_wait_for_one():
    assert admit(expected_queue_wait_ms(5, 10, slots=0, processing_ms=200), 400) is None


def test_callers_refused_together_come_back_spread_but_not_too_early():
    times = {spread_retry_after_ms(400, f"r{index}") for index in range(50)}
    assert len(times) > 30
    assert 400 <= min(times) <= max(times) <= 600
