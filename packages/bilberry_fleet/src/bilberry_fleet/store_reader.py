"""Run a node's store reads, each in its own greenlet."""

from collections.abc import Callable

import gevent

from bilberry_core.clock import Clock
from bilberry_core.outcome import Failure, Result, Success
from bilberry_store.client import StoreClient
from bilberry_store.errors import StoreError, StoreErrorKind
from bilberry_store.wire import ObjectList, WatchBatch

from .node import FleetNode
from .read_schedule import ReadOperation, StoreRead


class StoreReader:
    """Run the store reads that are due and pass results to the node."""

    __slots__ = ("clock", "greenlets", "node", "on_change", "store")

    def __init__(
        self,
        node: FleetNode,
        store: StoreClient,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self.node = node
        self.store = store
        self.clock = clock
        self.on_change = on_change
        self.greenlets: set[gevent.Greenlet] = set()

    def close(self) -> None:
        """Stop the reads in flight."""
        gevent.killall(list(self.greenlets))
        self.greenlets.clear()

    def start_due_reads(self) -> None:
        """Start the reads that are due."""
        for read in self.node.due_reads(self.clock.now_ms()):
            greenlet = gevent.spawn(self.run, read)
            self.greenlets.add(greenlet)
            greenlet.link(self.greenlets.discard)

    def run(self, read: StoreRead) -> None:
        """Run one read."""
        error = READ_HANDLERS[read.operation](self, read)
        if error is not None:
            is_gone = error.kind is StoreErrorKind.GONE
            self.node.record_read_failure(read, is_gone, self.clock.now_ms())
        self.on_change()

    def list(self, read: StoreRead) -> StoreError | None:
        """List a kind."""
        listed: Result[ObjectList, StoreError] = self.store.list_objects(read.resource)
        if isinstance(listed, Failure):
            return listed.failure()
        self.node.apply_list(read, listed.unwrap(), self.clock.now_ms())
        return None

    def watch(self, read: StoreRead) -> StoreError | None:
        """Wait for changes of a kind."""
        batch: Result[WatchBatch, StoreError] = self.store.watch(
            read.resource, read.since, read.timeout_ms
        )
        if isinstance(batch, Success):
            self.node.apply_batch(read, batch.unwrap(), self.clock.now_ms())
            return None
        return batch.failure()

    def list_vms(self, read: StoreRead) -> StoreError | None:
        """Read the list of VMs."""
        vms = self.store.list_vms()
        if isinstance(vms, Failure):
            return vms.failure()
        now_ms = self.clock.now_ms()
        self.node.read_schedule.wall_offset_ms = self.clock.wall_ms() - now_ms
        self.node.apply_vm_list(read, vms.unwrap(), now_ms)
        return None


READ_HANDLERS: dict[
    ReadOperation, Callable[[StoreReader, StoreRead], StoreError | None]
] = {
    ReadOperation.LIST: StoreReader.list,
    ReadOperation.WATCH: StoreReader.watch,
    ReadOperation.VMS: StoreReader.list_vms,
}
