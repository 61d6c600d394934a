"""Schedule a node's reads of the store."""

from dataclasses import dataclass, field
from enum import StrEnum

from bilberry_core.ids import stable_hash
from bilberry_store.backoff import Backoff

from .const import CONFIG_KINDS, KIND_PLAN
from .distribution import ConfigState
from .readiness import Readiness
from .settings import FleetSettings

SLOT_VMS = "vms"


class ReadOperation(StrEnum):
    """Read operations of the object API."""

    LIST = "list"
    WATCH = "watch"
    VMS = "vms"


@dataclass(slots=True, frozen=True)
class StoreRead:
    """Describe one read; an extra one runs beside a waiting watch."""

    slot: str
    operation: ReadOperation
    since: int = 0
    timeout_ms: int = 0
    extra: bool = False


@dataclass(slots=True)
class ReadSlot:
    """Store whether a read is in flight and when the next may begin."""

    waiting: bool = False
    catching_up: bool = False
    relist: bool = False
    next_ms: int = 0
    catch_up_ms: int = 0


@dataclass(slots=True)
class StoreReads:
    """Keep one watch per kind open and read the VM list periodically."""

    config: ConfigState
    readiness: Readiness
    settings: FleetSettings
    name: str
    plan_version: int = 0
    vms_readers: int = 1
    down: bool = False
    probe_ms: int = 0
    slots: dict[str, ReadSlot] = field(default_factory=dict)
    backoff: Backoff = field(init=False)

    def __post_init__(self) -> None:
        """Create the read state of each resource."""
        seed = stable_hash(self.name)
        self.backoff = Backoff(seed, max_ms=self.settings.store_backoff_max_ms)
        for slot in (SLOT_VMS, KIND_PLAN, *CONFIG_KINDS):
            self.slots[slot] = ReadSlot()

    def due(self, now_ms: int) -> list[StoreRead]:
        """Return the reads that are due and mark them as in flight.

        During an outage, a single read at a time probes the store.
        """
        if self.down:
            return self.probe(now_ms)
        found: list[StoreRead] = []
        for name, slot in self.slots.items():
            if not slot.waiting and now_ms >= slot.next_ms:
                slot.waiting = True
                found.append(self.read(name, slot))
        for name in self.config.lagging_kinds():
            slot = self.slots[name]
            may_begin = slot.waiting and now_ms >= slot.catch_up_ms
            if may_begin and not slot.catching_up:
                slot.catching_up = True
                found.append(self.catch_up(name, slot))
        return found

    def probe(self, now_ms: int) -> list[StoreRead]:
        """Return the read that was due first if a probe is due."""
        under_way = any(slot.waiting for slot in self.slots.values())
        if under_way or now_ms < self.probe_ms:
            return []
        name, slot = min(self.slots.items(), key=lambda item: item[1].next_ms)
        slot.waiting = True
        return [self.read(name, slot)]

    def read(self, name: str, slot: ReadSlot) -> StoreRead:
        """Return the next read of a resource."""
        if name == SLOT_VMS:
            return StoreRead(name, ReadOperation.VMS)
        since = self.since(name)
        if slot.relist or since == 0:
            return StoreRead(name, ReadOperation.LIST)
        confirmed = name == KIND_PLAN or name in self.readiness.confirmed
        may_wait = confirmed and not self.down
        timeout_ms = self.settings.watch_ms if may_wait else 0
        return StoreRead(name, ReadOperation.WATCH, since, timeout_ms)

    def catch_up(self, name: str, slot: ReadSlot) -> StoreRead:
        """Return an extra read of a kind whose watch is still waiting."""
        since = self.since(name)
        operation = ReadOperation.WATCH
        if slot.relist or since == 0:
            operation = ReadOperation.LIST
        return StoreRead(name, operation, since, extra=True)

    def since(self, name: str) -> int:
        """Return the version up to which a kind is known."""
        if name == KIND_PLAN:
            return self.plan_version
        return self.config.kind_versions[name]

    def answered(self, read: StoreRead, is_current: bool, now_ms: int) -> None:
        """Record an answered read; treat a stale replica as a failure."""
        slot = self.slots[read.slot]
        if not is_current:
            self.failed(read, now_ms)
            return
        if read.operation is ReadOperation.LIST:
            slot.relist = False
        self.backoff.reset()
        self.down = False
        if read.extra:
            slot.catching_up = False
            return
        slot.waiting = False
        slot.next_ms = now_ms
        if read.operation is ReadOperation.VMS:
            slot.next_ms = now_ms + self.settings.vms_ms * self.vms_readers
        elif read.operation is ReadOperation.LIST:
            slot.next_ms = now_ms + self.settings.tick_ms

    def failed(self, read: StoreRead, now_ms: int) -> None:
        """Record a failed read and back off, with jitter."""
        slot = self.slots[read.slot]
        if not self.down or now_ms >= self.probe_ms:
            self.probe_ms = now_ms + self.backoff.next_ms()
        self.down = True
        if read.extra:
            slot.catching_up = False
            slot.catch_up_ms = self.probe_ms
            return
        slot.waiting = False
        slot.next_ms = self.probe_ms

    def gone(self, read: StoreRead, now_ms: int) -> None:
        """Schedule a list of a kind whose history the store dropped."""
        slot = self.slots[read.slot]
        slot.relist = True
        if read.extra:
            slot.catching_up = False
        else:
            slot.waiting = False
            slot.next_ms = now_ms
