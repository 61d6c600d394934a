"""Write log records as JSON lines, without ever blocking."""

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

MAX_WAITING_LINES = 1_000
MAX_LINES_PER_S = 100
LINE_BURST = 200
REPORT_MS = 1_000


class JsonFormatter(logging.Formatter):
    """Write each record as one JSON object."""

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
    """Queue formatted lines for a file descriptor; drop what is too much.

    A reader that stops reading costs log lines, never a request. Lines at
    level INFO are bounded by rate; others only by the length of the queue.
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
        """Begin to write."""
        make_nonblocking(self.fd)
        self.task = gevent.spawn(self.run)

    def close(self) -> None:
        """Write what the reader takes at once, then stop."""
        if self.task is not None:
            self.task.kill()
            self.task = None
            self.flush()
        super().close()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record, or count it as dropped."""
        now_ms = int(record.created * MS_PER_SECOND)
        too_many = record.levelno <= logging.INFO and not self.budget.try_acquire(
            now_ms
        )
        if too_many or len(self.lines) >= MAX_WAITING_LINES:
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
        """Write one line, waiting for the reader."""
        while data:
            data = data[nb_write(self.fd, data) :]

    def flush(self) -> None:
        """Write queued lines as far as that doesn't block."""
        while self.lines and self.task is None:
            try:
                os.write(self.fd, self.lines[0])
            except OSError:
                return
            self.lines.popleft()

    def report_dropped(self) -> None:
        """Tell in a line of its own how many lines were dropped."""
        if not self.dropped:
            return
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log: Dropped %s lines.", None, None
        )
        record.args = (self.dropped,)
        self.dropped = 0
        self.lines.append(self.format(record).encode() + b"\n")
