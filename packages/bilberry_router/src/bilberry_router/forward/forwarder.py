"""Forward requests to upstreams and answer for what fails."""

import logging
from collections.abc import Callable
from typing import Any

from bilberry_balance.deadline import parse_timeout
from bilberry_balance.endpoint import AttemptOutcome
from bilberry_core.clock import Clock
from bilberry_core.const import HEADER_REQUEST_TIMEOUT
from bilberry_core.outcome import Failure
from bilberry_fleet.messages import MemberState, SharedEntry
from bilberry_steering.routes import Shed

from ..http.handler import ResponseAbortedError
from ..http.messages import (
    Environ,
    Response,
    problem_response,
    read_body,
    send_response,
)
from ..state import NodeState
from .admission import Entry, Gate
from .answers import DETAILS, answer_head, shed_answer
from .attempts import Attempts
from .const import MAX_PEER_BODY_BYTES
from .endpoints import Endpoints
from .entries import shared_entry, suspect_note
from .headers import request_headers, request_id_of
from .keyed.epochs import EpochStore
from .keyed.parts import KeyParts
from .polling import PollingTask
from .quota_wait import QuotaWait
from .regions import Steering
from .request import (
    ForwardRequest,
    address_of,
    body_of,
    connection_of,
    head_of,
)
from .running import AnswerStream, Running
from .suspects import Suspects

_LOGGER = logging.getLogger(__name__)

OVERLOADED_ENDS = frozenset({AttemptOutcome.SHED, AttemptOutcome.TIMED_OUT})


class Forwarder:
    """Own the forwarding path of a node."""

    def __init__(
        self,
        state: NodeState,
        steering: Steering,
        clock: Clock,
        store: EpochStore | None = None,
    ) -> None:
        self.state = state
        self.steering = steering
        self.clock = clock
        self.endpoints = Endpoints(state, clock)
        self.suspects = Suspects(state.settings.node.name, clock)
        self.attempts = Attempts(self.endpoints, steering, self.suspects, clock)
        self.polling = PollingTask(self.endpoints, clock)
        self.keys = KeyParts(state, store, self.suspects, clock)
        self.quotas = QuotaWait(steering, clock)
        self.in_flight = 0
        self.revision = -1

    def start(self) -> None:
        """Take over the installed configuration and begin the tasks."""
        self.refresh()
        self.polling.start()
        self.keys.start()

    def close(self) -> None:
        """Stop the tasks and close the connections to upstreams."""
        self.keys.close()
        self.polling.close()
        self.endpoints.close()

    def refresh(self) -> None:
        """Take over the installed configuration and members."""
        if self.revision == self.state.revision:
            return
        self.revision = self.state.revision
        self.endpoints.refresh()
        live = [m.name for m in self.state.members if m.state is MemberState.LIVE]
        self.suspects.set_members(tuple(sorted({self.suspects.node, *live})))

    def handle_peer(self, environ: Environ, start_response: Any) -> list[bytes]:
        """Answer a call of another node below `/internal/v1/keyed/`."""
        body = read_body(environ, MAX_PEER_BODY_BYTES)
        if body is None:
            answer = problem_response(413, f"over {MAX_PEER_BODY_BYTES} bytes")
        else:
            answer = self.keys.peers.answer(head_of(environ), body)
        return send_response(answer, start_response)

    def connect(self, share: Callable[[SharedEntry], None]) -> None:
        """Share what is seen of crashing requests through `share`."""
        self.suspects.send_note = lambda note: share(shared_entry(note))

    def take_entry(self, entry: SharedEntry) -> None:
        """Take over what another node shared, if it is for this part."""
        note = suspect_note(entry)
        if note is not None:
            self.suspects.take_note(note)

    def forward(self, environ: Environ, start_response: Any) -> Any:
        """Answer one request to `/s/{service}/{path}`."""
        self.in_flight += 1
        stream: AnswerStream | None = None
        try:
            self.refresh()
            answer = self.answer(environ)
            if isinstance(answer, Response):
                return send_response(answer, start_response)
            stream = AnswerStream(answer, self.on_close)
            start_response(*answer_head(answer))
        finally:
            if stream is None:
                self.in_flight -= 1
        return stream

    def on_close(self) -> None:
        """Count the end of a request whose answer was passed on."""
        self.in_flight -= 1

    def answer(self, environ: Environ) -> Response | Running:
        """Return an upstream's answer or one of our own."""
        request = self.request_of(environ)
        if isinstance(request, Response):
            return request
        request.buffer_body(self.clock)
        if request.key is not None and not request.idempotent:
            return self.keys.requests.answer(request, self.run)
        return self.run(request)

    def request_of(self, environ: Environ) -> ForwardRequest | Response:
        """Return the request to forward, or why it is refused."""
        head = head_of(environ)
        request_id = request_id_of(head, self.clock)
        address = address_of(head)
        service = self.state.snapshot.services.get(address.service)
        if service is None:
            reason = f"no service named {address.service!r}"
            return problem_response(404, reason, request_id=request_id)
        timeout = head.first(HEADER_REQUEST_TIMEOUT.lower())
        now_ms = self.clock.now_ms()
        deadline = parse_timeout(timeout, service.timeout_ms, now_ms)
        if isinstance(deadline, Failure):
            reason = str(deadline.failure())
            return problem_response(400, reason, request_id=request_id)
        client = environ["REMOTE_ADDR"]
        return ForwardRequest(
            head=head,
            body=body_of(environ),
            connection=connection_of(environ),
            client=client,
            service_name=address.service,
            target=address.target,
            request_id=request_id,
            service=service,
            deadline=deadline.unwrap(),
            bounded=timeout is not None,
            headers=request_headers(head, client, request_id),
        )

    def run(self, request: ForwardRequest) -> Response | Running:
        """Choose the region, wait for room and try endpoints."""
        route = self.quotas.find_route(request)
        if isinstance(route, Shed):
            return shed_answer(request, route.reason.value, route.retry_after_ms)
        request.route = route
        request.regions = [route.region]
        gate = self.endpoints.gate(request.service_name, route.region)
        if gate is None:
            return self.attempts.run(request)
        entered = gate.enter(request)
        if entered.entry is Entry.GONE:
            raise ResponseAbortedError
        if entered.entry is not Entry.ADMITTED:
            reason = DETAILS[entered.point]
            return shed_answer(request, reason, entered.retry_after_ms)
        return self.run_admitted(request, gate)

    def run_admitted(self, request: ForwardRequest, gate: Gate) -> Response | Running:
        """Try endpoints; leave the gate when the request has ended."""
        result: Response | Running | None = None
        try:
            result = self.attempts.run(request)
        finally:
            if not isinstance(result, Running):
                gate.leave(None, overloaded=False)
        if isinstance(result, Running):
            result.on_end = lambda running: self.on_answered(running, gate)
        return result

    def on_answered(self, running: Running, gate: Gate) -> None:
        """Leave the gate and clear the request of suspicion."""
        answered = running.ended is AttemptOutcome.ANSWERED
        latency_ms = running.latency_ms if answered else None
        gate.leave(latency_ms, overloaded=running.ended in OVERLOADED_ENDS)
        if answered:
            self.suspects.on_success(running.exchange.request)
