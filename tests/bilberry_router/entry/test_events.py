"""The log lines of a failed request hold what explains the failure."""

import logging

import gevent
import msgspec

from bilberry_core.log_line import LogLine
from bilberry_router.entry import events
from bilberry_router.entry.const import PROMPT_ANSWERS_PER_SAMPLE
from bilberry_router.entry.events import EVENTS
from bilberry_router.log_lines import JsonFormatter

from .common import Rig, eventually


def lines_of(caplog, request_id):
    formatter = JsonFormatter()
    return [
        msgspec.json.decode(formatter.format(record), type=LogLine)
        for record in caplog.records
        if getattr(record, "request_id", "") == request_id
    ]


def data_of(caplog, request_id):
    return [msgspec.json.decode(line.data) for line in lines_of(caplog, request_id)]


def test_a_refusal_logs_the_availability_of_upstreams(caplog):
    caplog.set_level(logging.INFO)
    with Rig(count=3, slots=1) as rig:
        release = rig.hold()
        busy = [gevent.spawn(rig.ask, "/read/x", request_id=f"b{i}") for i in range(2)]
        eventually(lambda: len(rig.ran) == 2)
        rig.register(rig.upstreams[2], draining=True)
        rig.state.upstreams.by_name["u2"].draining = True
        assert rig.ask("/read/x", request_id="refused").status == 503
        release.set()
        gevent.joinall(busy)
        (ended,) = data_of(caplog, "refused")
    assert ended["event"] == "RequestEnded"
    assert ended["room"] == {
        "known": 3,
        "closed": 1,
        "held_back": 0,
        "full": 2,
        "queued": 0,
    }
    assert (ended["attempts"], ended["upstreams"]) == (0, [])
    assert ended["config_version"] == 1


def test_a_lost_answer_logs_its_upstream_and_the_age_of_its_report(caplog):
    caplog.set_level(logging.INFO)
    with Rig(count=1) as rig:
        rig.ask("/read/x", request_id="first")
        rig.upstreams[0].faults.script = [None]
        assert rig.ask("/book/x", method="POST", request_id="lost").status == 502
        failed, ended = data_of(caplog, "lost")
    assert failed["event"] == "AttemptFailed"
    assert failed["upstream"] == "u0"
    assert failed["point"] == "awaiting_answer"
    assert 0 <= failed["report_age_ms"] < 5_000
    assert failed["retries"] is False
    assert ended["upstreams"] == ["u0"]
    assert ended["room"] is None


def test_a_failed_attempt_logs_whether_it_is_retried(caplog):
    caplog.set_level(logging.INFO)
    with Rig(count=2) as rig:
        for upstream in rig.upstreams:
            upstream.faults.script = [None]
        rig.ask("/read/x", request_id="r")
        attempts = [d for d in data_of(caplog, "r") if d["event"] == "AttemptFailed"]
    assert [attempt["retries"] for attempt in attempts] == [True, False]


def test_only_a_sample_of_prompt_answers_is_logged(caplog):
    caplog.set_level(logging.INFO)
    with Rig(count=1, work_ms=0) as rig:
        client = rig.client()
        for number in range(PROMPT_ANSWERS_PER_SAMPLE):
            client.send("/read/x", request_id=f"p{number}")
            assert client.answer().status == 200
        sampled = [r for r in caplog.records if r.name == events.__name__]
    assert len(sampled) == 1


def test_each_event_is_registered_under_its_tag():
    for name, event in EVENTS.items():
        assert event.__struct_config__.tag == name
        assert event.__doc__
