"""A request that crashes upstreams is refused, an unrelated one isn't."""

from bilberry_balance.placement.const import (
    CRASH_CONFIRM_MS,
    DEATHS_TO_REFUSE,
    MAX_SHARED_NOTES,
    SHARE_NOTES_MS,
)
from bilberry_balance.placement.crashes import CrashWatch, fingerprint_of

BAD = fingerprint_of("10.0.0.1", "GET", "/a/1", b"")
GOOD = fingerprint_of("10.0.0.2", "GET", "/a/1", b"")


def crash(watch, fingerprint, upstream, at_ms):
    watch.on_lost(fingerprint, upstream, at_ms)
    watch.on_unreachable(upstream, at_ms + 100)


def test_after_three_crashes_the_request_is_refused():
    watch = CrashWatch("n1")
    for index in range(DEATHS_TO_REFUSE):
        assert watch.refuses(BAD, index * 3_000) is None
        crash(watch, BAD, f"u{index}", index * 3_000)
    assert watch.refuses(BAD, 10_000) is not None
    assert watch.refuses(GOOD, 10_000) is None


def test_lost_answers_of_living_upstreams_prove_nothing():
    watch = CrashWatch("n1")
    for index in range(20):
        watch.on_lost(BAD, f"u{index}", index * 100)
    watch.on_unreachable("other", 2_000)
    assert watch.refuses(BAD, 2_000) is None


def test_an_upstream_lost_much_later_is_not_put_down_to_the_request():
    watch = CrashWatch("n1")
    for index in range(DEATHS_TO_REFUSE):
        at_ms = index * 10_000
        watch.on_lost(BAD, f"u{index}", at_ms)
        watch.on_unreachable(f"u{index}", at_ms + CRASH_CONFIRM_MS + 1)
    assert watch.refuses(BAD, 30_000) is None


def test_an_answer_clears_a_request_that_was_only_near():
    watch = CrashWatch("n1")
    crash(watch, GOOD, "u0", 0)
    crash(watch, GOOD, "u1", 3_000)
    watch.on_answer(GOOD, 4_000)
    crash(watch, GOOD, "u2", 6_000)
    assert watch.refuses(GOOD, 7_000) is None


def test_peers_add_up_what_each_of_them_saw():
    nodes = [CrashWatch(f"n{index}") for index in range(DEATHS_TO_REFUSE)]
    for index, watch in enumerate(nodes):
        crash(watch, BAD, f"u{index}", index * 3_000)
        for other in nodes:
            if other is not watch:
                other.merge(watch.notes(index * 3_000 + 200), index * 3_000 + 200)
    assert all(watch.refuses(BAD, 10_000) for watch in nodes)


def test_peers_are_told_only_of_late_deaths_and_few_at_once():
    watch = CrashWatch("n1")
    for index in range(3 * MAX_SHARED_NOTES):
        watch.on_lost(f"f{index}", "u0", 0)
    watch.on_unreachable("u0", 100)
    assert len(watch.notes(200)) == MAX_SHARED_NOTES
    assert watch.notes(SHARE_NOTES_MS + 1) == []
