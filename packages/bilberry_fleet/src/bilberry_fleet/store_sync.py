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


class StoreSync:
    """Run the store reads that are due and pass results to the node."""

    __slots__ = ("changed", "clock", "greenlets", "node", "store")

    def __init__(
        self,
        node: FleetNode,
        store: StoreClient,
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        self.node = node
        self.store = store
        self.clock = clock
        self.changed = changed
        self.greenlets: set[gevent.Greenlet] = set()

    def close(self) -> None:
        """Stop the reads in flight."""
        gevent.killall(list(self.greenlets))
        self.greenlets.clear()

    def pump(self) -> None:
        """Start the reads that are due."""
        for read in self.node.due_reads(self.clock.now_ms()):
            greenlet = gevent.spawn(self.run, read)
            self.greenlets.add(greenlet)
            greenlet.link(self.greenlets.discard)

    def run(self, read: StoreRead) -> None:
        """Run one read."""
        error = READS[read.operation](self, read)
        if error is not None:
            gone = error.kind is StoreErrorKind.GONE
            self.node.record_read_failure(read, gone, self.clock.now_ms())
        self.changed()

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
        self.node.apply_vm_list(read, vms.unwrap(), self.clock.now_ms())
        return None


READS: dict[ReadOperation, Callable[[StoreSync, StoreRead], StoreError | None]] = {
    ReadOperation.LIST: StoreSync.list,
    ReadOperation.WATCH: StoreSync.watch,
    ReadOperation.VMS: StoreSync.list_vms,
}
