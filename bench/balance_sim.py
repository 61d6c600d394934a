"""Endpoint queues and an event heap on a manual clock; times in ms."""

import heapq
from collections import deque
from collections.abc import Callable
from typing import Any

from .balance_model import (
    CONNECT_MS,
    NODES,
    REPORT_EVERY_MS,
    REPORT_LAG_MS,
    UPSTREAM_ONE_WAY_MS,
    Case,
    Request,
    ServiceSize,
)

QUEUE_PER_SLOT = 4


class Events:
    """Call functions in the order of their times."""

    __slots__ = ("heap", "now_ms", "number")

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self.now_ms = 0.0
        self.number = 0

    def after(self, delay_ms: float, call: Callable[[Any], None], arg: Any) -> None:
        """Call `call(arg)` after `delay_ms`."""
        self.number += 1
        heapq.heappush(self.heap, (self.now_ms + delay_ms, self.number, call, arg))

    def run_all(self) -> None:
        """Call everything until nothing is left."""
        while self.heap:
            self.now_ms, _, call, arg = heapq.heappop(self.heap)
            call(arg)


class Server:
    """Serve requests in as many slots as one endpoint has."""

    __slots__ = ("busy", "idle", "index", "most", "queue", "simulation", "slots")

    def __init__(self, simulation: "Simulation", index: int, slots: int) -> None:
        self.simulation = simulation
        self.index = index
        self.slots = slots
        self.busy = 0
        self.most = 0
        self.queue: deque[tuple[Request, Callable[[Request, bool], None]]] = deque()
        self.idle = [0] * NODES

    def arrive(self, job: tuple[Request, Callable[[Request, bool], None]]) -> None:
        """Start the request, queue it, or shed it."""
        if self.busy < self.slots:
            self._start(job)
        elif len(self.queue) < QUEUE_PER_SLOT * self.slots:
            self.queue.append(job)
        else:
            self.simulation.events.after(UPSTREAM_ONE_WAY_MS, _shed, job)
        self.most = max(self.most, self.busy + len(self.queue))

    def _start(self, job: tuple[Request, Callable[[Request, bool], None]]) -> None:
        self.busy += 1
        service_ms = job[0].service_ms * self.simulation.slowness(self.index)
        self.simulation.events.after(service_ms, self._end, job)

    def _end(self, job: tuple[Request, Callable[[Request, bool], None]]) -> None:
        self.busy -= 1
        self.simulation.events.after(UPSTREAM_ONE_WAY_MS, _answer, job)
        while self.queue and self.busy < self.slots:
            waiting = self.queue.popleft()
            if waiting[0].deadline_ms < self.simulation.events.now_ms:
                self.simulation.events.after(UPSTREAM_ONE_WAY_MS, _shed, waiting)
                continue
            self.simulation.waited += 1
            self._start(waiting)


def _answer(job: tuple[Request, Callable[[Request, bool], None]]) -> None:
    job[1](job[0], True)


def _shed(job: tuple[Request, Callable[[Request, bool], None]]) -> None:
    job[1](job[0], False)


class Simulation:
    """Hold the endpoints of one service and their lagging reports."""

    __slots__ = ("case", "events", "servers", "size", "waited")

    def __init__(self, size: ServiceSize, case: Case) -> None:
        self.size = size
        self.case = case
        self.events = Events()
        self.waited = 0
        self.servers = [Server(self, i, size.slots) for i in range(size.endpoints)]

    def slowness(self, endpoint: int) -> float:
        """Return by how much an endpoint is slower than usual now."""
        if endpoint != 0:
            return 1.0
        if self.events.now_ms < self.case.cold_ms:
            return 5.0
        return self.case.slow_factor

    def send(
        self, node: int, request: Request, done: Callable[[Request, bool], None]
    ) -> None:
        """Send a request from a node; `done` gets the answer or the shed."""
        server = self.servers[request.endpoint]
        delay_ms = UPSTREAM_ONE_WAY_MS
        if server.idle[node]:
            server.idle[node] -= 1
        else:
            delay_ms += CONNECT_MS
        request.sent_ms = self.events.now_ms

        def ended(request: Request, answered: bool) -> None:
            server.idle[node] += 1
            done(request, answered)

        self.events.after(delay_ms, server.arrive, (request, ended))

    def start_reports(
        self, until_ms: float, deliver: Callable[[list[tuple[int, int]]], None]
    ) -> None:
        """Deliver each endpoint's (in flight, queued), 5 s late."""

        def measure(_: None) -> None:
            reports = [self._report(server) for server in self.servers]
            self.events.after(REPORT_LAG_MS, deliver, reports)
            if self.events.now_ms < until_ms:
                self.events.after(REPORT_EVERY_MS, measure, None)

        measure(None)

    def _report(self, server: Server) -> tuple[int, int]:
        if self.case.lying and server.index == 0:
            return 0, 0
        return server.busy, len(server.queue)
