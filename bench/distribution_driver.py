"""Drive many fleet machines in one process with delayed messages."""

import heapq
import random
from collections.abc import Callable

import msgspec

from bilberry_core.clock import ManualClock
from bilberry_core.outcome import Failure
from bilberry_fleet.const import (
    CONFIG_KINDS,
    FACT_PREFIX_MEMBER,
    KIND_PLAN,
    NAME_CURRENT_PLAN,
)
from bilberry_fleet.events import ConfigInstalled, PlanInstalled
from bilberry_fleet.messages import Member, PullRequest, PullResponse
from bilberry_fleet.node import FleetNode
from bilberry_fleet.pull_exchange import has_updates, make_request, make_response
from bilberry_fleet.pull_schedule import PullTarget
from bilberry_fleet.read_schedule import ReadOperation, StoreRead
from bilberry_fleet.settings import FleetSettings
from bilberry_resources.codec import encode
from bilberry_store.wire import ObjectList, VmItem, VmState, WatchBatch
from bilberry_testing.platform import ObjectTable
from bilberry_testing.platform.messages import PlatformObject
from bilberry_testing.platform.table import RefusalReason

from .distribution_members import member_fact
from .distribution_nodes import Driven, Waiting

HTTP_REQUEST_BYTES = 150
HTTP_ANSWER_BYTES = 112
LOCAL_MS = 1
DOMAIN_MS = 4
REGION_MS = 55
STORE_MS = 5
STORE_REGION = "region-0"


class Driver:
    """Own the clock, the messages under way, the nodes and the store."""

    def __init__(self, seed: int, settings: FleetSettings) -> None:
        self.clock = ManualClock(monotonic_ms=1_000_000)
        self.rng = random.Random(seed)
        self.settings = settings
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0
        self.nodes: dict[str, Driven] = {}
        self.by_address: dict[str, Driven] = {}
        self.table = ObjectTable()
        self.frozen: ObjectTable | None = None
        self.store_down = False
        self.store_cut: set[str] = set()
        self.store_calls = 0
        self.store_watches: list[Waiting] = []
        self.vms: list[VmItem] = []
        self.cut: Callable[[Member, Member], bool] = lambda first, second: False

    @property
    def now(self) -> int:
        """Return the driver's time in ms."""
        return self.clock.now_ms()

    def later(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run `action` after `delay_ms`."""
        self.order += 1
        heapq.heappush(self.queue, (self.now + delay_ms, self.order, action))

    def run(self, length_ms: int) -> None:
        """Let time pass."""
        end_ms = self.now + length_ms
        while self.queue and self.queue[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self.queue)
            self.clock.advance(at_ms - self.now)
            action()
        self.clock.advance(end_ms - self.now)

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> bool:
        """Let time pass until `condition` holds; return whether it did."""
        end_ms = self.now + limit_ms
        while self.now < end_ms:
            if condition():
                return True
            self.run(100)
        return condition()

    def add(self, member: Member, peers: list[str] | None = None) -> Driven:
        """Start a node."""
        node = FleetNode(member, self.settings, self.rng.getrandbits(32))
        driven = Driven(node)
        self.nodes[member.name] = driven
        self.by_address[member.peer_address] = driven
        node.start(self.now, peers or [])
        self.later(self.rng.randrange(self.settings.tick_ms), lambda: self.tick(driven))
        return driven

    def warm_start(self) -> None:
        """Let every node know all others and the store's content at once."""
        facts = [member_fact(d.node.own) for d in self.nodes.values()]
        lists = {
            kind: msgspec.json.decode(
                msgspec.json.encode(self.table.list(kind)), type=ObjectList
            )
            for kind in CONFIG_KINDS
        }
        for driven in self.nodes.values():
            node = driven.node
            for fact in facts:
                if fact.key != FACT_PREFIX_MEMBER + node.own.name:
                    node.apply_fact(fact, "", self.now)
            node.readiness.record_peer("warm", 0)
            for kind, listed in lists.items():
                node.apply_list(StoreRead(kind, ReadOperation.LIST), listed, self.now)
            node.pull_schedule.bootstrap_addresses = []

    def list_as_leaving(self, name: str) -> None:
        """Let the VM list name a VM as leaving from now on."""
        self.vms = [
            msgspec.structs.replace(vm, state=VmState.LEAVING)
            if vm.name == name
            else vm
            for vm in self.vms
        ]

    def tick(self, driven: Driven) -> None:
        """Run a node's tick and plan the next one."""
        if driven.alive:
            if not driven.paused:
                driven.node.tick(self.now)
                self.pump(driven)
            self.later(self.settings.tick_ms, lambda: self.tick(driven))

    def pump(self, driven: Driven) -> None:
        """Send what is due and wake the calls that wait for news."""
        node = driven.node
        for event in node.pop_events():
            if isinstance(event, ConfigInstalled):
                self.record(driven, event.version)
            elif isinstance(event, PlanInstalled):
                driven.installed.setdefault(-event.plan.version, self.now)
        for read in node.due_reads(self.now):
            self.send_read(driven, read)
        for target in node.pull_schedule.due(self.now):
            self.send_pull(driven, target)
        mark = (node.config.version, *node.plan.order, node.facts.sequence)
        if mark != driven.mark:
            driven.mark = mark
            self.wake(driven)

    def record(self, driven: Driven, version: int) -> None:
        """Note an installed version and whether it went down."""
        driven.installed.setdefault(version, self.now)
        driven.reverts += version < driven.highest
        driven.highest = max(driven.highest, version)

    def delay_ms(self, first: Member, second: Member) -> int:
        """Return the one-way delay between two nodes."""
        base_ms = LOCAL_MS
        if first.region != second.region:
            base_ms = REGION_MS
        elif first.failure_domain != second.failure_domain:
            base_ms = DOMAIN_MS
        return base_ms + self.rng.randrange(1 + base_ms // 5)

    def send_pull(self, driven: Driven, target: PullTarget) -> None:
        """Carry a pull to its target."""
        request = make_request(driven.node, target)
        size = len(encode(request)) + HTTP_REQUEST_BYTES
        driven.bytes_sent += size
        driven.pulls += 1
        limit_ms = request.hold_ms + self.settings.pull_timeout_ms
        answered: list[bool] = []

        def fail() -> None:
            if not answered and driven.alive:
                answered.append(True)
                driven.node.record_pull_failure(target, request, self.now)
                self.pump(driven)

        def reply(answer: PullResponse) -> None:
            if not answered and driven.runs:
                answered.append(True)
                driven.bytes_received += len(encode(answer)) + HTTP_ANSWER_BYTES
                driven.node.apply_response(target, request, answer, self.now)
                self.pump(driven)

        peer = self.by_address.get(target.address)
        self.later(limit_ms, fail)
        if peer is None or not self.connected(driven, peer):
            return
        if not peer.alive:
            self.later(2 * LOCAL_MS, fail)
            return
        delay = self.delay_ms(driven.node.own, peer.node.own)
        self.later(delay, lambda: self.arrive(driven, peer, request, size, reply))

    def connected(self, first: Driven, second: Driven) -> bool:
        """Tell whether messages pass between two nodes."""
        return not self.cut(first.node.own, second.node.own)

    def arrive(
        self,
        sender: Driven,
        peer: Driven,
        request: PullRequest,
        size: int,
        reply: Callable[[PullResponse], None],
    ) -> None:
        """Hand a pull to its answerer."""
        if not peer.runs:
            return
        peer.bytes_received += size
        denied = peer.node.apply_request(request, self.now)
        hold_ms = min(request.hold_ms, self.settings.poll_hold_ms)
        waiting = Waiting(sender, self.now + hold_ms, request, None, denied, reply)
        self.pump(peer)
        if denied is not None or not hold_ms or has_updates(peer.node, request):
            self.answer(peer, waiting)
            return
        peer.waiting.append(waiting)
        self.later(hold_ms, lambda: self.answer(peer, waiting))

    def answer(self, peer: Driven, waiting: Waiting) -> None:
        """Answer a pull once."""
        if waiting.done:
            return
        waiting.done = True
        request, reply = waiting.request, waiting.reply
        if not peer.runs or request is None or reply is None:
            return
        answer = make_response(peer.node, request, waiting.denied, self.now)
        peer.bytes_sent += len(encode(answer)) + HTTP_ANSWER_BYTES
        if self.connected(waiting.node, peer):
            delay = self.delay_ms(peer.node.own, waiting.node.node.own)
            self.later(delay, lambda: reply(answer))

    def wake(self, peer: Driven) -> None:
        """Answer the waiting pulls for which there is news."""
        still = []
        for waiting in peer.waiting:
            assert waiting.request is not None
            if waiting.done:
                continue
            if has_updates(peer.node, waiting.request):
                self.answer(peer, waiting)
            else:
                still.append(waiting)
        peer.waiting = still

    def send_read(self, driven: Driven, read: StoreRead) -> None:
        """Carry a read to the store."""
        self.store_calls += 1
        driven.bytes_sent += HTTP_REQUEST_BYTES
        delay_ms = self.store_delay_ms(driven)
        if driven.node.own.region in self.store_cut:
            self.give(driven, read, None)
            return
        self.later(delay_ms, lambda: self.store_answer(driven, read))

    def store_delay_ms(self, driven: Driven) -> int:
        """Return the one-way delay to the store, in the first region."""
        if driven.node.own.region == STORE_REGION:
            return STORE_MS
        return STORE_MS + REGION_MS

    def store_answer(self, driven: Driven, read: StoreRead) -> None:
        """Answer a read, or let a watch wait."""
        if self.store_down:
            self.give(driven, read, None)
            return
        table = self.frozen or self.table
        if read.operation is ReadOperation.VMS:
            self.give(driven, read, self.vms)
            return
        if read.operation is ReadOperation.LIST:
            data = msgspec.json.encode(table.list(read.resource))
            self.give(driven, read, msgspec.json.decode(data, type=ObjectList))
            return
        changes = table.changes(read.resource, read.since)
        if isinstance(changes, Failure):
            assert changes.failure().reason is RefusalReason.TOO_OLD
            self.give(driven, read, None, gone=True)
            return
        found = changes.unwrap()
        if found.events or not read.timeout_ms:
            data = msgspec.json.encode(found)
            self.give(driven, read, msgspec.json.decode(data, type=WatchBatch))
            return
        waiting = Waiting(driven, self.now + read.timeout_ms, None, read)
        self.store_watches.append(waiting)
        self.later(read.timeout_ms, lambda: self.end_watch(waiting))

    def end_watch(self, waiting: Waiting) -> None:
        """Answer a watch that saw no change."""
        if not waiting.done:
            waiting.done = True
            assert waiting.read is not None
            read = waiting.read
            short = StoreRead(read.resource, read.operation, read.since, 0, read.extra)
            self.store_answer(waiting.node, short)

    def give(
        self,
        driven: Driven,
        read: StoreRead,
        answer: ObjectList | WatchBatch | list[VmItem] | None,
        gone: bool = False,
    ) -> None:
        """Carry the store's answer to the node."""
        if driven.node.own.region in self.store_cut:
            answer = None

        def take() -> None:
            if not driven.alive:
                return
            node = driven.node
            if answer is None:
                node.record_read_failure(read, gone, self.now)
            elif isinstance(answer, ObjectList):
                driven.bytes_received += len(encode(answer)) + HTTP_ANSWER_BYTES
                node.apply_list(read, answer, self.now)
            elif isinstance(answer, WatchBatch):
                driven.bytes_received += len(encode(answer)) + HTTP_ANSWER_BYTES
                node.apply_batch(read, answer, self.now)
            else:
                driven.bytes_received += HTTP_ANSWER_BYTES + 250 * len(answer)
                node.apply_vm_list(read, answer, self.now)
            self.pump(driven)

        self.later(self.store_delay_ms(driven), take)

    def put(self, kind: str, name: str, spec: dict[str, object]) -> int:
        """Change an object in the store; return its version."""
        value = PlatformObject(kind=kind, metadata={}, spec=spec)
        self.table.put(kind, name, value).unwrap()
        self.wake_watches()
        return self.table.version

    def put_plan(self, epoch: int, body: object) -> int:
        """Publish a plan; return its version."""
        return self.put(KIND_PLAN, NAME_CURRENT_PLAN, {"epoch": epoch, "body": body})

    def wake_watches(self) -> None:
        """Answer the watches that a change concerns."""
        still = []
        for waiting in self.store_watches:
            if waiting.done:
                continue
            read = waiting.read
            assert read is not None
            table = self.frozen or self.table
            if table.kind_table(read.resource).events_since(read.since):
                self.end_watch(waiting)
            else:
                still.append(waiting)
        self.store_watches = still

    def set_down(self, down: bool) -> None:
        """Start or end a store outage; waiting watches break."""
        self.store_down = down
        for waiting in self.store_watches:
            if down and not waiting.done:
                waiting.done = True
                assert waiting.read is not None
                self.give(waiting.node, waiting.read, None)
        if down:
            self.store_watches = []

    def kill(self, name: str) -> None:
        """Stop a node at once."""
        self.nodes[name].alive = False

    def live(self) -> list[Driven]:
        """Return the nodes that run."""
        return [driven for driven in self.nodes.values() if driven.runs]

    def have(self, version: int) -> bool:
        """Tell whether every live node installed a version."""
        return all(d.node.config.version >= version for d in self.live())
