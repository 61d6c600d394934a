"""Test the retry delays."""

from bilberry_store.backoff import Backoff


def test_delays_grow_to_the_bound_and_reset():
    backoff = Backoff(seed=1, base_ms=100, max_ms=1_000)
    delays = [backoff.next_delay_ms() for _ in range(8)]
    for delay, bound in zip(delays, [100, 200, 400, 800] + [1_000] * 4, strict=True):
        assert bound // 2 <= delay <= bound
    backoff.reset()
    assert backoff.next_delay_ms() <= 100


def test_many_nodes_do_not_retry_together():
    first = [Backoff(seed=i, base_ms=1_000).next_delay_ms() for i in range(880)]
    by_tenth = [sum(1 for p in first if p // 100 == tenth) for tenth in range(5, 10)]
    assert max(by_tenth) < 880 / 5 * 1.3
