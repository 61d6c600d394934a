"""Retries stay within their limit in each window, and use it in bursts."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberry_balance.retry_window import RetryWindow

WINDOW_MS = 10_000
FRACTION = 0.2
USED_FRACTION = 0.15
NODES = 40
SLACK = 100


def test_a_burst_of_failures_within_the_limit_is_retried_at_once():
    """A token bucket would grant its burst only."""
    window = RetryWindow(FRACTION, 1.0, WINDOW_MS)
    for now_ms in range(0, WINDOW_MS, 100):
        window.on_request(now_ms)
    granted = sum(window.try_take(WINDOW_MS - 1) for _ in range(100))
    assert granted == int(FRACTION * 100 + 1.0)


def test_retries_count_until_they_have_left_the_window():
    window = RetryWindow(0.0, 1.0, WINDOW_MS)
    assert window.try_take(0)
    assert not window.try_take(WINDOW_MS)
    assert window.try_take(2 * WINDOW_MS)


def test_requests_that_have_left_the_window_grant_nothing():
    window = RetryWindow(FRACTION, 0.0, WINDOW_MS)
    for _ in range(50):
        window.on_request(0)
    assert window.has_retry(WINDOW_MS - 1)
    assert not window.has_retry(WINDOW_MS + 1)


EVENTS = st.lists(
    st.tuples(st.integers(0, 4_000), st.integers(0, 5), st.integers(0, 5)), max_size=60
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(EVENTS)
def test_no_window_holds_more_retries_than_its_requests_allow(events):
    window = RetryWindow(FRACTION, 2.0, WINDOW_MS)
    requests, retries, now_ms = [], [], 0
    for pause_ms, request_count, failure_count in events:
        now_ms += pause_ms
        for _ in range(request_count):
            window.on_request(now_ms)
            requests.append(now_ms)
        retries += [now_ms for _ in range(failure_count) if window.try_take(now_ms)]
    for end_ms in retries:
        since_ms = end_ms - WINDOW_MS
        counted = sum(since_ms <= at_ms <= end_ms for at_ms in requests)
        spent = sum(since_ms <= at_ms <= end_ms for at_ms in retries)
        assert spent <= FRACTION * counted + 2.0


def count(times, since_ms):
    return sum(since_ms <= at_ms < since_ms + WINDOW_MS for at_ms in times)


@pytest.mark.parametrize("seed", range(3))
def test_all_nodes_together_keep_the_limit_through_waves_and_bursts(seed):
    """Each request fails; the limit counts requests as the operator does."""
    rng = random.Random(seed)
    windows = [
        RetryWindow(USED_FRACTION, 0.75 * SLACK / NODES, WINDOW_MS)
        for _ in range(NODES)
    ]
    requests, retries = [], []
    burst_ms = rng.randrange(15_000, 30_000)
    for now_ms in range(0, 50_000, 20):
        rate = 4 * (1 + 0.55 * math.sin(now_ms / 5_730))
        if burst_ms <= now_ms < burst_ms + 8_000:
            rate *= 3
        for _ in range(int(rate + rng.random())):
            window = rng.choice(windows)
            window.on_request(now_ms)
            requests.append(now_ms)
            if window.try_take(now_ms):
                retries.append(now_ms)
    assert len(retries) > 0.1 * len(requests)
    for since_ms in range(0, 40_000, 500):
        starts = (since_ms, since_ms - WINDOW_MS // 2, since_ms - WINDOW_MS)
        counted = max(count(requests, start_ms) for start_ms in starts)
        assert count(retries, since_ms) <= FRACTION * counted + SLACK
