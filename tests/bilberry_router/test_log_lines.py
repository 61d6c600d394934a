"""Test that logs are limited, count dropped lines and never block."""

import logging
import os

import gevent
import msgspec

from bilberry_router.log_lines import (
    LINE_BURST,
    MAX_LINES_PER_S,
    MAX_QUEUED_LINES,
    LineWriter,
)


def record(message, level=logging.INFO, **extra):
    made = logging.LogRecord("part", level, "", 0, message, None, None)
    for name, value in extra.items():
        setattr(made, name, value)
    return made


def test_lines_are_limited_in_rate():
    writer = LineWriter(fd=1)
    for now_ms in range(10_000):
        writer.emit(record("x", created=now_ms / 1_000))
    granted = 10_000 - writer.dropped
    assert granted <= LINE_BURST + 10 * MAX_LINES_PER_S
    assert len(writer.lines) == min(granted, MAX_QUEUED_LINES)


def test_a_clock_that_steps_back_does_not_silence_the_log():
    writer = LineWriter(fd=1)
    writer.emit(record("before", created=5_000.0))
    writer.emit(record("after", created=2_000.0))
    assert len(writer.lines) == 2
    assert writer.dropped == 0


def test_lines_are_dropped_when_the_reader_stops():
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    writer.start()
    for _ in range(3 * MAX_QUEUED_LINES):
        writer.emit(record("x" * 200, logging.WARNING))
        gevent.sleep(0)
    assert len(writer.lines) <= MAX_QUEUED_LINES
    assert writer.dropped > 0
    writer.task.kill()
    os.close(reading)
    os.close(writing)


def test_lines_are_json_and_name_their_request():
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    writer.start()
    writer.emit(record("entry: Ended.", request_id="r1"))
    writer.dropped = 7
    writer.report_dropped()
    writer.close()
    lines = [
        msgspec.json.decode(line) for line in os.read(reading, 65_536).splitlines()
    ]
    assert lines[0]["request_id"] == "r1"
    assert lines[0]["message"] == "entry: Ended."
    assert lines[1]["message"] == "log: Dropped 7 lines."
    os.close(reading)
    os.close(writing)
