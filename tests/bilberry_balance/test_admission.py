import pytest

from bilberry_balance.admission import (
    AdmissionQueue,
    Admit,
    Admitted,
    Dropped,
    QueuePriority,
    Shed,
    Wait,
)


def full_queue(max_length=10):
    queue = AdmissionQueue(max_running=1, max_length=max_length, expected_latency_ms=10)
    assert isinstance(queue.offer(QueuePriority.NORMAL, 1_000, 0), Admit)
    return queue


def test_high_priority_goes_first_and_then_the_earliest_deadline():
    queue = full_queue()
    late = queue.offer(QueuePriority.NORMAL, 900, 0)
    soon = queue.offer(QueuePriority.NORMAL, 500, 0)
    high = queue.offer(QueuePriority.HIGH, 990, 0)
    order = [queue.release(10, 10 * i)[0].ticket for i in range(3)]
    assert order == [high.ticket, soon.ticket, late.ticket]


def test_a_request_that_cannot_be_in_time_is_shed_at_once():
    queue = full_queue()
    assert isinstance(queue.offer(QueuePriority.NORMAL, 15, 0), Shed)
    assert isinstance(queue.offer(QueuePriority.NORMAL, 40, 0), Wait)


def test_a_full_queue_drops_its_last_for_a_high_priority_request():
    queue = full_queue(max_length=2)
    first = queue.offer(QueuePriority.NORMAL, 500, 0)
    last = queue.offer(QueuePriority.NORMAL, 900, 0)
    assert isinstance(queue.offer(QueuePriority.NORMAL, 950, 0), Shed)
    assert isinstance(queue.offer(QueuePriority.HIGH, 950, 0), Wait)
    dropped = queue.expire(0)
    assert [e.ticket for e in dropped] == [last.ticket]
    assert isinstance(dropped[0], Dropped)
    assert queue.cancel(first.ticket)


def test_deadlines_that_pass_in_the_queue_are_reported():
    queue = full_queue()
    waiting = queue.offer(QueuePriority.NORMAL, 100, 0)
    assert queue.next_deadline_ms() == 100
    assert [e.ticket for e in queue.expire(100)] == [waiting.ticket]
    assert queue.release(10, 101) == []
    assert not queue.cancel(waiting.ticket)


def test_the_limit_shrinks_under_overload_and_recovers():
    queue = AdmissionQueue(max_running=10, expected_latency_ms=10)
    for now_ms in range(0, 5_000, 100):
        queue.offer(QueuePriority.NORMAL, now_ms + 9_000, now_ms)
        queue.release(None, now_ms, overloaded=True)
    assert queue.limit.concurrency < 10
    for now_ms in range(5_000, 30_000, 100):
        queue.offer(QueuePriority.NORMAL, now_ms + 9_000, now_ms)
        queue.release(10, now_ms)
    assert queue.limit.concurrency == 10


@pytest.mark.parametrize("waiting", [1, 5, 50])
def test_every_waiting_request_ends_once(waiting):
    queue = full_queue(max_length=100)
    tickets = {
        queue.offer(QueuePriority.NORMAL, 10_000, 0).ticket for _ in range(waiting)
    }
    ended = []
    for now_ms in range(waiting):
        ended += queue.release(5, now_ms)
    assert {e.ticket for e in ended if isinstance(e, Admitted)} == tickets
    assert len(ended) == waiting


def test_a_burst_may_wait_but_a_standing_queue_may_not():
    queue = full_queue(max_length=100)
    for _ in range(50):
        assert isinstance(queue.offer(QueuePriority.NORMAL, 10_000, 0), Wait)
    assert isinstance(queue.offer(QueuePriority.NORMAL, 10_400, 400), Wait)
    assert isinstance(queue.offer(QueuePriority.NORMAL, 10_500, 500), Shed)
    assert isinstance(queue.offer(QueuePriority.HIGH, 10_500, 500), Wait)
