"""Test that buckets grant at most their quota in any second."""

from hypothesis import given
from hypothesis import strategies as st

from bilberry_steering.token_bucket import TokenBucket

QUOTAS = st.floats(0.1, 200.0)
GAPS_MS = st.lists(st.sampled_from([0, 1, 3, 40, 700, 9_000]), max_size=400)


@given(QUOTAS, GAPS_MS)
def test_no_second_gives_more_than_the_quota(quota, gaps_ms):
    bucket = TokenBucket(quota, 0)
    now_ms, taken = 0, []
    for gap_ms in gaps_ms:
        now_ms += gap_ms
        if bucket.can_take(1, now_ms):
            bucket.take(1)
            taken.append(now_ms)
    for start_ms in taken:
        within = sum(start_ms <= at < start_ms + 1_000 for at in taken)
        assert within <= quota + 1e-6


@given(st.floats(1.0, 200.0), st.lists(st.integers(0, 3), max_size=30))
def test_no_interval_gives_more_than_the_quota(quota, demands):
    bucket = TokenBucket(quota, 0)
    now_ms = 0
    for factor in demands:
        now_ms += 1_000
        taken = min(factor * quota, bucket.available_in_interval(now_ms, 1_000))
        bucket.take(taken)
        assert taken <= quota + 1e-6


def test_an_interval_after_idle_time_gives_no_more():
    bucket = TokenBucket(10.0, 0)
    assert bucket.available_in_interval(60_000, 1_000) <= 10.0
    assert bucket.available_in_interval(61_000, 1_000) <= 10.0


def test_an_average_only_bucket_keeps_a_small_quota():
    bucket = TokenBucket(0.5, 0, average_only=True)
    taken = 0
    for now_ms in range(0, 100_000, 100):
        if bucket.can_take(1, now_ms):
            bucket.take(1)
            taken += 1
    assert 20 <= taken <= 50
    assert not TokenBucket(0.5, 0).can_take(1, 100_000)
