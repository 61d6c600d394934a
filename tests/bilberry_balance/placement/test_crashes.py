"""A request that crashes upstreams is refused, an unrelated one isn't."""

from bilberry_balance.placement.const import (
    CRASH_CONFIRM_MS,
    CRASHES_TO_REFUSE,
    MAX_SHARED_REPORTS,
    SHARED_REPORT_MAX_AGE_MS,
)
from bilberry_balance.placement.crashes import CrashDetector, fingerprint_of

BAD = fingerprint_of("10.0.0.1", "GET", "/a/1", b"")
GOOD = fingerprint_of("10.0.0.2", "GET", "/a/1", b"")


def crash(detector, fingerprint, upstream, at_ms):
    detector.on_answer_lost(fingerprint, upstream, at_ms)
    detector.on_unreachable(upstream, at_ms + 100)


def test_after_three_crashes_the_request_is_refused():
    detector = CrashDetector("n1")
    for index in range(CRASHES_TO_REFUSE):
        assert detector.find_quarantine(BAD, index * 3_000) is None
        crash(detector, BAD, f"u{index}", index * 3_000)
    assert detector.find_quarantine(BAD, 10_000) is not None
    assert detector.find_quarantine(GOOD, 10_000) is None


def test_lost_answers_of_reachable_upstreams_are_not_crashes():
    detector = CrashDetector("n1")
    for index in range(20):
        detector.on_answer_lost(BAD, f"u{index}", index * 100)
    detector.on_unreachable("other", 2_000)
    assert detector.find_quarantine(BAD, 2_000) is None


def test_a_much_later_crash_is_not_attributed_to_the_request():
    detector = CrashDetector("n1")
    for index in range(CRASHES_TO_REFUSE):
        at_ms = index * 10_000
        detector.on_answer_lost(BAD, f"u{index}", at_ms)
        detector.on_unreachable(f"u{index}", at_ms + CRASH_CONFIRM_MS + 1)
    assert detector.find_quarantine(BAD, 30_000) is None


def test_an_answer_clears_an_unrelated_request():
    detector = CrashDetector("n1")
    crash(detector, GOOD, "u0", 0)
    crash(detector, GOOD, "u1", 3_000)
    detector.on_answer(GOOD, 4_000)
    crash(detector, GOOD, "u2", 6_000)
    assert detector.find_quarantine(GOOD, 7_000) is None


def test_crashes_seen_by_different_nodes_add_up():
    nodes = [CrashDetector(f"n{index}") for index in range(CRASHES_TO_REFUSE)]
    for index, detector in enumerate(nodes):
        crash(detector, BAD, f"u{index}", index * 3_000)
        for other in nodes:
            if other is not detector:
                other.merge(detector.reports(index * 3_000 + 200), index * 3_000 + 200)
    assert all(detector.find_quarantine(BAD, 10_000) for detector in nodes)


def test_only_recent_crashes_are_sent_to_peers_and_few_at_once():
    detector = CrashDetector("n1")
    for index in range(3 * MAX_SHARED_REPORTS):
        detector.on_answer_lost(f"f{index}", "u0", 0)
    detector.on_unreachable("u0", 100)
    assert len(detector.reports(200)) == MAX_SHARED_REPORTS
    assert detector.reports(SHARED_REPORT_MAX_AGE_MS + 1) == []
