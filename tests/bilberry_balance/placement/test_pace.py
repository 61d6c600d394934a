"""What machines tell of their pace counts at once, once, and not for long."""

import pytest

from bilberry_balance.placement.const import MAX_PACE, MIN_PACE, PACE_FADE_MS
from bilberry_balance.placement.processing_times import ProcessingTimes, Warmth
from bilberry_balance.placement.upstream import Upstream

from .common import SelectorPool, requirements, spec

NOW_MS = 10_000
TARGET_MS = 600


def report(upstream, pace, now_ms=NOW_MS):
    upstream.on_report(running=0, waiting=0, pace=pace, now_ms=now_ms)


def observe(upstream, times, took_ms, sent_pace, now_ms=NOW_MS):
    """Record an answer as a node does; return its ratio."""
    paces = (sent_pace, upstream.pace.at(now_ms))
    ratio = times.observe(Warmth.KNOWN, took_ms, paces=paces)
    upstream.on_processing_time(ratio, now_ms)
    return ratio


def test_a_request_avoids_a_machine_that_tells_that_it_is_slow():
    pool = SelectorPool(spec("u0"), spec("u1"))
    first = pool.name_of(requirements(key=""))
    report(pool[first], 2.5)
    assert pool.name_of(requirements(key="")) != first


def test_a_request_returns_at_once_to_a_machine_that_tells_its_usual_pace():
    pool = SelectorPool(spec("u0"), spec("u1"))
    first = pool.name_of(requirements(key=""))
    report(pool[first], 2.5)
    report(pool[first], 1.0, NOW_MS + 1)
    assert pool.name_of(requirements(key=""), now_ms=NOW_MS + 1) == first


def test_a_told_pace_fades_while_nothing_is_told():
    """Guards against avoiding a machine long after its slow spell."""
    upstream = Upstream(spec("u0"))
    report(upstream, 2.5)
    steps = range(0, PACE_FADE_MS + 1, 100)
    factors = [upstream.time_factor(NOW_MS + step) for step in steps]
    assert factors[0] == 2.5
    assert factors == sorted(factors, reverse=True)
    assert factors[-1] == 1.0
    assert upstream.time_factor(NOW_MS + 10**9) == 1.0


@pytest.mark.parametrize(
    ("told", "used"), [(0.0, 1.0), (0.01, MIN_PACE), (10_000.0, MAX_PACE), (1.0, 1.0)]
)
def test_a_wrong_figure_is_bounded(told, used):
    """Guards against a figure that draws or repels all requests."""
    upstream = Upstream(spec("u0"))
    report(upstream, told)
    assert upstream.time_factor(NOW_MS) == used


@pytest.mark.parametrize("told", [0.0, 10_000.0])
def test_a_service_whose_machines_all_tell_a_wrong_figure_is_served(told):
    pool = SelectorPool(spec("u0"), spec("u1"))
    for name in ("u0", "u1"):
        report(pool[name], told)
    assert pool.name_of(requirements("k1")) in ("u0", "u1")


def test_told_slowness_is_not_measured_once_more():
    """Guards against a machine that counts as slow after it has recovered."""
    upstream = Upstream(spec("u0"))
    times = ProcessingTimes.from_target(TARGET_MS)
    usual_ms = times.expected_ms(Warmth.KNOWN)
    for step in range(10):
        report(upstream, 2.5, NOW_MS + step)
        observe(upstream, times, 2.5 * usual_ms, 2.5, NOW_MS + step)
    assert not upstream.is_slow(NOW_MS + 9)
    assert upstream.time_factor(NOW_MS + 9) == 2.5
    report(upstream, 1.0, NOW_MS + 10)
    assert upstream.time_factor(NOW_MS + 10) == 1.0


def test_measured_slowness_and_a_told_pace_do_not_multiply():
    """A peer's report may be due to the pace that is told here."""
    upstream = Upstream(spec("u0"))
    upstream.on_slow_report(2.4, NOW_MS)
    report(upstream, 2.5)
    assert upstream.time_factor(NOW_MS) == 2.5
    report(upstream, 1.0)
    assert upstream.time_factor(NOW_MS) == pytest.approx(2.4)


def test_a_machine_slower_than_it_tells_counts_as_slow():
    """Guards against trusting a figure that hides an upstream's fault."""
    upstream = Upstream(spec("u0"))
    times = ProcessingTimes.from_target(TARGET_MS)
    usual_ms = times.expected_ms(Warmth.KNOWN)
    report(upstream, 2.0)
    assert observe(upstream, times, 12.0 * usual_ms, 2.0) == pytest.approx(6.0)
    assert upstream.is_slow(NOW_MS)


@pytest.mark.parametrize(
    ("sent", "answered", "actual"),
    [
        (2.5, 2.5, 2.5),
        (1.0, 2.5, 2.5),
        (1.0, 2.5, 1.0),
        (2.5, 1.0, 2.5),
        (2.5, 1.0, 1.0),
        (0.8, 1.0, 0.8),
    ],
)
def test_a_pace_is_never_learnt_as_the_time_of_the_route(sent, answered, actual):
    """The machine may change before, while or after a request runs."""
    upstream = Upstream(spec("u0"))
    times = ProcessingTimes.from_target(TARGET_MS)
    usual_ms = times.expected_ms(Warmth.KNOWN)
    report(upstream, answered)
    for _ in range(30):
        observe(upstream, times, actual * usual_ms, sent)
    assert times.expected_ms(Warmth.KNOWN) == pytest.approx(usual_ms)
    assert upstream.slow_factor(NOW_MS) == 1.0


def test_the_time_of_a_route_is_still_learnt_at_a_slow_machine():
    """Guards against a route whose time stays at its first guess."""
    upstream = Upstream(spec("u0"))
    times = ProcessingTimes.from_target(TARGET_MS)
    report(upstream, 2.0)
    for _ in range(200):
        observe(upstream, times, 2.0 * 90.0, 2.0)
    assert times.expected_ms(Warmth.KNOWN) == pytest.approx(90.0, rel=0.02)


def test_without_a_told_pace_times_are_learnt_as_before():
    one = ProcessingTimes.from_target(TARGET_MS)
    other = ProcessingTimes.from_target(TARGET_MS)
    for took_ms in (80.0, 700.0, 0.0, 310.5):
        told = one.observe(Warmth.KNOWN, took_ms, paces=(1.0, 1.0))
        assert told == other.observe(Warmth.KNOWN, took_ms)
    assert one == other


def test_a_selection_tells_the_pace_that_its_expected_time_includes():
    pool = SelectorPool(spec("u0"))
    usual_ms = pool.select(requirements("k1")).expected_ms
    report(pool["u0"], 2.0)
    selection = pool.select(requirements("k1"))
    assert selection.pace == 2.0
    assert selection.expected_ms == pytest.approx(2.0 * usual_ms)
