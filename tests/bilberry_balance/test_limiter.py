from bilberry_balance.limiter import AdaptiveConcurrencyLimit


def feed(limit, latency_ms, from_ms, seconds):
    for now_ms in range(from_ms, from_ms + seconds * 1_000, 5):
        limit.on_request_end(latency_ms, False, now_ms)


def test_latency_above_the_baseline_shrinks_to_the_own_slots():
    limit = AdaptiveConcurrencyLimit(minimum=4, maximum=12, baseline_ms=100)
    feed(limit, 300, 0, 20)
    assert limit.concurrency == 4
    feed(limit, 110, 20_000, 20)
    assert limit.concurrency == 12


def test_the_baseline_follows_down_fast_and_up_slowly():
    limit = AdaptiveConcurrencyLimit(minimum=1, maximum=10)
    feed(limit, 200, 0, 2)
    feed(limit, 100, 2_000, 10)
    feed(limit, 400, 12_000, 10)
    assert 100 <= limit.baseline_ms < 120


def test_a_few_slow_answers_prove_no_overload():
    limit = AdaptiveConcurrencyLimit(minimum=1, maximum=10, baseline_ms=100)
    for now_ms in range(0, 10_000, 1_000):
        limit.on_request_end(900, False, now_ms)
    assert limit.concurrency == 10


def test_new_bounds_hold_at_once():
    limit = AdaptiveConcurrencyLimit(minimum=4, maximum=12)
    limit.set_bounds(2, 6)
    assert limit.concurrency == 6
    limit.set_bounds(4, 12)
    assert limit.concurrency == 12


def test_few_slots_tolerate_more_latency_before_overload():
    few = AdaptiveConcurrencyLimit(minimum=3, maximum=9, baseline_ms=100)
    many = AdaptiveConcurrencyLimit(minimum=12, maximum=36, baseline_ms=100)
    feed(few, 200, 0, 5)
    feed(many, 200, 0, 5)
    assert (few.concurrency, many.concurrency) == (9, 12)
