"""Place requests at upstreams, at once or after a wait in the queue."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

import gevent
from gevent import Greenlet
from gevent.event import AsyncResult

from bilberry_balance.placement.admission import (
    Refusal,
    admit,
    expected_queue_wait_ms,
)
from bilberry_balance.placement.candidates import (
    NoSelection,
    Selection,
    UpstreamRequirements,
)
from bilberry_balance.placement.const import LATE_WAIT_FRACTION
from bilberry_balance.placement.costs import WaitState
from bilberry_balance.placement.processing_times import Warmth
from bilberry_balance.placement.queue import QueueEntry, WaitQueue
from bilberry_balance.placement.upstream import Upstream
from bilberry_core.const import MS_PER_SECOND

from .const import MAX_QUEUE_MISSES, QUEUE_POLL_MS
from .events import AvailabilityView
from .state import EntryState

DEFAULT_RETRY_AFTER_MS = 500


class Unplaced(Enum):
    """Enumerate why a wait ended without a slot or a refusal."""

    OUTDATED = auto()


def is_always_current() -> bool:
    """Return True, for requirements that don't change."""
    return True


@dataclass(slots=True)
class PlacementRequest:
    """Represent a request for a slot; times in monotonic ms.

    `target_ms` is the latency objective and `target_end_ms` when it ends.
    The placement was requested at `requested_at_ms`, and the caller gets its
    final answer by `deadline_ms`. `is_current` tells whether the requirements
    still hold.
    """

    requirements: UpstreamRequirements
    priority: int
    target_ms: int
    requested_at_ms: int
    target_end_ms: int
    deadline_ms: int
    granted: AsyncResult = field(default_factory=AsyncResult)
    is_current: Callable[[], bool] = is_always_current

    def abandon(self) -> None:
        """End the wait without a slot, unless one was already granted."""
        if not self.granted.ready():
            self.granted.set(None)


@dataclass(slots=True, frozen=True)
class WaitLimits:
    """Store the latest start within the objective, and the latest at all."""

    in_time_until_ms: int
    give_up_at_ms: int


def wait_limits(request: PlacementRequest, processing_ms: int) -> WaitLimits:
    """Return how long a request may wait, given its processing time."""
    in_time_until_ms = request.target_end_ms - processing_ms
    late_until_ms = in_time_until_ms + int(request.target_ms * LATE_WAIT_FRACTION)
    return WaitLimits(
        in_time_until_ms, min(late_until_ms, request.deadline_ms - processing_ms)
    )


class Placer:
    """Place requests, with one queue for each service."""

    __slots__ = ("checked_version", "is_refusing", "queues", "state", "task")

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.queues: dict[str, WaitQueue[PlacementRequest]] = {}
        self.task: Greenlet | None = None
        self.checked_version = 0
        self.is_refusing = False

    def start(self) -> None:
        """Start to serve the queues at regular intervals."""
        self.task = gevent.spawn(self.serve_queues)

    def close(self) -> None:
        """Stop serving the queues."""
        if self.task is not None:
            self.task.kill()
            self.task = None

    def serve_queues(self) -> None:
        """Serve the queues, as reports and heartbeats may free slots."""
        while True:
            gevent.sleep(QUEUE_POLL_MS / MS_PER_SECOND)
            for service in list(self.queues):
                self.start_queued(service)

    def place(
        self,
        request: PlacementRequest,
        on_disconnect: Callable[[Callable[[], None]], None],
    ) -> Selection | Refusal | Unplaced:
        """Return a selected upstream, or a refusal; wait if necessary.

        `on_disconnect` gets a function to call when the caller disconnects.
        Return OUTDATED if the requirements changed during the wait.
        """
        now_ms = self.state.clock.now_ms()
        begun = self.begin(request, now_ms)
        if not isinstance(begun, QueueEntry):
            return begun
        on_disconnect(request.abandon)
        return self.wait_for_slot(begun, now_ms)

    def begin(
        self, request: PlacementRequest, now_ms: int
    ) -> Selection | Refusal | QueueEntry[PlacementRequest]:
        """Select an upstream, refuse the request or queue it."""
        queue = self.queue_for(request)
        if not queue.count_ahead(request.priority):
            selection = self.try_place(request, now_ms)
            if isinstance(selection, Selection):
                return selection
            if selection is NoSelection.NO_UPSTREAM:
                return Refusal(DEFAULT_RETRY_AFTER_MS)
        processing_ms = request.requirements.processing_times.expected_ms(Warmth.KNOWN)
        limits = wait_limits(request, int(processing_ms))
        expected_ms = self.expected_wait_ms(request, now_ms)
        if self.is_refusing:
            return Refusal(max(DEFAULT_RETRY_AFTER_MS, expected_ms))
        closed_ms = self.refused_until_ms(request) - now_ms
        if closed_ms > limits.give_up_at_ms - now_ms:
            return Refusal(closed_ms)
        refusal = admit(expected_ms, limits.give_up_at_ms - now_ms)
        if refusal is not None and not self.has_free_slot(request.requirements, now_ms):
            return refusal
        entry = QueueEntry(
            request,
            request.priority,
            limits.in_time_until_ms,
            limits.give_up_at_ms,
            group=request.requirements.home_regions,
        )
        queue.push(entry)
        self.start_queued(request.requirements.service)
        return entry

    def wait_for_slot(
        self, entry: QueueEntry[PlacementRequest], now_ms: int
    ) -> Selection | Refusal | Unplaced:
        """Return the slot granted to a queued request, or a refusal."""
        request = entry.item
        wait_s = max(0, entry.give_up_at_ms - now_ms) / MS_PER_SECOND
        request.granted.wait(timeout=wait_s)
        return self.end_wait(entry, now_ms)

    def end_wait(
        self, entry: QueueEntry[PlacementRequest], queued_at_ms: int
    ) -> Selection | Refusal | Unplaced:
        """Take a request off its queue; return its slot, or a refusal."""
        request = entry.item
        queue = self.queue_for(request)
        queue.discard(entry)
        now_ms = self.state.clock.now_ms()
        histograms = self.state.counts.for_service(request.requirements.service)
        histograms.queueing.observe(now_ms - queued_at_ms)
        if request.granted.value is not None:
            granted: Selection | Unplaced = request.granted.value
            return granted
        expected_ms = self.expected_wait_ms(request, now_ms)
        return Refusal(max(DEFAULT_RETRY_AFTER_MS, expected_ms))

    def expected_wait_ms(self, request: PlacementRequest, now_ms: int) -> int:
        """Return how long a new request would wait behind those queued.

        Return 0 until the processing time of such requests is known.
        """
        state = self.state
        requirements = request.requirements
        if not requirements.processing_times.is_measured:
            return 0
        ahead = self.queue_for(request).count_ahead(request.priority)
        slots = state.selector.open_slots(
            requirements, state.upstreams.accepts_requests, now_ms
        )
        processing_ms = requirements.processing_times.expected_ms(Warmth.KNOWN)
        return expected_queue_wait_ms(ahead, state.known_nodes, slots, processing_ms)

    def queue_for(self, request: PlacementRequest) -> WaitQueue[PlacementRequest]:
        """Return the queue of a request's service, created if missing."""
        service = request.requirements.service
        return self.queues.setdefault(service, WaitQueue())

    def has_free_slot(self, requirements: UpstreamRequirements, now_ms: int) -> bool:
        """Return whether any upstream has a free slot, whatever its cost."""
        state = self.state
        return state.selector.has_free_slot(
            requirements, state.upstreams.accepts_requests, now_ms
        )

    def refused_until_ms(self, request: PlacementRequest) -> int:
        """Return until when no upstream wants a request from this node."""
        state = self.state
        return state.selector.refused_until_ms(
            request.requirements, state.upstreams.accepts_requests
        )

    def refuse_queued(self) -> None:
        """End the wait of all queued requests, and queue no more."""
        self.is_refusing = True
        for queue in self.queues.values():
            for entry in list(queue.entries):
                entry.item.abandon()

    def start_queued(self, service: str) -> None:
        """Start queued requests that find a slot, in their order."""
        self.release_outdated()
        queue = self.queues.get(service)
        if queue is None or not queue.entries:
            return
        now_ms = self.state.clock.now_ms()

        def try_start(request: PlacementRequest) -> bool:
            selection = self.try_place(request, now_ms)
            if not isinstance(selection, Selection):
                return False
            request.granted.set(selection)
            return True

        queue.start_next(try_start, now_ms, MAX_QUEUE_MISSES)

    def release_outdated(self) -> None:
        """End the waits whose requirements a new configuration has changed."""
        if self.checked_version == self.state.config_version:
            return
        self.checked_version = self.state.config_version
        for queue in self.queues.values():
            for entry in list(queue.entries):
                if not entry.item.granted.ready() and not entry.item.is_current():
                    entry.item.granted.set(Unplaced.OUTDATED)
                    queue.discard(entry)

    def try_place(
        self, request: PlacementRequest, now_ms: int
    ) -> Selection | NoSelection:
        """Select an upstream and reserve a slot, if one is free now."""
        state = self.state
        requirements = request.requirements
        wait_state = self.wait_state(request, now_ms)
        state.init_region_shares(now_ms)
        selection = state.selector.select(
            requirements,
            state.upstreams.accepts_requests,
            state.region_share_limiter.pick_region,
            now_ms,
            wait_state,
        )
        if isinstance(selection, Selection):
            self.reserve(selection, requirements, now_ms)
            distance = state.selector.distances.between(selection.upstream.spec)
            state.counts.record_placement(
                selection.upstream, selection.warmth, distance
            )
        return selection

    def wait_state(self, request: PlacementRequest, now_ms: int) -> WaitState:
        """Return how long a request has waited, and with how many others."""
        requirements = request.requirements
        known_ms = requirements.processing_times.expected_ms(Warmth.KNOWN)
        is_late = now_ms + known_ms > request.target_end_ms
        waited_ms = now_ms - request.requested_at_ms
        return WaitState(self.queue_length(requirements.service), waited_ms, is_late)

    def queue_length(self, service: str) -> int:
        """Return how many requests are queued for a service."""
        queue = self.queues.get(service)
        return len(queue.entries) if queue else 0

    def availability(self, request: PlacementRequest) -> AvailabilityView:
        """Return why a service's upstreams can't take a request."""
        state = self.state
        now_ms = state.clock.now_ms()
        requirements = request.requirements
        availability = state.selector.count_availability(
            requirements, state.upstreams.accepts_requests, now_ms
        )
        return AvailabilityView(
            availability.known,
            availability.closed,
            availability.held_back,
            availability.full,
            self.queue_length(requirements.service),
        )

    def reserve(
        self, selection: Selection, requirements: UpstreamRequirements, now_ms: int
    ) -> None:
        """Reserve a slot of the selected upstream for a request."""
        state = self.state
        upstream = selection.upstream
        upstream.in_flight += 1
        state.rate_limiter.record_sent(upstream, now_ms)
        if selection.has_region_choice:
            state.region_share_limiter.record_sent(upstream.spec.region, now_ms)
        if upstream.takes_turns(now_ms):
            cold_per_s = state.pool(requirements.service).cold_requests_per_s
            state.cold_rate_limiter.schedule_next(upstream, cold_per_s, now_ms)
        if requirements.key:
            state.selector.record_key(upstream, requirements.key, now_ms)

    def release(self, upstream: Upstream) -> None:
        """Release the slot of a request, and start those that wait for it."""
        self.free_slot(upstream)
        self.start_queued(upstream.spec.service)

    def free_slot(self, upstream: Upstream) -> None:
        """Record that a request of this node has ended at an upstream."""
        upstream.in_flight -= 1
