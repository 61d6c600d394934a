"""Test explain, which finds a request in the logs of several nodes."""

import msgspec
import pytest

from bilberry_core.log_line import LogLine


def log_line(second, message, request_id="", level="INFO", **data):
    record = LogLine(
        f"2026-12-04 10:00:{second:02},250", level, "part", message, request_id
    )
    if data:
        record.data = msgspec.Raw(msgspec.json.encode(data))
    return msgspec.json.encode(record).decode()


@pytest.fixture
def logs(tmp_path):
    def write(**files):
        names = []
        for name, lines in files.items():
            path = tmp_path / f"{name}.log"
            path.write_text("\n".join(lines) + "\n")
            names.append(str(path))
        return names

    return write


def test_lines_of_several_nodes_come_in_the_order_of_their_times(run, logs):
    names = logs(
        n1=[log_line(9, "Ended with 502.", "r1"), log_line(3, "Ended with 200.", "r2")],
        n2=[log_line(7, "Attempt failed.", "r1")],
    )
    assert run("explain", "--request", "r1", *names) == 0
    assert run.out.index("Attempt failed.") < run.out.index("Ended with 502.")
    assert "Ended with 200." not in run.out
    assert "n1" in run.out
    assert "n2" in run.out


def test_log_lines_about_its_upstreams_are_shown(run, logs):
    names = logs(
        n1=[log_line(9, "Ended with 502.", "r1", upstreams=["u7"])],
        n2=[
            log_line(1, "Upstream u7 started."),
            log_line(8, "Upstream u7 is unreachable.", level="WARNING"),
            log_line(8, "Upstream u8 is unreachable."),
            log_line(8, "Attempt at u7 failed.", "r9"),
        ],
    )
    assert run("explain", "--request", "r1", *names) == 0
    assert "Upstream u7 is unreachable." in run.out
    assert "u8" not in run.out
    assert "r9" not in run.out
    assert "started" not in run.out


def test_dropped_lines_are_reported(run, logs):
    names = logs(
        n1=[
            log_line(9, "Ended with 503.", "r1"),
            log_line(10, "log: Dropped 7 lines.", level="WARNING"),
            "no json at all",
        ],
        n2=[log_line(10, "log: Dropped 9 lines.", level="WARNING")],
    )
    assert run("explain", "--request", "r1", *names) == 0
    assert "gap at n1: log: Dropped 7 lines." in run.out
    assert "Dropped 9" not in run.out
    assert "1 lines could not be read" in run.out


def test_a_collectors_prefix_names_the_node(run, logs):
    names = logs(all=["  12.5 front-a-1 " + log_line(9, "Ended with 503.", "r1")])
    assert run("explain", "--request", "r1", *names) == 0
    assert "front-a-1" in run.out


def test_a_request_that_no_line_names_is_a_failure(run, logs):
    names = logs(n1=[log_line(9, "Ended with 503.", "r1")])
    assert run("explain", "--request", "r2", *names) == 1
    assert "no line names request r2" in run.err


def test_a_file_that_can_not_be_read_is_bad_input(run):
    assert run("explain", "--request", "r1", "/no/such/file") == 2
    assert "/no/such/file" in run.err


def test_scripts_get_the_lines_as_json(run, logs):
    names = logs(n1=[log_line(9, "Ended with 503.", "r1", event="RequestEnded")])
    (found,) = run.json("explain", "--request", "r1", *names)
    assert found["data"] == {"event": "RequestEnded"}
