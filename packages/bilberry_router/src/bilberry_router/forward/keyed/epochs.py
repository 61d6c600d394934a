"""Maintain the epoch, the versioned list of members that own keys."""

import logging
from typing import Protocol

import gevent
import msgspec
from gevent import Greenlet
from gevent.pool import Pool

from bilberry_balance.key_handover import Handover
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import rendezvous_order
from bilberry_core.outcome import Failure, Result, Success
from bilberry_fleet.messages import MemberState
from bilberry_resources.model import Metadata, StoredObject
from bilberry_store.errors import StoreError, StoreErrorKind

from ...state import NodeState
from .desk import KeyCoordinator
from .messages import (
    KIND_KEY_EPOCH,
    NAME_KEY_EPOCH,
    Acknowledgement,
    EpochReply,
    EpochSpec,
    HandoverCall,
    node_name,
)
from .peers import PATH_EPOCH, PATH_HANDOVER, KeyPeerClient

_LOGGER = logging.getLogger(__name__)

DEFAULT_TICK_MS = 700
IDLE_TICK_MS = 5_000
DEFAULT_PEER_TIMEOUT_MS = 500
HANDOVER_TIMEOUT_MS = 2_000
MAX_HANDOVER_ATTEMPTS = 10
MIN_EPOCH_MS = 1_500
JOIN_WAIT_MS = 5_000
MAX_KEY_OWNERS = 12
OWNERS_SEED = "key-owners"


class EpochStore(Protocol):
    """The platform's store, in which the epoch is kept."""

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        """Return one object."""
        ...

    def put(
        self, stored: StoredObject, if_version: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object if its version is `if_version`."""
        ...


class EpochTask:
    """Read, confirm and update the epoch; send handovers."""

    __slots__ = (
        "clock",
        "coordinator",
        "last_write_ms",
        "peer_client",
        "send_pool",
        "started_ms",
        "state",
        "store",
        "stored_version",
        "task",
    )

    def __init__(
        self,
        state: NodeState,
        store: EpochStore | None,
        coordinator: KeyCoordinator,
        peer_client: KeyPeerClient,
        clock: Clock,
    ) -> None:
        self.state = state
        self.store = store
        self.coordinator = coordinator
        self.peer_client = peer_client
        self.clock = clock
        self.stored_version = 0
        self.last_write_ms = 0
        self.started_ms = clock.now_ms()
        self.task: Greenlet | None = None
        self.send_pool = Pool()
        coordinator.send_handover = self.send_handover
        coordinator.read_epoch = self.read_epoch

    def start(self) -> None:
        """Start the task."""
        self.task = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop; wait up to HANDOVER_TIMEOUT_MS for handovers in progress."""
        if self.task is not None:
            self.task.kill()
            self.task = None
        self.send_pool.join(timeout=HANDOVER_TIMEOUT_MS / MS_PER_SECOND)
        self.send_pool.kill()

    def run(self) -> None:
        """Tick until closed."""
        while True:
            try:
                self.tick()
            except OSError as error:
                _LOGGER.warning("keys: Tick failed: %s", error)
            gevent.sleep(self.tick_interval_ms() / MS_PER_SECOND)

    def tick_interval_ms(self) -> int:
        """Return the time to the next tick, short for owners and writers."""
        newest = self.coordinator.ownership.newest
        is_owner = newest is not None and self.coordinator.member in newest.members
        if newest is None or is_owner or self.is_writer():
            return DEFAULT_TICK_MS
        return IDLE_TICK_MS

    def tick(self) -> None:
        """Read the epoch, update it if this node may, and confirm it."""
        self.coordinator.expire_runs()
        self.peer_client.close_except(
            {member.peer_address for member in self.state.members}
        )
        reached = self.read_epoch()
        if reached and self.is_writer():
            self.update_epoch()
        newest = self.coordinator.ownership.newest
        if newest is not None and (not reached or not newest.heard_from_former_member):
            others = [
                name for name in newest.members if name != self.coordinator.member
            ]
            former = [name for name in newest.former_members if name not in others]
            self.query_members(
                others + [name for name in former if name != self.coordinator.member]
            )

    def read_epoch(self) -> bool:
        """Apply the store's epoch; return whether the store answered."""
        if self.store is None:
            return False
        asked_ms = self.clock.now_ms()
        result = self.store.get(KIND_KEY_EPOCH, NAME_KEY_EPOCH)
        if isinstance(result, Failure):
            return result.failure().kind is StoreErrorKind.NOT_FOUND
        return self.apply_stored(result.unwrap(), asked_ms)

    def apply_stored(self, stored: StoredObject, asked_ms: int) -> bool:
        """Apply an epoch that the store held at `asked_ms` or later.

        Return False if the object is not a valid epoch.
        """
        decoded = parse_epoch_spec(stored)
        if isinstance(decoded, Failure):
            _LOGGER.error("keys: Invalid epoch in the store: %s.", decoded.failure())
            return False
        spec = decoded.unwrap()
        self.stored_version = stored.metadata.version
        self.coordinator.on_epoch(spec.number, spec.members, spec.former)
        self.coordinator.ownership.on_confirmed(spec.number, asked_ms)
        return True

    def is_writer(self) -> bool:
        """Return whether this node is the one to update the epoch.

        A node that is not yet a member first waits JOIN_WAIT_MS to learn of
        its peers; otherwise it would remove them from the epoch.
        """
        own_name = self.state.settings.node.name
        live = self.live_nodes()
        newest = self.coordinator.ownership.newest
        if newest is not None and self.coordinator.member not in newest.members:
            age_ms = self.clock.now_ms() - self.started_ms
            if age_ms < JOIN_WAIT_MS:
                return False
        return own_name in live and live[0] == own_name and not self.state.is_leaving

    def live_nodes(self) -> list[str]:
        """Return the names of the live nodes, sorted."""
        members = self.state.members
        return sorted(m.name for m in members if m.state is MemberState.LIVE)

    def update_epoch(self) -> None:
        """Write the next epoch if the members have changed."""
        newest = self.coordinator.ownership.newest
        current = newest.members if newest else ()
        desired_members = self.desired_members(current)
        now_ms = self.clock.now_ms()
        if desired_members == current or now_ms - self.last_write_ms < MIN_EPOCH_MS:
            return
        number = newest.number + 1 if newest else 1
        spec = EpochSpec(number, desired_members, current)
        stored = StoredObject(
            kind=KIND_KEY_EPOCH,
            metadata=Metadata(name=NAME_KEY_EPOCH, version=self.stored_version),
            spec={
                "number": spec.number,
                "members": list(spec.members),
                "former": list(spec.former),
            },
        )
        assert self.store is not None, "epoch task runs without a store"
        result = self.store.put(stored, self.stored_version)
        if isinstance(result, Success):
            self.last_write_ms = now_ms
            self.apply_stored(result.unwrap(), now_ms)

    def desired_members(self, current: tuple[str, ...]) -> tuple[str, ...]:
        """Return the members that the epoch should have.

        A live node that does not answer stays a member if it is one.
        """
        owners = rendezvous_order(OWNERS_SEED, self.live_nodes())[:MAX_KEY_OWNERS]
        member_by_node = {node_name(member): member for member in current}
        own_name = self.state.settings.node.name
        members = {self.coordinator.member} if own_name in owners else set()
        replies = self.query_nodes([name for name in owners if name != own_name])
        for name in owners:
            if name == own_name:
                continue
            member = (
                replies[name].member if name in replies else member_by_node.get(name)
            )
            if member is not None:
                members.add(member)
        return tuple(sorted(members))

    def query_members(self, members: list[str]) -> None:
        """Query members for their newest epoch and record the replies."""
        asked_ms = self.clock.now_ms()
        replies = self.query_nodes([node_name(member) for member in members])
        now_ms = self.clock.now_ms()
        wall_ms = self.clock.wall_ms()
        for reply in replies.values():
            self.coordinator.ownership.on_peer_epoch(
                reply.member, reply.epoch, asked_ms, now_ms, wall_ms
            )
        self.record_ended_members(
            {name: reply.member for name, reply in replies.items()}
        )

    def record_ended_members(self, running: dict[str, str]) -> None:
        """Record former members whose node now runs another process."""
        newest = self.coordinator.ownership.newest
        assert newest is not None, "members were queried without an epoch"
        running = {**running, self.state.settings.node.name: self.coordinator.member}
        for former in newest.former_members:
            if running.get(node_name(former), former) != former:
                now_ms, wall_ms = self.clock.now_ms(), self.clock.wall_ms()
                self.coordinator.ownership.on_member_ended(former, now_ms, wall_ms)

    def query_nodes(self, names: list[str]) -> dict[str, EpochReply]:
        """Query nodes concurrently; return the replies by node name."""
        jobs = {name: gevent.spawn(self.query_node, name) for name in names}
        gevent.joinall(list(jobs.values()))
        return {n: job.value for n, job in jobs.items() if job.value is not None}

    def query_node(self, name: str) -> EpochReply | None:
        """Return a node's member name and newest epoch, None on failure."""
        peer_address = self.peer_address(name)
        if not peer_address:
            return None
        result = self.peer_client.call(
            peer_address, PATH_EPOCH, None, EpochReply, DEFAULT_PEER_TIMEOUT_MS
        )
        return result.value_or(None)

    def peer_address(self, name: str) -> str:
        """Return the peer address of a node, empty if it is not known."""
        for member in self.state.members:
            if member.name == name:
                return member.peer_address
        return ""

    def send_handover(self, handover: Handover) -> None:
        """Send a handover in the background."""
        self.send_pool.spawn(self.deliver, handover)

    def deliver(self, handover: Handover) -> None:
        """Send a handover until it is accepted or a newer epoch exists."""
        call = HandoverCall(handover.target, handover)
        for _ in range(MAX_HANDOVER_ATTEMPTS):
            peer_address = self.peer_address(node_name(handover.target))
            newest = self.coordinator.ownership.newest
            if newest is None or newest.number != handover.epoch:
                return
            if peer_address:
                result = self.peer_client.call(
                    peer_address,
                    PATH_HANDOVER,
                    call,
                    Acknowledgement,
                    HANDOVER_TIMEOUT_MS,
                )
                if result.map(lambda reply: reply.accepted).value_or(False):
                    return
            gevent.sleep(DEFAULT_PEER_TIMEOUT_MS / MS_PER_SECOND)
        _LOGGER.warning("keys: Handover to %s failed.", handover.target)


def parse_epoch_spec(stored: StoredObject) -> Result[EpochSpec, str]:
    """Return the epoch in a stored object, or why it is invalid."""
    try:
        return Success(msgspec.convert(stored.spec, EpochSpec))
    except msgspec.ValidationError as error:
        return Failure(str(error))
