"""The log and the metrics tell which upstreams limit the rate of requests."""

import logging

import pytest

from bilberry_balance.placement.upstream import Upstream
from bilberry_core.clock import ManualClock
from bilberry_router.entry import rate_limit_log
from bilberry_router.entry.rate_limit_log import RateLimitLog

from ...bilberry_balance.placement.common import spec
from .common import NAMES, Rig


def messages(caplog, part):
    return [text for text in caplog.messages if part in text]


def test_a_named_and_a_withdrawn_limit_are_logged_and_counted(caplog):
    caplog.set_level(logging.INFO)
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.extra_headers = [f"{NAMES.rate_limit}: 2.5"]
        rig.ask("/read/x")
        assert rig.state.upstreams.by_name["u0"].rate_limit.per_s == 2.5
        assert rig.state.count_rate_limited_upstreams("s") == 1
        rig.upstreams[0].faults.extra_headers = []
        rig.ask("/read/y", request_id="r2")
        assert rig.state.count_rate_limited_upstreams("s") == 0
    assert messages(caplog, "takes 2.5 requests/s of all nodes")
    assert messages(caplog, "has no limit")


@pytest.mark.parametrize("text", ["", "-1", "nan", "1e9", "2,5", "inf", "9" * 400])
def test_an_invalid_limit_is_logged_and_ignored(text, caplog):
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.extra_headers = [f"{NAMES.rate_limit}: {text}"]
        assert rig.ask("/read/x").status == 200
        assert rig.state.upstreams.by_name["u0"].rate_limit.per_s is None
    assert messages(caplog, f"Invalid header of upstream u0: {NAMES.rate_limit}")


def test_first_attempts_and_retries_at_a_limited_upstream_are_counted(caplog):
    caplog.set_level(logging.INFO)
    clock = ManualClock()
    log = RateLimitLog(clock)
    upstream = Upstream(spec("u1"))
    log.record_attempt(upstream, is_retry=False)
    upstream.rate_limit.on_answer(3.0, clock.now_ms())
    log.record_attempt(upstream, is_retry=False)
    log.record_attempt(upstream, is_retry=True)
    assert not messages(caplog, "first attempts")
    clock.advance(rate_limit_log.LOG_INTERVAL_MS)
    log.record_attempt(upstream, is_retry=False)
    (line,) = messages(caplog, "first attempts")
    assert "u1, limit 3.0 requests/s: 2 first attempts and 1 retries" in line
