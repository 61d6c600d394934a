"""Start and stop the processes of the demo."""

import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import IO

BIN = Path(sys.executable).parent
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20


@dataclass(slots=True)
class Process:
    """Manage one process and its log file."""

    name: str
    argv: list[str]
    log_path: Path
    popen: subprocess.Popen[bytes] | None = None
    log: IO[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self.popen is not None, "the process was started"
        return self.popen.pid

    def start(self) -> None:
        """Start the process; its output goes to the log."""
        self.log = self.log_path.open("wb")
        self.popen = subprocess.Popen(
            self.argv, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )

    def output(self) -> str:
        """Return the output of the process so far."""
        return self.log_path.read_text(errors="replace")

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def terminate(self) -> None:
        """Ask the process to shut down."""
        if self.is_running and self.popen is not None:
            self.popen.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code."""
        assert self.popen is not None, "the process was started"
        return self.popen.wait(timeout_s)

    def close(self) -> None:
        """End the process, forcibly if it doesn't shut down."""
        if self.popen is None:
            return
        self.terminate()
        try:
            self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
        if self.log is not None:
            self.log.close()


def stand_in_process(name: str, directory: Path, *arguments: str) -> Process:
    """Return a process, not yet started, of one simulated service."""
    argv = [sys.executable, "-m", "bilberry_testing", *arguments]
    return Process(name, argv, directory / f"{name}.log")


def node_process(name: str, directory: Path, settings: Path) -> Process:
    """Return a process, not yet started, of one node."""
    argv = [str(BIN / "bilberryrouter"), "--settings", str(settings)]
    return Process(name, argv, directory / f"{name}.log")


def run_ctl(server: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run bilberryctl against a node and return its result."""
    argv = [str(BIN / "bilberryctl"), "--server", server, *arguments]
    return subprocess.run(argv, capture_output=True, text=True, timeout=60, check=False)
