"""A connection stays open for as long as its caller takes its answers."""

import pytest

from bilberry_router.http.const import SLOW_READER_BYTES_PER_S
from bilberry_router.http.delivery import Delivery, DeliveryBounds, DeliveryEnd
from bilberry_router.http.send_queue import SendQueue

BOUNDS = DeliveryBounds(gone_ms=5_000, idle_timeout_ms=15_000)
SHORT = DeliveryBounds(5_000, 15_000, is_memory_short=True)
ANSWER_BYTES = 600_000
LINGER_MS = 500


def waiting(byte_count, in_flight=0):
    return SendQueue(byte_count, byte_count - in_flight)


def sent(byte_count=ANSWER_BYTES):
    delivery = Delivery(0)
    delivery.record_sent(byte_count, 0)
    return delivery


def read_steadily(delivery, bytes_per_s, until_ms, bounds=BOUNDS):
    """Return why a reader of a steady pace is given up, and when."""
    for now_ms in range(0, until_ms, 250):
        left_bytes = max(0, delivery.sent_bytes - bytes_per_s * now_ms // 1_000)
        delivery.update(waiting(left_bytes), now_ms)
        end = delivery.end(bounds, now_ms)
        if end is not None:
            return end, now_ms
    return None, until_ms


@pytest.mark.parametrize("bytes_per_s", [1_500, 5_000, 50_000, 2_000_000])
def test_a_caller_that_reads_all_the_time_is_never_given_up(bytes_per_s):
    """Guard against an answer cut at a time after it was written."""
    assert read_steadily(sent(), bytes_per_s, 500_000) == (None, 500_000)


def test_a_caller_that_reads_a_few_bytes_at_a_time_is_given_up():
    assert read_steadily(sent(), 900, 60_000) == (DeliveryEnd.SLOW, 15_000)


def test_a_slow_caller_is_given_up_after_a_while_if_memory_is_short():
    end = read_steadily(sent(), 50_000, 60_000, SHORT)
    assert end == (DeliveryEnd.MEMORY, 5_000)


@pytest.mark.parametrize(
    ("in_flight", "end", "end_ms"),
    [(1_000, DeliveryEnd.GONE, 5_000), (0, DeliveryEnd.IDLE, 15_000)],
)
def test_a_caller_that_takes_nothing_is_given_up(in_flight, end, end_ms):
    delivery = sent()
    delivery.update(waiting(ANSWER_BYTES, in_flight), end_ms - 1)
    assert delivery.end(BOUNDS, end_ms - 1) is None
    assert delivery.end(BOUNDS, end_ms) is end


def test_the_time_of_an_answer_does_not_count_for_the_next():
    delivery = sent(1_000)
    for now_ms in range(0, 100_000, 10_000):
        delivery.update(SendQueue(), now_ms)
        delivery.record_sent(1_000, now_ms)
        assert delivery.end(BOUNDS, now_ms) is None


def test_idleness_counts_from_the_last_byte_that_was_taken():
    """Guard against a connection that counts as idle while it is read."""
    delivery = sent()
    delivery.update(waiting(1), 14_000)
    assert delivery.idle_left_ms(BOUNDS, 16_000) > 0
    delivery.update(SendQueue(), 16_000)
    assert delivery.idle_left_ms(BOUNDS, 16_000) == 15_000
    assert delivery.idle_left_ms(BOUNDS, 31_000) == 0


def test_the_close_waits_for_what_is_not_taken():
    delivery = sent()
    delivery.update(waiting(1), 4_000)
    assert delivery.linger_left_ms(BOUNDS, LINGER_MS, 4_400) > 0


def test_the_close_waits_for_what_may_be_unread():
    """Guard against a reset while a caller reads what its system holds."""
    delivery = sent()
    delivery.update(SendQueue(), 10)
    reading_ms = ANSWER_BYTES * 1_000 // SLOW_READER_BYTES_PER_S
    assert delivery.linger_left_ms(BOUNDS, LINGER_MS, 10) == reading_ms - 10
    assert delivery.linger_left_ms(BOUNDS, LINGER_MS, reading_ms) == 0


def test_the_close_does_not_wait_for_a_caller_that_took_all_long_ago():
    delivery = sent(100)
    delivery.update(SendQueue(), 10)
    assert delivery.linger_left_ms(BOUNDS, LINGER_MS, 20) == LINGER_MS - 10
    assert delivery.linger_left_ms(BOUNDS, LINGER_MS, 1_000) == 0


def test_the_end_of_the_stream_is_no_byte_of_an_answer():
    assert SendQueue(1, 1).without_end() == SendQueue()
    assert SendQueue(1, 0).without_end() == SendQueue()
    assert SendQueue(3, 3).without_end() == SendQueue(2, 2)
    assert SendQueue().without_end() == SendQueue()
