"""An upstream's odd headers cost no caller its answer, and flood no log."""

from types import SimpleNamespace

import pytest

from bilberry_router.entry.liveness import Liveness
from bilberry_router.entry.log_throttle import LogThrottle
from bilberry_router.entry.metrics import add_requests
from bilberry_router.entry.upstream_headers import read_load
from bilberry_router.http.response_parser import ResponseParser
from bilberry_router.metric_set import MetricSet

from .common import NAMES, Rig

ODD_LOADS = [
    "",
    "1,2",
    "1,2,",
    "1,2,3,",
    "1,2,3,x",
    "1,2,3,-4",
    "1,2,3,4.5",
    "1,2,3;4",
    "-1,0,4",
    "\xb2,0,4",
    "9" * 5_000 + ",0,4",
    "1,2,3," + "9" * 5_000,
    "a,b,c",
]


def parse_load(text):
    """Return what is read of an answer with a load header."""
    parser = ResponseParser("GET")
    head = f"HTTP/1.1 200 OK\r\n{NAMES.load}: {text}\r\nContent-Length: 0\r\n\r\n"
    parser.feed(head.encode("latin-1"))
    return read_load(parser, NAMES)


@pytest.mark.parametrize("text", ODD_LOADS)
def test_an_odd_load_report_is_ignored(text, caplog):
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.load = text
        assert rig.ask("/read/x").status == 200
        assert rig.state.upstreams.by_name["u0"].report_age_ms(10**12) == -1
    assert any("Invalid header of upstream u0" in line for line in caplog.messages)


@pytest.mark.parametrize(
    ("text", "pace"),
    [
        ("1,2,3", 1.0),
        (" 1 , 2 , 3 ", 1.0),
        ("1,2,3,100", 1.0),
        ("1,2,3,250", 2.5),
        ("1,2,3,0", 0.0),
        ("1, 2, 3, 80 , 7", 0.8),
        ("1,2,3,100,anything,at all", 1.0),
    ],
)
def test_a_report_of_three_figures_or_more_is_read(text, pace):
    """Guards against dropping the reports of services that tell a fourth."""
    load = parse_load(text).unwrap()
    assert (load.running, load.waiting, load.slots, load.pace) == (1, 2, 3, pace)


def test_the_pace_in_an_answer_is_used_and_nothing_is_logged(caplog):
    """Guards against a warning for each answer with a fourth figure."""
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.pace_percent = 250
        assert rig.ask("/read/x").status == 200
        upstream = rig.state.upstreams.by_name["u0"]
        assert upstream.pace.reported == 2.5
        assert not rig.state.counts.unreadable_headers
    assert not [line for line in caplog.messages if "Invalid header" in line]


def test_the_load_in_a_health_answer_is_used():
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.load = "3,1,4,250"
        upstream = rig.state.upstreams.by_name["u0"]
        connection = rig.forwarder.crash_evidence._health_connection(upstream)
        assert connection.connect()
        assert connection.ask() is Liveness.ALIVE
        connection.close()
        assert upstream.reported_peer_load == 4
        assert upstream.pace.reported == 2.5


def test_the_health_answer_of_another_incarnation_tells_no_load():
    """Guards against the load of what replaced an upstream at its address."""
    with Rig(count=1) as rig:
        rig.upstreams[0].name = "u0-next"
        upstream = rig.state.upstreams.by_name["u0"]
        connection = rig.forwarder.crash_evidence._health_connection(upstream)
        assert connection.connect()
        assert connection.ask() is Liveness.REPLACED
        connection.close()
        assert upstream.report_age_ms(10**12) == -1


def test_unreadable_headers_are_all_counted_and_rarely_logged(caplog):
    """Guards against a line for each answer: 17,217 were written in a day."""
    with Rig(count=2) as rig:
        for upstream in rig.upstreams:
            upstream.faults.load = "none"
            upstream.faults.extra_headers = [f"{NAMES.rate_limit}: {'x' * 3_000}"]
        for number in range(20):
            assert rig.ask(f"/read/{number}", request_id=f"r{number}").status == 200
        counts = rig.state.counts.unreadable_headers
        assert counts == {NAMES.load: 20, NAMES.rate_limit: 20}
        metrics = MetricSet()
        add_requests(SimpleNamespace(state=rig.state), metrics)
        text = metrics.render().content.decode()
    name = "bilberry_entry_unreadable_headers_total"
    assert f'{name}{{header="{NAMES.load}"}} 20\n' in text
    lines = [line for line in caplog.messages if "Invalid header" in line]
    assert len(lines) == 2
    assert max(map(len, lines)) < 300


def test_a_line_tells_how_many_were_left_out_of_its_kind():
    throttle = LogThrottle(interval_ms=1_000)
    assert throttle.admit("load", 5_000) == 0
    assert [throttle.admit("load", 5_000 + step) for step in (1, 999)] == [None, None]
    assert throttle.admit("limit", 5_500) == 0
    assert throttle.admit("load", 6_000) == 2
    assert throttle.admit("load", 7_000) == 0
