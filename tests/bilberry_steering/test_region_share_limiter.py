"""Test that the share of requests that change region stays limited."""

import random

from bilberry_steering.region_share_limiter import RegionShareLimiter

MAX_SHARE = 0.15
SPAN_MS = 2_000
REGIONS = ["far", "home"]


def largest_move(sent):
    """Return the largest share that moves from one 2 s window to the next."""
    largest = 0.0
    for middle_ms in range(SPAN_MS, sent[-1][0] - SPAN_MS, 100):
        before = [r for t, r in sent if middle_ms - SPAN_MS <= t < middle_ms]
        after = [r for t, r in sent if middle_ms <= t < middle_ms + SPAN_MS]
        share = abs(before.count("far") / len(before) - after.count("far") / len(after))
        largest = max(largest, share)
    return largest


def send_requests(
    preferred_region, per_s=100, for_ms=20_000, nodes=3, max_share=MAX_SHARE
):
    """Send requests through several nodes and return the regions they get.

    `preferred_region` returns the preferred region at a time.
    """
    rng = random.Random(7)
    limiters = [RegionShareLimiter(max_share) for _ in range(nodes)]
    for limiter in limiters:
        limiter.set_initial_shares({preferred_region(0): 1.0}, 0)
    sent = []
    for now_ms in range(0, for_ms, 1_000 // per_s):
        limiter = rng.choice(limiters)
        preferred = preferred_region(now_ms)
        region = limiter.pick_region(
            sorted(REGIONS, key=lambda r: r != preferred), now_ms
        )
        assert region is not None
        limiter.record_sent(region, now_ms)
        sent.append((now_ms, region))
    return sent


def test_a_region_short_at_once_spills_within_the_bound():
    preferred_region = {True: "far", False: "home"}
    sent = send_requests(lambda now_ms: preferred_region[now_ms > 6_000], for_ms=40_000)
    assert largest_move(sent) <= MAX_SHARE
    assert sent[-1][1] == "far"


def test_without_the_limiter_the_same_load_breaks_the_bound():
    sent = send_requests(
        lambda now_ms: "far" if now_ms > 6_000 else "home", max_share=10.0
    )
    assert largest_move(sent) > MAX_SHARE


def test_the_way_back_is_bounded_too():
    sent = send_requests(lambda now_ms: "home" if now_ms > 6_000 else "far")
    assert largest_move(sent) <= MAX_SHARE


def test_the_loss_of_an_upstream_lifts_the_bound_for_a_while():
    limiter = RegionShareLimiter(MAX_SHARE)
    limiter.set_initial_shares({"home": 1.0}, 0)
    for now_ms in range(0, 4_000, 20):
        limiter.pick_region(["home"], now_ms)
        limiter.record_sent("home", now_ms)
    assert count_far(limiter, 4_000) <= 5
    limiter.relax_limit(4_500)
    assert count_far(limiter, 4_500) == 20


def test_a_region_without_credit_is_refused_even_if_it_alone_has_room():
    limiter = RegionShareLimiter(MAX_SHARE)
    limiter.set_initial_shares({"home": 1.0}, 0)
    for now_ms in range(0, 4_000, 20):
        limiter.pick_region(["home"], now_ms)
        limiter.record_sent("home", now_ms)
    picked = []
    for now_ms in range(4_000, 4_400, 20):
        region = limiter.pick_region(["far"], now_ms)
        if region:
            limiter.record_sent(region, now_ms)
        picked.append(region)
    assert None in picked


def count_far(limiter, start_ms):
    """Return how many of 20 requests that prefer the far region go there."""
    far = 0
    for now_ms in range(start_ms, start_ms + 400, 20):
        region = limiter.pick_region(["far", "home"], now_ms)
        limiter.record_sent(region, now_ms)
        far += region == "far"
    return far


def test_the_share_of_a_region_without_upstreams_moves_at_once():
    limiter = RegionShareLimiter(MAX_SHARE)
    limiter.set_initial_shares({"home": 0.5, "far": 0.3, "third": 0.2}, 0)
    limiter.set_open_regions({"far", "third"})
    assert limiter.shares == {"far": 0.6, "third": 0.4}
    for now_ms in range(0, 1_000, 10):
        region = limiter.pick_region(["far", "third"], now_ms)
        assert region is not None
        limiter.record_sent(region, now_ms)


def test_all_requests_go_to_the_only_region_that_is_left():
    limiter = RegionShareLimiter(MAX_SHARE)
    limiter.set_initial_shares({"home": 1.0}, 0)
    limiter.set_open_regions({"far"})
    for now_ms in range(0, 1_000, 10):
        assert limiter.pick_region(["far"], now_ms) == "far"
        limiter.record_sent("far", now_ms)


def test_open_regions_change_nothing_while_each_has_upstreams():
    limiter = RegionShareLimiter(MAX_SHARE)
    limiter.set_initial_shares({"home": 0.5, "far": 0.5}, 0)
    limiter.set_open_regions({"home", "far", "third"})
    assert limiter.shares == {"home": 0.5, "far": 0.5}
    limiter.set_open_regions(set())
    assert limiter.shares == {"home": 0.5, "far": 0.5}
