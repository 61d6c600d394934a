"""An upstream that names a Retry-After gets nothing until then."""

import pytest

from .common import NAMES, Rig, eventually

FAR_S = 3_600


def refuse_next(upstream, retry_after):
    upstream.faults.shed_next = 1
    upstream.faults.extra_headers = [f"Retry-After: {retry_after}"]


def test_an_upstream_gets_nothing_until_its_retry_after_has_passed():
    with Rig(count=2) as rig:
        refusing, other = rig.upstreams
        known = rig.state.upstreams.by_name["u0"]
        refuse_next(refusing, "7.5")
        rig.state.upstreams.by_name["u1"].in_flight = 2
        assert rig.ask("/read/x").status == 200
        now_ms = rig.clock.now_ms()
        rig.state.upstreams.by_name["u1"].in_flight = 0
        for index in range(10):
            assert rig.ask(f"/read/{index}", request_id=f"a{index}").status == 200
        assert refusing.served_requests == []
        assert len(other.served_requests) == 11
        assert known.is_blocked(now_ms + 7_000)
        assert not known.is_blocked(now_ms + 7_501)


def test_an_answer_to_an_earlier_request_does_not_end_the_wait():
    with Rig(count=1) as rig:
        known = rig.state.upstreams.by_name["u0"]
        release = rig.hold()
        first = rig.client()
        first.send("/read/x")
        eventually(lambda: rig.ran)
        refuse_next(rig.upstreams[0], FAR_S)
        rig.ask("/short/y", request_id="r2")
        release.set()
        assert first.answer().status == 200
        assert known.is_blocked(rig.clock.now_ms())


def test_a_request_that_no_upstream_wants_in_time_is_refused_at_once():
    with Rig(count=1) as rig:
        refuse_next(rig.upstreams[0], FAR_S)
        rig.ask("/read/x")
        began_ms = rig.clock.now_ms()
        answer = rig.ask("/read/y", request_id="r2")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) >= FAR_S - 10
        assert rig.queued == 0
        assert rig.clock.now_ms() - began_ms < 500
        assert rig.ran == []


@pytest.mark.parametrize("text", ["", "-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"])
def test_an_invalid_retry_after_is_logged_and_ignored(text, caplog):
    with Rig(count=1) as rig:
        refuse_next(rig.upstreams[0], text)
        rig.ask("/read/x")
        assert rig.state.upstreams.by_name["u0"].refuses_until_ms == 0
    assert any(
        "Invalid header of upstream u0: Retry-After" in text for text in caplog.messages
    )


def test_only_a_refusal_names_a_wait():
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.extra_headers = [f"Retry-After: {FAR_S}"]
        assert rig.ask("/read/x").status == 200
        assert rig.state.upstreams.by_name["u0"].refuses_until_ms == 0
        assert NAMES.not_run not in rig.ask("/read/y", request_id="r2").headers
