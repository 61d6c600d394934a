"""Messages of the simulated upstream's HTTP API."""

from enum import StrEnum

import msgspec

from ..const import (
    DEFAULT_COLD_FACTOR,
    DEFAULT_CRASH_DOWN_MS,
    DEFAULT_QUEUE,
    DEFAULT_SERVICE_MS,
    DEFAULT_SLOTS,
)


class HealthState(StrEnum):
    """Represent whether the upstream accepts requests."""

    READY = "ready"
    WARMING = "warming"
    DRAINING = "draining"


class Health(msgspec.Struct):
    """Represent the body of an answer to `/health`."""

    state: HealthState


class Load(msgspec.Struct):
    """Represent the body of an answer to `/load`."""

    slots: int
    in_flight: int
    queued: int
    measured_at_ms: int


class Identity(msgspec.Struct, kw_only=True, frozen=True):
    """Represent the names that an upstream puts into its answers."""

    name: str = "upstream"
    service: str = ""
    region: str = ""


class FaultAction(StrEnum):
    """Represent the kind of failure that a request meets.

    CRASH closes the listener and all connections, TRUNCATE ends the body
    after `after_bytes`, HANG never answers, GARBAGE sends bytes after a
    complete answer, ERROR answers with `status`, RESET closes the
    request's connection.
    """

    CRASH = "crash"
    TRUNCATE = "truncate"
    HANG = "hang"
    GARBAGE = "garbage"
    ERROR = "error"
    RESET = "reset"


class Fault(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Apply `action` to the next `count` matching requests, or to all if 0."""

    action: FaultAction
    path: str = "/"
    body_sha256: str = ""
    count: int = 0
    status: int = 500
    after_bytes: int = 0


class Control(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Represent the adjustable behaviour of the upstream.

    `/load` reports the load of `load_lag_ms` ago, times `load_factor`.
    """

    slots: int = DEFAULT_SLOTS
    queue: int = DEFAULT_QUEUE
    service_ms: int = DEFAULT_SERVICE_MS
    service_jitter: float = 0.0
    warm_ms: int = 0
    cold_factor: float = DEFAULT_COLD_FACTOR
    draining: bool = False
    refuse_when_draining: bool = False
    shed_next: int = 0
    health_lag_ms: int = 0
    load_lag_ms: int = 0
    load_factor: float = 1.0
    response_bytes: int = 0
    chunked: bool = False
    crash_down_ms: int = DEFAULT_CRASH_DOWN_MS
    exit_on_crash: bool = False
    faults: list[Fault] = []


class Echo(msgspec.Struct, kw_only=True):
    """Represent an answer that repeats its request.

    A test compares the two to detect an answer to another request.
    """

    upstream: str
    service: str
    region: str
    method: str
    path: str
    query: str
    request_id: str
    idempotency_key: str
    body_bytes: int
    body_sha256: str
    headers: dict[str, str]


class ExecutionState(StrEnum):
    """Represent the state of an execution."""

    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    EXPIRED = "expired"


class Execution(msgspec.Struct, kw_only=True):
    """Represent one request that began to run."""

    request_id: str
    idempotency_key: str
    method: str
    path: str
    body_sha256: str
    started_ms: int
    state: ExecutionState = ExecutionState.STARTED


class ExecutionList(msgspec.Struct):
    """Represent a list of executions, oldest first."""

    items: list[Execution]


class Counters(msgspec.Struct, kw_only=True):
    """Store counts of events since the start of the upstream."""

    started: int = 0
    finished: int = 0
    shed: int = 0
    cancelled: int = 0
    expired: int = 0
    crashed: int = 0
    connections: int = 0
    connections_open: int = 0
    in_flight: int = 0
    max_in_flight: int = 0
