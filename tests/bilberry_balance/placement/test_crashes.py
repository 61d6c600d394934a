"""A request that crashes upstreams is refused, an unrelated one isn't."""

import msgspec

from bilberry_balance.placement.const import (
    CRASH_CONFIRM_MS,
    CRASHES_TO_REFUSE,
    MAX_SHARED_REPORTS,
    SHARED_REPORT_MAX_AGE_MS,
)
from bilberry_balance.placement.crashes import CrashDetector, fingerprint_of

BAD = fingerprint_of("GET", "shop.example", "/a/1", b"")
GOOD = fingerprint_of("GET", "shop.example", "/a/2", b"")


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


def test_a_request_that_other_nodes_answer_in_between_is_not_refused():
    """Identical requests of a caller meet three crashes by chance."""
    nodes = [CrashDetector(f"n{index}") for index in range(3)]

    def exchange(now_ms):
        for sender in nodes:
            for receiver in nodes:
                if receiver is not sender:
                    receiver.merge(sender.reports(now_ms), now_ms)

    for index, node in enumerate(nodes):
        at_ms = index * 3_000
        crash(node, GOOD, f"u{index}", at_ms)
        exchange(at_ms + 500)
        for other in nodes:
            other.on_answer(GOOD, at_ms + 600)
        exchange(at_ms + 900)
    assert all(node.find_quarantine(GOOD, 10_000) is None for node in nodes)


def test_a_clearance_reaches_nodes_that_saw_no_answer():
    one, other = CrashDetector("n1"), CrashDetector("n2")
    crash(one, GOOD, "u0", 0)
    crash(one, GOOD, "u1", 3_000)
    other.merge(one.reports(3_200), 3_200)
    other.on_answer(GOOD, 3_300)
    one.merge(other.reports(3_400), 3_400)
    crash(one, GOOD, "u2", 5_000)
    assert one.find_quarantine(GOOD, 6_000) is None


def test_old_crash_reports_bring_no_suspicion_back():
    one, other = CrashDetector("n1"), CrashDetector("n2")
    crash(one, GOOD, "u0", 0)
    old = one.reports(200)
    other.merge(old, 200)
    other.on_answer(GOOD, 300)
    other.merge([one_report_later(report, 300) for report in old], 500)
    assert not other.table.suspects
    crash(one, GOOD, "u1", 4_000)
    other.merge(one.reports(4_200), 4_200)
    assert len(other.table.suspects) == 1


def one_report_later(report, later_ms):
    crashes = tuple(
        msgspec.structs.replace(crash, ago_ms=crash.ago_ms + later_ms)
        for crash in report.crashes
    )
    return msgspec.structs.replace(report, crashes=crashes)


def test_a_request_that_is_never_answered_stays_suspected_everywhere():
    nodes = [CrashDetector(f"n{index}") for index in range(3)]
    for index, node in enumerate(nodes):
        crash(node, BAD, f"u{index}", index * 3_000)
        for other in nodes:
            if other is not node:
                other.merge(node.reports(index * 3_000 + 200), index * 3_000 + 200)
    assert all(node.find_quarantine(BAD, 8_000) is not None for node in nodes)
