"""Acquire and renew the planner's lease in the store."""

import logging
from collections.abc import Callable

import gevent
import msgspec

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.model import Metadata, StoredObject
from bilberry_store.client import StoreClient
from bilberry_store.errors import StoreErrorKind

from .const import KIND_LEASE, NAME_PLANNER_LEASE
from .events import FleetEvent, LeaseAcquired, LeaseLost
from .lease import LeaseChange, LeaseSpec, LeaseStateMachine, LeaseWrite
from .messages import PlanRecord
from .node import FleetNode
from .planner import PlanError, PlanErrorKind, PlanWriter
from .relay import lease_candidates

_LOGGER = logging.getLogger(__name__)

Emit = Callable[[FleetEvent], None]


class LeaseTask:
    """Campaign for the lease, renew it, and publish plans as holder."""

    __slots__ = (
        "claimed_epoch",
        "clock",
        "emit",
        "greenlets",
        "last_read_ms",
        "machine",
        "node",
        "plan_writer",
        "store",
    )

    def __init__(
        self, node: FleetNode, store: StoreClient, clock: Clock, emit: Emit
    ) -> None:
        self.node = node
        self.store = store
        self.clock = clock
        self.emit = emit
        self.machine = LeaseStateMachine(node.own.name, node.settings)
        self.plan_writer = PlanWriter(store)
        self.claimed_epoch = 0
        self.last_read_ms: int | None = None
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the greenlets."""
        self.greenlets = [gevent.spawn(self.lease_loop), gevent.spawn(self.expiry_loop)]

    def close(self) -> None:
        """Release the lease if held, and stop."""
        gevent.killall(self.greenlets)
        self.greenlets.clear()
        write = self.machine.release(self.clock.now_ms())
        self.report_loss()
        if write is not None:
            self.send_write(write)

    @property
    def is_candidate(self) -> bool:
        """Return whether this node campaigns for the lease."""
        membership = self.node.membership
        relays = membership.all_relays()
        return self.node.ready and self.node.own.name in lease_candidates(relays)

    def is_planner(self) -> bool:
        """Return whether this node may plan now."""
        held = self.machine.is_held(self.clock.now_ms())
        return held and self.claimed_epoch == self.machine.epoch

    def expiry_loop(self) -> None:
        """Report an expired lease even while a store call blocks."""
        while True:
            gevent.sleep(self.node.settings.tick_ms / MS_PER_SECOND)
            self.report_loss()

    def lease_loop(self) -> None:
        """Read and write the lease when due."""
        while True:
            self.run_once()
            gevent.sleep(self.node.settings.tick_ms / MS_PER_SECOND)

    def run_once(self) -> None:
        """Read the lease if due, write it if due, claim the plan if held."""
        now_ms = self.clock.now_ms()
        held = self.machine.is_held(now_ms)
        if held or self.is_candidate:
            if self.is_read_due(now_ms):
                self.read()
            self.machine.plan_epoch = self.node.plan.order[0]
            write = self.machine.next_write(self.clock.now_ms(), self.is_candidate)
            if write is not None:
                self.send_write(write)
        self.report_loss()
        if self.machine.is_held(self.clock.now_ms()):
            self.claim_plan()

    def is_read_due(self, now_ms: int) -> bool:
        """Return whether to read now.

        A holder reads only to resolve a pending write.
        """
        if self.machine.is_held(now_ms) and self.machine.pending_write is None:
            return False
        if self.last_read_ms is None:
            return True
        return now_ms - self.last_read_ms >= self.node.settings.lease_poll_ms

    def read(self) -> None:
        """Read the lease from the store."""
        self.last_read_ms = self.clock.now_ms()
        result = self.store.get(KIND_LEASE, NAME_PLANNER_LEASE)
        now_ms = self.clock.now_ms()
        if isinstance(result, Success):
            self.observe(result.unwrap(), now_ms)
        elif result.failure().kind is StoreErrorKind.NOT_FOUND:
            self.machine.observe(None, 0, now_ms)

    def observe(self, stored: StoredObject, now_ms: int) -> None:
        """Record the lease as stored."""
        spec = msgspec.convert(stored.spec, LeaseSpec)
        self.machine.observe(spec, stored.metadata.version, now_ms)

    def send_write(self, write: LeaseWrite) -> None:
        """Write the lease if its version is still the expected one."""
        stored = StoredObject(
            kind=KIND_LEASE,
            metadata=Metadata(name=NAME_PLANNER_LEASE),
            spec=msgspec.to_builtins(write.spec),
        )
        result = self.store.put(stored, write.if_version)
        now_ms = self.clock.now_ms()
        if isinstance(result, Success):
            version = result.unwrap().metadata.version
            self.machine.record_write(write, version, now_ms)
            return
        error = result.failure()
        self.last_read_ms = None
        if error.current is not None:
            self.observe(error.current, now_ms)

    def claim_plan(self) -> None:
        """Rewrite the stored plan under this node's epoch, once per epoch."""
        epoch = self.machine.epoch
        if self.claimed_epoch == epoch:
            return
        claimed = self.plan_writer.claim(epoch)
        if isinstance(claimed, Failure):
            _LOGGER.warning(
                "lease: could not claim the plan: %s", claimed.failure().reason
            )
            return
        now_ms = self.clock.now_ms()
        if not self.machine.is_held(now_ms):
            return
        self.claimed_epoch = epoch
        record = claimed.unwrap()
        if record is not None:
            self.node.apply_plan(record)
        self.node.announce_planner(epoch, now_ms)
        _LOGGER.info("lease: planning under epoch %s", epoch)
        self.emit(LeaseAcquired(epoch))

    def report_loss(self) -> None:
        """Report a lost lease."""
        change = self.machine.pop_change(self.clock.now_ms())
        if change is LeaseChange.LOST and self.claimed_epoch == self.machine.epoch:
            _LOGGER.warning("lease: epoch %s is over", self.machine.epoch)
            self.emit(LeaseLost(self.machine.epoch))

    def publish(self, body: bytes, epoch: int) -> Result[PlanRecord, PlanError]:
        """Publish a plan under the lease's epoch."""
        if not self.is_planner() or epoch != self.machine.epoch:
            return Failure(PlanError(kind=PlanErrorKind.NOT_HOLDER))
        result = self.plan_writer.publish(body, epoch)
        if isinstance(result, Success):
            self.node.apply_plan(result.unwrap())
        return result
