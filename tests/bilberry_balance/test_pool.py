from bilberry_balance.endpoint import (
    AttemptOutcome,
    EndpointShare,
    HealthState,
)
from bilberry_balance.pool import Pool


def shares(count=3, slots=4, share=2):
    return [
        EndpointShare(f"u{i}", slots, 360, share, connection_share=36)
        for i in range(count)
    ]


def make_pool(**sizes):
    pool = Pool("quota", seed=1)
    pool.update(shares(**sizes), 0)
    return pool


def fill(pool, now_ms=0):
    picked = []
    while (pick := pool.pick(now_ms)) is not None:
        pool.on_request_started(pick.endpoint, now_ms)
        picked.append(pick.endpoint)
    return picked


def test_a_node_stays_within_its_slots_and_then_waits():
    pool = make_pool()
    assert sorted(fill(pool)) == ["u0", "u0", "u1", "u1", "u2", "u2"]
    assert pool.free_slots(0) == 0
    pick = pool.pick(0, may_wait=False)
    assert pick is not None
    assert not pick.within_share


def test_a_draining_endpoint_gets_nothing_and_keeps_its_requests():
    pool = make_pool()
    fill(pool)
    pool.set_draining("u0")
    pool.on_request_finished("u0", 5, AttemptOutcome.ANSWERED, 5)
    assert pool.pick(5) is None
    pool.update(shares()[1:], 6)
    pool.on_request_finished("u0", 5, AttemptOutcome.ANSWERED, 7)
    assert "u0" not in pool.retired


def test_a_warmed_endpoint_is_filled_slowly():
    pool = make_pool(count=1, slots=100, share=10)
    pool.on_health("u0", HealthState.WARMING, 0)
    assert len(fill(pool)) == 1
    pool.on_health("u0", HealthState.READY, 0)
    assert len(fill(pool, 5_000)) == 4
    assert len(fill(pool, 10_000)) == 5


def test_ejection_never_empties_a_pool():
    pool = make_pool(count=3)
    for now_ms in range(100):
        pick = pool.pick(now_ms)
        assert pick is not None
        pool.on_request_started(pick.endpoint, now_ms)
        pool.on_request_finished(pick.endpoint, 1, AttemptOutcome.FAILED, now_ms)
    ejected = [e for e in pool.endpoints.values() if e.ejected_until_ms > 100]
    assert len(ejected) == 1


def test_excluded_endpoints_are_not_tried_again():
    pool = make_pool(count=2)
    assert pool.pick(0, exclude=frozenset({"u0"})).endpoint == "u1"
    assert pool.pick(0, exclude=frozenset({"u0", "u1"}), may_wait=False) is None


def test_connections_are_a_hard_bound_of_the_share():
    pool = Pool("random", seed=1)
    pool.update([EndpointShare("u0", 9, 20, 1, connection_share=2)], 0)
    assert fill(pool) == ["u0", "u0"]


def test_the_default_uses_its_slots_first_and_then_others():
    pool = Pool(seed=1)
    pool.update(
        [
            EndpointShare("mine", 4, 360, slot_share=2, connection_share=36),
            EndpointShare("theirs", 4, 360, slot_share=0, connection_share=36),
        ],
        0,
    )
    picked = []
    for _ in range(4):
        pick = pool.pick(0)
        pool.on_request_started(pick.endpoint, 0)
        picked.append((pick.endpoint, pick.within_share))
    assert picked[:2] == [("mine", True)] * 2
    assert picked[2:] == [("theirs", False)] * 2


def test_a_slow_endpoint_is_used_last_and_tried_again():
    pool = Pool(seed=1)
    pool.update(shares(count=3, slots=4, share=2), 0)
    for name, latency_ms in (("u0", 400), ("u1", 100), ("u2", 100)):
        for _ in range(10):
            pool.on_request_started(name, 0)
            pool.on_request_finished(name, latency_ms, AttemptOutcome.ANSWERED, 0)
    assert "u0" not in fill_some(pool, 4, 100)
    assert "u0" in fill_some(pool, 8, 20_000)


def fill_some(pool, count, now_ms):
    picked = []
    for _ in range(count):
        picked.append(pool.pick(now_ms).endpoint)
        pool.on_request_started(picked[-1], now_ms)
    return picked
