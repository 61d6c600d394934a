"""Run one upstream as a process; tell its runs on standard output.

Orders come as JSON lines on standard input, one for each kind of fault.
"""

import random
import sys

import gevent
import msgspec
from gevent.fileobject import FileObjectThread

from bilberry_core.clock import SystemClock
from bilberry_core.const import MS_PER_SECOND
from bilberry_platform.const import HEADER_NAMES
from bilberry_router.http.connection import ConnectionLostError
from bilberry_testing.machines.upstream import ServedRequest, UpstreamServer

from .messages import (
    FaultOrder,
    LimitOrder,
    RunLine,
    UpstreamFault,
    UpstreamOptions,
)

BREAK_DELAY_MS = 5_000


class UpstreamProgram:
    """Serve requests, with faults on a fraction of the answers."""

    def __init__(self, options: UpstreamOptions) -> None:
        self.clock = SystemClock()
        self.rng = random.Random(options.name)
        self.order = FaultOrder(UpstreamFault.NONE)
        self.earlier: ServedRequest | None = None
        self.server = UpstreamServer(
            options.name,
            HEADER_NAMES,
            self.clock,
            options.slots,
            options.work_ms,
            queue_limit=options.slots,
        )
        self.server.on_run = self.tell
        self.server.faults.build_leading_bytes = self.leading_bytes
        self.server.faults.build_trailing_bytes = self.trailing_bytes

    def run(self) -> None:
        """Serve until standard input ends."""
        self.server.start()
        sys.stdout.write(self.server.address + "\n")
        sys.stdout.flush()
        for line in FileObjectThread(sys.stdin.buffer):
            self.obey(msgspec.json.decode(line, type=FaultOrder | LimitOrder))
        self.server.close()

    def obey(self, order: FaultOrder | LimitOrder) -> None:
        """Name a limit from now on, or replace the present fault."""
        if isinstance(order, LimitOrder):
            limit = f"{HEADER_NAMES.rate_limit}: {order.per_s}"
            self.server.faults.extra_headers = [limit]
        else:
            self.order = order

    def tell(self, served: ServedRequest) -> None:
        """Write a line for a request that begins to run.

        Raise ConnectionLostError to break off one that has time for another
        attempt.
        """
        if self._is_hit(UpstreamFault.LOST):
            self.server.faults.script.append(None)
        line = RunLine(
            served.request_id,
            served.method,
            served.target,
            self.clock.now_ms(),
        )
        sys.stdout.buffer.write(msgspec.json.encode(line) + b"\n")
        sys.stdout.flush()
        has_time = served.timeout_ms > BREAK_DELAY_MS
        if has_time and self._is_hit(UpstreamFault.LATE_BREAK):
            gevent.sleep(BREAK_DELAY_MS / MS_PER_SECOND)
            raise ConnectionLostError

    def leading_bytes(self, served: ServedRequest) -> bytes:
        """Return what comes before an answer: an earlier one, once more."""
        earlier, self.earlier = self.earlier, served
        if earlier is not None and self._is_hit(UpstreamFault.LATE_COPY):
            return self.server.build_answer(earlier)
        if self._is_hit(UpstreamFault.OLD_REFUSAL):
            refusal = f"HTTP/1.1 503 Busy\r\n{HEADER_NAMES.not_run}: 1\r\n"
            return f"{refusal}Content-Length: 0\r\n\r\n".encode()
        return b""

    def trailing_bytes(self, served: ServedRequest) -> bytes:
        """Return what comes after an answer: the same one, once more."""
        if self._is_hit(UpstreamFault.SECOND_COPY):
            return self.server.build_answer(served)
        return b""

    def _is_hit(self, fault: UpstreamFault) -> bool:
        return self.order.fault is fault and self.rng.random() < self.order.fraction


def main() -> int:
    """Run the upstream described by the first argument."""
    options = msgspec.json.decode(sys.argv[1].encode(), type=UpstreamOptions)
    gevent.spawn(UpstreamProgram(options).run).join()
    return 0


if __name__ == "__main__":
    sys.exit(main())
