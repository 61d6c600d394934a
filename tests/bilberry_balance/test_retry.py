from bilberry_balance.retry import RetryBudget


def test_a_dead_region_gets_no_more_than_its_fraction_of_retries():
    budget = RetryBudget(fraction=0.1, burst=10, min_retries_per_s=0)
    granted = 0
    for index in range(1_000):
        budget.on_request(index)
        granted += budget.try_take(index)
    assert granted <= 110
    assert granted >= 100


def test_time_earns_a_retry_when_traffic_is_low():
    budget = RetryBudget(fraction=0.1, burst=1, min_retries_per_s=1)
    assert budget.try_take(0)
    assert not budget.try_take(500)
    assert budget.try_take(1_000)
