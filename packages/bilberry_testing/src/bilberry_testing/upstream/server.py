"""Serve the simulated upstream on raw gevent sockets."""

import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import gevent
import gevent.socket
import msgspec
from gevent.event import Event
from gevent.select import POLLIN, poll
from gevent.server import StreamServer

from bilberry_core.clock import Clock, SystemClock
from bilberry_core.const import HEADER_NOT_RUN, HEADER_REQUEST_ID, MS_PER_SECOND

from ..const import (
    DEFAULT_ADDRESS,
    PATH_CONTROL,
    PATH_COUNTERS,
    PATH_EXECUTIONS,
    PATH_HEALTH,
    PATH_LOAD,
)
from ..http import ErrorBody
from .faults import FAULTS
from .messages import (
    Control,
    Execution,
    ExecutionList,
    ExecutionState,
    Fault,
    FaultAction,
    Identity,
)
from .model import Admission, UpstreamModel
from .request import BadRequestError, RequestReader, UpstreamRequest
from .response import Answer, echo_answer, message_answer

CRASH_EXIT_CODE = 70


class UpstreamServer:
    """Run a simulated upstream: its listener, connections and model."""

    __slots__ = (
        "address",
        "clock",
        "connections",
        "generation",
        "identity",
        "listener",
        "model",
        "port",
        "restart_greenlet",
        "slot_waiters",
    )

    def __init__(
        self,
        identity: Identity | None = None,
        control: Control | None = None,
        port: int = 0,
        address: str = DEFAULT_ADDRESS,
        clock: Clock | None = None,
        seed: int = 1,
    ) -> None:
        self.identity = identity or Identity()
        self.clock = clock or SystemClock()
        self.model = UpstreamModel(control or Control(), self.clock.now_ms(), seed)
        self.address = address
        self.port = port
        self.listener: StreamServer | None = None
        self.generation = 0
        self.connections: set[Any] = set()
        self.slot_waiters: deque[Event] = deque()
        self.restart_greenlet: gevent.Greenlet | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}:{self.port}"

    @property
    def endpoint(self) -> str:
        """Return the address as IP:PORT."""
        return f"{self.address}:{self.port}"

    def start(self) -> None:
        """Bind and serve; port 0 is replaced by the bound port."""
        self.listener = StreamServer((self.address, self.port), self.handle)
        self.listener.start()
        self.port = self.listener.server_port

    def close(self) -> None:
        """Stop serving and close every connection."""
        if self.restart_greenlet is not None:
            self.restart_greenlet.kill()
            self.restart_greenlet = None
        self.close_sockets()

    def close_sockets(self) -> None:
        """Close the listener and every connection at once."""
        self.generation += 1
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for sock in list(self.connections):
            _abort(sock)

    def crash(self) -> None:
        """Simulate a crash and restart after `crash_down_ms`.

        With `exit_on_crash` the process ends instead.
        """
        control = self.model.control
        if control.exit_on_crash:
            os._exit(CRASH_EXIT_CODE)
        self.close_sockets()
        for event in self.slot_waiters:
            event.set()
        self.slot_waiters.clear()
        delay_s = control.crash_down_ms / MS_PER_SECOND
        self.restart_greenlet = gevent.spawn_later(delay_s, self.restart)

    def restart(self) -> None:
        """Listen again on the same port, cold."""
        self.restart_greenlet = None
        self.model.restart(self.clock.now_ms())
        self.start()

    def handle(self, sock: Any, peer: Any) -> None:
        """Answer the requests of one connection in turn."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(sock)
        counters = self.model.counters
        counters.connections += 1
        counters.connections_open += 1
        reader = RequestReader(sock)
        try:
            with contextlib.suppress(OSError, BadRequestError, ValueError):
                while self.serve_next_request(sock, reader):
                    pass
        finally:
            counters.connections_open -= 1
            self.connections.discard(sock)
            sock.close()

    def serve_next_request(self, sock: Any, reader: RequestReader) -> bool:
        """Answer one request; return whether another one may follow."""
        request = reader.read()
        if request is None:
            return False
        control = PATH_HANDLERS.get(request.path)
        if control is not None:
            answer: Answer | None = control(self, request)
        else:
            answer = self.serve(sock, request)
        if answer is None:
            return False
        if request.request_id:
            answer.headers = {**answer.headers, HEADER_REQUEST_ID: request.request_id}
        return send(sock, answer) and answer.keep_alive and request.keep_alive

    def serve(self, sock: Any, request: UpstreamRequest) -> Answer | None:
        """Admit, run and answer a request; None closes the connection."""
        now_ms = self.clock.now_ms()
        generation = self.generation
        admission = self.model.admit(now_ms)
        if admission is Admission.SHED:
            return self.not_run_answer("no slot is free")
        if admission is Admission.QUEUE and not self.wait_for_slot():
            return None
        try:
            return self.run_unless_obsolete(sock, request, now_ms)
        finally:
            if generation == self.generation:
                self.release_slot()

    def wait_for_slot(self) -> bool:
        """Wait until a slot is passed on; return False after a crash."""
        generation = self.generation
        event = Event()
        self.slot_waiters.append(event)
        event.wait()
        return generation == self.generation

    def release_slot(self) -> None:
        """Pass the slot on to the longest waiting request, or free it."""
        now_ms = self.clock.now_ms()
        self.model.release_slot(now_ms)
        if self.slot_waiters:
            self.model.dequeue(now_ms)
            self.model.acquire_slot(now_ms)
            self.slot_waiters.popleft().set()

    def run_unless_obsolete(
        self, sock: Any, request: UpstreamRequest, arrived_ms: int
    ) -> Answer | None:
        """Run a request unless its caller left or its deadline passed."""
        if peer_closed(sock):
            self.model.counters.cancelled += 1
            return None
        waited_ms = self.clock.now_ms() - arrived_ms
        remaining_ms = request.timeout_ms
        if remaining_ms is not None:
            remaining_ms -= waited_ms
            if remaining_ms <= 0:
                self.model.counters.shed += 1
                return self.not_run_answer("the deadline passed in the queue")
        return self.run(sock, request, remaining_ms)

    def run(
        self, sock: Any, request: UpstreamRequest, remaining_ms: int | None
    ) -> Answer | None:
        """Execute a request and build its answer."""
        now_ms = self.clock.now_ms()
        execution = self.model.start_execution(request, now_ms)
        fault = self.model.take_fault(request)
        if fault is not None and fault.action is FaultAction.CRASH:
            self.model.end_execution(execution, ExecutionState.CRASHED)
            self.crash()
            return None
        work_ms = self.model.service_ms(request, now_ms)
        expires = remaining_ms is not None and remaining_ms < work_ms
        wait_ms = remaining_ms if expires and remaining_ms is not None else work_ms
        if not self.wait_for_work(sock, wait_ms):
            self.model.end_execution(execution, ExecutionState.CANCELLED)
            return None
        if expires:
            self.model.end_execution(execution, ExecutionState.EXPIRED)
            return self.error_answer(HTTPStatus.GATEWAY_TIMEOUT, "deadline passed")
        return self.build_answer(sock, request, execution, fault)

    def build_answer(
        self,
        sock: Any,
        request: UpstreamRequest,
        execution: Execution,
        fault: Fault | None,
    ) -> Answer | None:
        """Build the answer and apply the fault to it."""
        self.model.end_execution(execution, ExecutionState.FINISHED)
        answer = echo_answer(request, self.identity, self.model.control)
        answer.headers = {"X-Stand-In": self.identity.name}
        if self.model.control.draining:
            answer.keep_alive = False
        if fault is None:
            return answer
        return FAULTS[fault.action](sock, answer, fault)

    def wait_for_work(self, sock: Any, duration_ms: float) -> bool:
        """Wait for the service time; return False if it was interrupted.

        A closed connection and a crash interrupt it.
        """
        if duration_ms <= 0:
            return True
        generation = self.generation
        until_ms = self.clock.now_ms() + duration_ms
        if is_readable(sock, duration_ms):
            if peer_closed(sock):
                return False
            gevent.sleep(max(until_ms - self.clock.now_ms(), 0) / MS_PER_SECOND)
        return generation == self.generation

    def not_run_answer(self, detail: str) -> Answer:
        """Return a refusal with the header that marks a request as not run."""
        answer = self.error_answer(HTTPStatus.SERVICE_UNAVAILABLE, detail)
        answer.headers = {HEADER_NOT_RUN: "true"}
        answer.keep_alive = not self.model.control.draining
        return answer

    def error_answer(self, status: HTTPStatus, detail: str) -> Answer:
        """Return an answer with an error body."""
        return message_answer(ErrorBody(status.phrase, status, detail), status)

    def show_health(self, request: UpstreamRequest) -> Answer:
        """Answer `/health`."""
        return message_answer(self.model.health(self.clock.now_ms()))

    def show_load(self, request: UpstreamRequest) -> Answer:
        """Answer `/load`."""
        return message_answer(self.model.load(self.clock.now_ms()))

    def show_counters(self, request: UpstreamRequest) -> Answer:
        """Answer `/_counters`."""
        return message_answer(self.model.counters)

    def show_executions(self, request: UpstreamRequest) -> Answer:
        """Answer `/_executions`; DELETE clears the list."""
        items = list(self.model.executions)
        if request.method == "DELETE":
            self.model.executions.clear()
        return message_answer(ExecutionList(items))

    def change_control(self, request: UpstreamRequest) -> Answer:
        """Answer `/_control`; PUT changes the given fields."""
        if request.method == "GET":
            return message_answer(self.model.control)
        current = msgspec.to_builtins(self.model.control)
        try:
            current.update(msgspec.json.decode(request.body, type=dict))
            control = msgspec.convert(current, Control)
        except msgspec.DecodeError as error:
            return self.error_answer(HTTPStatus.BAD_REQUEST, str(error))
        self.model.set_control(control, self.clock.now_ms())
        return message_answer(control)


PATH_HANDLERS: dict[str, Callable[[UpstreamServer, UpstreamRequest], Answer]] = {
    PATH_HEALTH: UpstreamServer.show_health,
    PATH_LOAD: UpstreamServer.show_load,
    PATH_COUNTERS: UpstreamServer.show_counters,
    PATH_EXECUTIONS: UpstreamServer.show_executions,
    PATH_CONTROL: UpstreamServer.change_control,
}


def send(sock: Any, answer: Answer) -> bool:
    """Send an answer; return False if the connection must be closed."""
    if not answer.with_body:
        sock.sendall(answer.encode_head())
        return True
    left = answer.cut_bytes
    pending = answer.encode_head()
    for piece in answer.iter_body():
        if left is not None:
            piece = piece[:left]
            left -= len(piece)
        sock.sendall(pending + _frame_chunk(piece, answer.chunked))
        pending = b""
        if left == 0:
            return False
    if answer.chunked:
        pending += b"0\r\n\r\n"
    if pending or answer.garbage:
        sock.sendall(pending + answer.garbage)
    return True


def is_readable(sock: Any, wait_ms: float) -> bool:
    """Return whether data or end of stream arrived within `wait_ms`."""
    poller = poll()
    poller.register(sock, POLLIN)
    return bool(poller.poll(wait_ms))


def peer_closed(sock: Any) -> bool:
    """Return whether the caller closed the connection."""
    if not is_readable(sock, 0):
        return False
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def _frame_chunk(piece: bytes, chunked: bool) -> bytes:
    if not chunked or not piece:
        return piece
    return b"%x\r\n%s\r\n" % (len(piece), piece)


def _abort(sock: Any) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
