"""Start, signal and end the processes of a run."""

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import gevent
import msgspec
from gevent import Greenlet
from gevent.subprocess import DEVNULL, PIPE, STDOUT, Popen

from bilberry_platform.const import ENV_SETTINGS

from .messages import FaultOrder, LimitOrder, RunLine, UpstreamOptions

END_TIMEOUT_S = 20
ROOT = Path(__file__).resolve().parent.parent
SOURCE_PATHS = (ROOT, ROOT / "platform" / "src")


def _environment(**extra: str) -> dict[str, str]:
    paths = os.pathsep.join(str(path) for path in SOURCE_PATHS)
    return {**os.environ, "PYTHONPATH": paths, "PYTHONHASHSEED": "0", **extra}


class NodeProcess:
    """Manage one node's process; its output goes to a log file."""

    __slots__ = ("log_path", "popen", "settings_path")

    def __init__(self, settings_path: Path) -> None:
        self.settings_path = settings_path
        self.log_path = settings_path.with_suffix(".log")
        self.popen: Popen | None = None

    @property
    def is_running(self) -> bool:
        """Return whether it was started and hasn't ended."""
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.popen = Popen(
                [sys.executable, "-m", "bilberry_platform"],
                env=_environment(**{ENV_SETTINGS: str(self.settings_path)}),
                stdin=DEVNULL,
                stdout=log,
                stderr=STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it is running."""
        if self.popen is not None and self.is_running:
            self.popen.send_signal(number)

    def wait(self) -> int:
        """Wait for the end; return the exit code."""
        assert self.popen is not None, "the process was started"
        code: int = self.popen.wait(END_TIMEOUT_S)
        return code

    def close(self) -> None:
        """End the process."""
        if self.popen is not None and self.is_running:
            self.popen.kill()
            self.popen.wait()


class UpstreamProcess:
    """Manage one upstream's process, and read what it tells."""

    __slots__ = ("address", "on_run", "options", "popen", "reader")

    def __init__(
        self, options: UpstreamOptions, on_run: Callable[[str, RunLine], None]
    ) -> None:
        self.options = options
        self.on_run = on_run
        self.address = ""
        self.popen: Popen | None = None
        self.reader: Greenlet | None = None

    def start(self) -> None:
        """Start the process, and wait for its address."""
        argument = msgspec.json.encode(self.options).decode()
        self.popen = Popen(
            [sys.executable, "-m", "soak.upstream_process", argument],
            env=_environment(),
            stdin=PIPE,
            stdout=PIPE,
        )
        self.address = self.popen.stdout.readline().decode().strip()
        self.reader = gevent.spawn(self.read)

    def read(self) -> None:
        """Pass on each run that it tells of."""
        assert self.popen is not None
        for line in self.popen.stdout:
            run = msgspec.json.decode(line, type=RunLine)
            self.on_run(self.options.name, run)

    def order(self, order: FaultOrder | LimitOrder) -> None:
        """Order a fault or a limit."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.stdin.write(msgspec.json.encode(order) + b"\n")
            self.popen.stdin.flush()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def close(self) -> None:
        """End the process, once all that it told is read."""
        if self.popen is None:
            return
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()
        if self.reader is not None:
            self.reader.join(timeout=END_TIMEOUT_S)
