"""Log formatter for JSON lines, and a log handler that never blocks."""

import logging
import os
from collections import deque

import gevent
import msgspec
from gevent import Greenlet
from gevent.os import make_nonblocking, nb_write

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.log_line import NO_DATA, NO_ID, LogLine
from bilberry_store.rate_limiter import RateLimiter

MAX_QUEUED_LINES = 1_000
MAX_LINES_PER_S = 100
LINE_BURST = 200
REPORT_MS = 1_000


class JsonFormatter(logging.Formatter):
    """Format each record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON."""
        message = record.getMessage()
        if record.exc_info:
            message = f"{message}\n{self.formatException(record.exc_info)}"
        event = getattr(record, "data", None)
        line = LogLine(
            time=self.formatTime(record),
            level=record.levelname,
            logger=record.name,
            message=message,
            request_id=getattr(record, "request_id", NO_ID),
            data=msgspec.Raw(msgspec.json.encode(event)) if event else NO_DATA,
        )
        return msgspec.json.encode(line).decode()


class LineWriter(logging.Handler):
    """Queue formatted lines for a file descriptor and drop the excess.

    If the reader stops reading, log lines are dropped and no request is
    blocked. Lines up to level INFO are limited in rate; those above it only
    by the length of the queue.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.fd = fd
        self.lines: deque[bytes] = deque()
        self.budget = RateLimiter(MAX_LINES_PER_S, LINE_BURST)
        self.dropped = 0
        self.task: Greenlet | None = None
        self.setFormatter(JsonFormatter())

    def start(self) -> None:
        """Start the greenlet that writes queued lines."""
        make_nonblocking(self.fd)
        self.task = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop, and write the queued lines that fit without blocking."""
        if self.task is not None:
            self.task.kill()
            self.task = None
            self.flush()
        super().close()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record, or count it as dropped."""
        now_ms = int(record.created * MS_PER_SECOND)
        is_over_rate = record.levelno <= logging.INFO and not self.budget.try_acquire(
            now_ms
        )
        if is_over_rate or len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self.lines.append(self.format(record).encode() + b"\n")

    def run(self) -> None:
        """Write queued lines until closed."""
        while True:
            gevent.sleep(REPORT_MS / MS_PER_SECOND / 4)
            self.report_dropped()
            while self.lines:
                self.write_all(self.lines[0])
                self.lines.popleft()

    def write_all(self, data: bytes) -> None:
        """Write one line, waiting until the reader accepts it."""
        while data:
            data = data[nb_write(self.fd, data) :]

    def flush(self) -> None:
        """Write queued lines until a write would block."""
        while self.lines and self.task is None:
            try:
                os.write(self.fd, self.lines[0])
            except OSError:
                return
            self.lines.popleft()

    def report_dropped(self) -> None:
        """Queue a warning with the number of dropped lines, if any."""
        if not self.dropped:
            return
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log: Dropped %s lines.", None, None
        )
        record.args = (self.dropped,)
        self.dropped = 0
        self.lines.append(self.format(record).encode() + b"\n")
