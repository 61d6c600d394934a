"""Schedule a node's reads of the store."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from bilberry_core.ids import stable_hash
from bilberry_store.backoff import Backoff

from .const import CONFIG_KINDS, KIND_PLAN
from .distribution import ConfigState
from .readiness import Readiness
from .settings import FleetSettings

RESOURCE_VMS = "vms"
# How often in a turn to look for other readers.
CHECKS_PER_TURN = 2


class ReadOperation(StrEnum):
    """Read operations of the object API."""

    LIST = "list"
    WATCH = "watch"
    VMS = "vms"


@dataclass(slots=True, frozen=True)
class StoreRead:
    """Describe one read; an extra one runs beside a waiting watch."""

    resource: str
    operation: ReadOperation
    since: int = 0
    timeout_ms: int = 0
    extra: bool = False


@dataclass(slots=True)
class ReadState:
    """Store whether a read is in flight and when the next may begin."""

    in_flight: bool = False
    catching_up: bool = False
    needs_list: bool = False
    next_ms: int = 0
    next_catch_up_ms: int = 0


@dataclass(slots=True)
class ReadSchedule:
    """Keep one watch per kind open and read the VM list periodically.

    `vm_list_readers` nodes read the VM list in turns of `vms_ms`, and this
    node's turn is `vm_list_turn`. Turns follow the wall clock, which is
    `wall_offset_ms` ahead of the monotonic one.
    """

    config: ConfigState
    readiness: Readiness
    settings: FleetSettings
    node_name: str
    plan_version: int = 0
    vm_list_readers: int = 1
    vm_list_turn: int = 0
    wall_offset_ms: int = 0
    next_turns_ms: int = 0
    store_down: bool = False
    next_probe_ms: int = 0
    states: dict[str, ReadState] = field(default_factory=dict)
    backoff: Backoff = field(init=False)

    def __post_init__(self) -> None:
        """Create the read state of each resource."""
        seed = stable_hash(self.node_name)
        self.backoff = Backoff(seed, max_ms=self.settings.store_backoff_max_ms)
        for resource in (RESOURCE_VMS, KIND_PLAN, *CONFIG_KINDS):
            self.states[resource] = ReadState()

    def update_turns(self, readers: Callable[[], list[str]], now_ms: int) -> None:
        """Read the VM list in turns with `readers`, this node among them.

        A read that was scheduled for another turn moves to the new one.
        """
        if now_ms < self.next_turns_ms:
            return
        self.next_turns_ms = now_ms + self.settings.vms_ms // CHECKS_PER_TURN
        names = readers()
        turn = names.index(self.node_name)
        if (len(names), turn) == (self.vm_list_readers, self.vm_list_turn):
            return
        self.vm_list_readers, self.vm_list_turn = len(names), turn
        state = self.states[RESOURCE_VMS]
        if not state.in_flight:
            state.next_ms = min(state.next_ms, self.next_vm_list_ms(now_ms))

    def due(self, now_ms: int) -> list[StoreRead]:
        """Return the reads that are due and mark them as in flight.

        During an outage, a single read at a time probes the store.
        """
        if self.store_down:
            return self.probe_reads(now_ms)
        reads: list[StoreRead] = []
        for resource, state in self.states.items():
            if not state.in_flight and now_ms >= state.next_ms:
                state.in_flight = True
                reads.append(self.next_read(resource, state))
        for resource in self.config.lagging_kinds():
            state = self.states[resource]
            may_catch_up = state.in_flight and now_ms >= state.next_catch_up_ms
            if may_catch_up and not state.catching_up:
                state.catching_up = True
                reads.append(self.extra_read(resource, state))
        return reads

    def probe_reads(self, now_ms: int) -> list[StoreRead]:
        """Return the read that was due first if a probe is due."""
        is_in_flight = any(state.in_flight for state in self.states.values())
        if is_in_flight or now_ms < self.next_probe_ms:
            return []
        resource, state = min(self.states.items(), key=lambda item: item[1].next_ms)
        state.in_flight = True
        return [self.next_read(resource, state)]

    def next_read(self, resource: str, state: ReadState) -> StoreRead:
        """Return the next read of a resource."""
        if resource == RESOURCE_VMS:
            return StoreRead(resource, ReadOperation.VMS)
        since = self.known_version(resource)
        if state.needs_list or since == 0:
            return StoreRead(resource, ReadOperation.LIST)
        is_confirmed = (
            resource == KIND_PLAN or resource in self.readiness.confirmed_at_ms
        )
        may_wait = is_confirmed and not self.store_down
        timeout_ms = self.settings.watch_ms if may_wait else 0
        return StoreRead(resource, ReadOperation.WATCH, since, timeout_ms)

    def extra_read(self, resource: str, state: ReadState) -> StoreRead:
        """Return an extra read of a kind whose watch is still waiting."""
        since = self.known_version(resource)
        operation = ReadOperation.WATCH
        if state.needs_list or since == 0:
            operation = ReadOperation.LIST
        return StoreRead(resource, operation, since, extra=True)

    def known_version(self, resource: str) -> int:
        """Return the version up to which a kind is known."""
        if resource == KIND_PLAN:
            return self.plan_version
        return self.config.kind_versions[resource]

    def record_answer(self, read: StoreRead, is_current: bool, now_ms: int) -> None:
        """Record an answered read; treat a stale replica as a failure."""
        state = self.states[read.resource]
        if not is_current:
            self.record_failure(read, now_ms)
            return
        if read.operation is ReadOperation.LIST:
            state.needs_list = False
        self.backoff.reset()
        self.store_down = False
        if read.extra:
            state.catching_up = False
            return
        state.in_flight = False
        state.next_ms = now_ms
        if read.operation is ReadOperation.VMS:
            state.next_ms = self.next_vm_list_ms(now_ms)
        elif read.operation is ReadOperation.LIST:
            state.next_ms = now_ms + self.settings.tick_ms

    def next_vm_list_ms(self, now_ms: int) -> int:
        """Return when this node's next turn to read the VM list begins."""
        turn_ms = self.settings.vms_ms
        cycle_ms = turn_ms * self.vm_list_readers
        wall_ms = now_ms + self.wall_offset_ms
        since_turn_ms = (wall_ms - turn_ms * self.vm_list_turn) % cycle_ms
        return now_ms + cycle_ms - since_turn_ms

    def record_failure(self, read: StoreRead, now_ms: int) -> None:
        """Record a failed read and back off, with jitter."""
        state = self.states[read.resource]
        if not self.store_down or now_ms >= self.next_probe_ms:
            self.next_probe_ms = now_ms + self.backoff.next_delay_ms()
        self.store_down = True
        if read.extra:
            state.catching_up = False
            state.next_catch_up_ms = self.next_probe_ms
            return
        state.in_flight = False
        state.next_ms = self.next_probe_ms

    def record_gone(self, read: StoreRead, now_ms: int) -> None:
        """Schedule a list of a kind whose history the store dropped."""
        state = self.states[read.resource]
        state.needs_list = True
        if read.extra:
            state.catching_up = False
        else:
            state.in_flight = False
            state.next_ms = now_ms
