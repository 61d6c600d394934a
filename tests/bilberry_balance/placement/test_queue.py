"""Urgent requests that can be in time go first; hopeless ones are refused."""

from bilberry_balance.placement.admission import StartRate, admit
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


def test_the_expected_wait_follows_the_measured_rate():
    rate = StartRate()
    assert rate.expected_wait_ms(10, 0) == 0
    for now_ms in range(0, 5_000, 100):
        rate.record_start(now_ms)
    assert 900 <= rate.expected_wait_ms(9, 5_000) <= 1_100
