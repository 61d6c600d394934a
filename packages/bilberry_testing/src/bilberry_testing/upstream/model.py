"""Model the slots, queue and load reports of an upstream, without I/O."""

import random
from collections import deque
from enum import StrEnum

import msgspec

from ..const import MAX_EXECUTIONS
from .messages import (
    Control,
    Counters,
    Execution,
    ExecutionState,
    Fault,
    Health,
    HealthState,
    Load,
)
from .request import UpstreamRequest


class Admission(StrEnum):
    """Represent the decision on a new request."""

    RUN = "run"
    QUEUE = "queue"
    SHED = "shed"


class LoadSample(msgspec.Struct, frozen=True):
    """Store the load at one point in time."""

    at_ms: int
    in_flight: int
    queued: int


class UpstreamModel:
    """Model an upstream's slots, queue, warm-up and load reports."""

    __slots__ = (
        "control",
        "counters",
        "draining_since_ms",
        "executions",
        "queued",
        "random",
        "samples",
        "warm_from_ms",
    )

    def __init__(self, control: Control, now_ms: int, seed: int = 1) -> None:
        self.control = control
        self.counters = Counters()
        self.executions: deque[Execution] = deque(maxlen=MAX_EXECUTIONS)
        self.queued = 0
        self.random = random.Random(seed)
        self.samples: deque[LoadSample] = deque([LoadSample(now_ms, 0, 0)])
        self.draining_since_ms: int | None = None
        self.warm_from_ms = 0
        self.restart(now_ms)

    def restart(self, now_ms: int) -> None:
        """Reset the load and begin a warm-up."""
        self.warm_from_ms = now_ms + self.control.warm_ms
        self.counters.in_flight = 0
        self.queued = 0
        self.record_sample(now_ms)

    def set_control(self, control: Control, now_ms: int) -> None:
        """Replace the settings; a changed `warm_ms` begins a warm-up."""
        if control.warm_ms != self.control.warm_ms:
            self.warm_from_ms = now_ms + control.warm_ms
        if control.draining and self.draining_since_ms is None:
            self.draining_since_ms = now_ms
        if not control.draining:
            self.draining_since_ms = None
        self.control = control

    def admit(self, now_ms: int) -> Admission:
        """Return the decision on a new request and count it."""
        if self.must_shed():
            self.counters.shed += 1
            return Admission.SHED
        if self.counters.in_flight < self.control.slots:
            self.acquire_slot(now_ms)
            return Admission.RUN
        self.queued += 1
        self.record_sample(now_ms)
        return Admission.QUEUE

    def must_shed(self) -> bool:
        """Return whether to refuse a new request; use up one `shed_next`."""
        if self.control.shed_next > 0:
            self.control.shed_next -= 1
            return True
        if self.control.draining and self.control.refuse_when_draining:
            return True
        full = self.counters.in_flight >= self.control.slots
        return full and self.queued >= self.control.queue

    def dequeue(self, now_ms: int) -> None:
        """Remove one request from the queue's count."""
        self.queued -= 1
        self.record_sample(now_ms)

    def acquire_slot(self, now_ms: int) -> None:
        """Count one more request in flight."""
        counters = self.counters
        counters.in_flight += 1
        counters.max_in_flight = max(counters.max_in_flight, counters.in_flight)
        self.record_sample(now_ms)

    def release_slot(self, now_ms: int) -> None:
        """Count one request less in flight."""
        self.counters.in_flight -= 1
        self.record_sample(now_ms)

    def start_execution(self, request: UpstreamRequest, now_ms: int) -> Execution:
        """Record and return the start of an execution."""
        execution = Execution(
            request_id=request.request_id,
            idempotency_key=request.idempotency_key,
            method=request.method,
            path=request.path,
            body_sha256=request.body_sha256,
            started_ms=now_ms,
        )
        self.executions.append(execution)
        self.counters.started += 1
        return execution

    def end_execution(self, execution: Execution, state: ExecutionState) -> None:
        """Record the final state of an execution."""
        execution.state = state
        name = state.value
        setattr(self.counters, name, getattr(self.counters, name) + 1)

    def service_ms(self, request: UpstreamRequest, now_ms: int) -> float:
        """Return a request's service time in ms, longer while warming."""
        base = request.query_int("service_ms", self.control.service_ms)
        spread = self.control.service_jitter * (2 * self.random.random() - 1)
        time_ms = base * (1 + spread)
        if now_ms < self.warm_from_ms:
            return time_ms * self.control.cold_factor
        return time_ms

    def health(self, now_ms: int) -> Health:
        """Return the reported state, which is `health_lag_ms` old."""
        reported_ms = now_ms - self.control.health_lag_ms
        if self.draining_since_ms is not None and reported_ms >= self.draining_since_ms:
            return Health(HealthState.DRAINING)
        if reported_ms < self.warm_from_ms:
            return Health(HealthState.WARMING)
        return Health(HealthState.READY)

    def load(self, now_ms: int) -> Load:
        """Return the reported load: `load_lag_ms` old, times `load_factor`."""
        reported_ms = now_ms - self.control.load_lag_ms
        while len(self.samples) > 1 and self.samples[1].at_ms <= reported_ms:
            self.samples.popleft()
        sample = self.samples[0]
        factor = self.control.load_factor
        return Load(
            self.control.slots,
            round(sample.in_flight * factor),
            round(sample.queued * factor),
            max(reported_ms, 0),
        )

    def record_sample(self, now_ms: int) -> None:
        """Store the current load, at most one sample per millisecond."""
        sample = LoadSample(now_ms, self.counters.in_flight, self.queued)
        if self.samples[-1].at_ms == now_ms:
            self.samples[-1] = sample
        else:
            self.samples.append(sample)
        oldest_ms = now_ms - self.control.load_lag_ms
        while len(self.samples) > 1 and self.samples[1].at_ms <= oldest_ms:
            self.samples.popleft()

    def take_fault(self, request: UpstreamRequest) -> Fault | None:
        """Return the first matching fault and reduce its count."""
        for fault in self.control.faults:
            if not request.path.startswith(fault.path):
                continue
            if fault.body_sha256 and fault.body_sha256 != request.body_sha256:
                continue
            if fault.count == 1:
                self.control.faults.remove(fault)
            elif fault.count > 1:
                fault.count -= 1
            return fault
        return None
