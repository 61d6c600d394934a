"""Forward requests to upstreams and answer failed ones."""

import logging
from collections.abc import Callable
from typing import Any

from bilberry_balance.deadline import parse_timeout
from bilberry_balance.endpoint import AttemptOutcome
from bilberry_core.clock import Clock
from bilberry_core.const import HEADER_REQUEST_TIMEOUT
from bilberry_core.outcome import Failure
from bilberry_fleet.messages import MemberState, SharedEntry
from bilberry_steering.routing_results import Shed

from ..http.handler import ResponseAbortedError
from ..http.messages import (
    Environ,
    Response,
    problem_response,
    read_body,
    send_response,
)
from ..state import NodeState
from .active_attempt import ActiveAttempt, ResponseStream
from .admission import AdmissionController, AdmissionStatus
from .attempts import AttemptRunner
from .const import MAX_KEY_CALL_BYTES
from .endpoints import Endpoints
from .headers import get_request_id, request_headers
from .keyed.epochs import EpochStore
from .keyed.parts import KeyComponents
from .polling import PollingTask
from .quota_wait import QuotaWaiter
from .request import (
    ForwardRequest,
    get_body,
    get_connection,
    get_head,
    parse_forward_address,
)
from .responses import FAILURE_DETAILS, response_head, shed_response
from .steering import Steering
from .suspect_entries import from_shared_entry, to_shared_entry
from .suspects import SuspectTracker

_LOGGER = logging.getLogger(__name__)

OVERLOAD_OUTCOMES = frozenset({AttemptOutcome.SHED, AttemptOutcome.TIMED_OUT})


class Forwarder:
    """Forward callers' requests to upstreams."""

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
        self.suspects = SuspectTracker(state.settings.node.name, clock)
        self.attempts = AttemptRunner(self.endpoints, steering, self.suspects, clock)
        self.polling = PollingTask(self.endpoints, clock)
        self.keys = KeyComponents(state, store, self.suspects, clock)
        self.quota_waiter = QuotaWaiter(steering, clock)
        self.in_flight = 0
        self.revision = -1

    def start(self) -> None:
        """Apply the installed configuration and start the tasks."""
        self.refresh()
        self.polling.start()
        self.keys.start()

    def close(self) -> None:
        """Stop the tasks and close the connections to upstreams."""
        self.keys.close()
        self.polling.close()
        self.endpoints.close()

    def refresh(self) -> None:
        """Apply the installed configuration and members if changed."""
        if self.revision == self.state.revision:
            return
        self.revision = self.state.revision
        self.endpoints.refresh()
        live = [m.name for m in self.state.members if m.state is MemberState.LIVE]
        self.suspects.set_members(tuple(sorted({self.suspects.node, *live})))

    def handle_peer(self, environ: Environ, start_response: Any) -> list[bytes]:
        """Answer a call of another node below `/internal/v1/keyed/`."""
        body = read_body(environ, MAX_KEY_CALL_BYTES)
        if body is None:
            response = problem_response(413, f"over {MAX_KEY_CALL_BYTES} bytes")
        else:
            response = self.keys.peers.handle(get_head(environ), body)
        return send_response(response, start_response)

    def share_reports_through(self, share: Callable[[SharedEntry], None]) -> None:
        """Share suspect reports with the fleet through `share`."""
        self.suspects.share_report = lambda report: share(to_shared_entry(report))

    def merge_entry(self, entry: SharedEntry) -> None:
        """Merge an entry of another node if it is a suspect report."""
        report = from_shared_entry(entry)
        if report is not None:
            self.suspects.merge_report(report)

    def forward(self, environ: Environ, start_response: Any) -> Any:
        """Answer one request to `/s/{service}/{path}`."""
        self.in_flight += 1
        stream: ResponseStream | None = None
        try:
            self.refresh()
            result = self.handle(environ)
            if isinstance(result, Response):
                return send_response(result, start_response)
            stream = ResponseStream(result, self.on_response_closed)
            start_response(*response_head(result))
        finally:
            if stream is None:
                self.in_flight -= 1
        return stream

    def on_response_closed(self) -> None:
        """Decrement the in-flight count after a streamed response."""
        self.in_flight -= 1

    def handle(self, environ: Environ) -> Response | ActiveAttempt:
        """Return an upstream's response or one of this node."""
        request = self.build_request(environ)
        if isinstance(request, Response):
            return request
        request.buffer_body(self.clock)
        if request.key is not None and not request.is_idempotent:
            return self.keys.requests.handle(request, self.run)
        return self.run(request)

    def build_request(self, environ: Environ) -> ForwardRequest | Response:
        """Return the request to forward, or an error response."""
        head = get_head(environ)
        request_id = get_request_id(head, self.clock)
        address = parse_forward_address(head)
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
        client_ip = environ["REMOTE_ADDR"]
        return ForwardRequest(
            head=head,
            body=get_body(environ),
            connection=get_connection(environ),
            client_ip=client_ip,
            service_name=address.service,
            target=address.target,
            request_id=request_id,
            service=service,
            deadline=deadline.unwrap(),
            has_caller_deadline=timeout is not None,
            headers=request_headers(head, client_ip, request_id),
        )

    def run(self, request: ForwardRequest) -> Response | ActiveAttempt:
        """Choose a region, wait for admission and try endpoints."""
        route = self.quota_waiter.find_route(request)
        if isinstance(route, Shed):
            return shed_response(request, route.reason.value, route.retry_after_ms)
        request.route = route
        request.regions = [route.region]
        admission = self.endpoints.admission_controller(
            request.service_name, route.region
        )
        if admission is None:
            return self.attempts.run(request)
        admitted = admission.acquire(request)
        if admitted.status is AdmissionStatus.CALLER_GONE:
            raise ResponseAbortedError
        if admitted.status is not AdmissionStatus.ADMITTED:
            reason = FAILURE_DETAILS[admitted.failure_point]
            return shed_response(request, reason, admitted.retry_after_ms)
        return self.run_admitted(request, admission)

    def run_admitted(
        self, request: ForwardRequest, admission: AdmissionController
    ) -> Response | ActiveAttempt:
        """Try endpoints; release the slot when the request has ended."""
        result: Response | ActiveAttempt | None = None
        try:
            result = self.attempts.run(request)
        finally:
            if not isinstance(result, ActiveAttempt):
                admission.release(None, overloaded=False)
        if isinstance(result, ActiveAttempt):
            result.on_end = lambda attempt: self.on_attempt_end(attempt, admission)
        return result

    def on_attempt_end(
        self, attempt: ActiveAttempt, admission: AdmissionController
    ) -> None:
        """Release the slot; clear the request as suspect if answered."""
        answered = attempt.outcome is AttemptOutcome.ANSWERED
        latency_ms = attempt.latency_ms if answered else None
        admission.release(latency_ms, overloaded=attempt.outcome in OVERLOAD_OUTCOMES)
        if answered:
            self.suspects.on_success(attempt.exchange.request)
