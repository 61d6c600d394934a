"""The options measured: how nodes bring requests to endpoints."""

import random
from collections import deque
from collections.abc import Callable, Sequence

from bilberry_balance.admission import (
    AdmissionQueue,
    Admit,
    Admitted,
    QueuePriority,
    Wait,
)
from bilberry_balance.const import (
    DEFAULT_MAX_RUNNING_PER_SLOT,
    POLICY_ADAPTIVE_FAILOVER,
    POLICY_FASTEST,
    POLICY_LEAST_CONNECTIONS,
    POLICY_PROPORTIONAL,
    POLICY_QUOTA,
    POLICY_RANDOM,
    POLICY_ROUND_ROBIN,
    POLICY_SATURATION,
    POLICY_SOFT_QUOTA,
    POLICY_TWO_CHOICES,
)
from bilberry_balance.endpoint import AttemptOutcome, EndpointShare, LoadReport
from bilberry_balance.pool import Pool
from bilberry_balance.shares import compute_connection_share, compute_slot_shares
from bilberry_core.registry import Registry

from .balance_model import CONNECTIONS, NODES, Request, ServiceSize
from .balance_sim import Simulation

MAX_TRIES = 3
MEMBERS = [f"n{i}" for i in range(NODES)]

CENTRAL = "central"
BASELINES = (
    POLICY_ROUND_ROBIN,
    POLICY_RANDOM,
    POLICY_LEAST_CONNECTIONS,
    POLICY_PROPORTIONAL,
    POLICY_SATURATION,
    POLICY_ADAPTIVE_FAILOVER,
    POLICY_FASTEST,
)

OPTIONS: Registry[str, Callable[[Simulation, int], "Option"]] = Registry()


class Option:
    """Take requests at nodes and bring them to endpoints."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        self.simulation = simulation
        self.rng = random.Random(seed)
        self.messages = 0

    def arrive(self, request: Request) -> None:
        """Take a request that came in at its node."""
        raise NotImplementedError

    def on_reports(self, reports: Sequence[tuple[int, int]]) -> None:
        """Take lagging load reports; most options ignore them."""


@OPTIONS.register(CENTRAL)
class Central(Option):
    """Bring each request to a free slot through one perfect queue."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        super().__init__(simulation, seed)
        self.in_flight = [0] * simulation.size.endpoints
        self.queue: deque[Request] = deque()

    def arrive(self, request: Request) -> None:
        """Send the request to the least used endpoint, or queue it."""
        least = min(range(len(self.in_flight)), key=self._rank)
        size = self.simulation.size
        if self.in_flight[least] >= size.slots:
            if len(self.queue) < size.slots * size.endpoints:
                self.queue.append(request)
            return
        self.in_flight[least] += 1
        request.endpoint = least
        self.simulation.send(request.node, request, self.done)

    def done(self, request: Request, answered: bool) -> None:
        """End a request and send the next one."""
        self.in_flight[request.endpoint] -= 1
        request.done_ms = self.simulation.events.now_ms
        while self.queue:
            waiting = self.queue.popleft()
            if waiting.deadline_ms > self.simulation.events.now_ms:
                self.arrive(waiting)
                return

    def _rank(self, endpoint: int) -> tuple[float, int]:
        slow = self.simulation.slowness(endpoint) > 1
        return self.in_flight[endpoint] / self.simulation.size.slots, slow


def node_shares(size: ServiceSize, node: str) -> list[EndpointShare]:
    """Return a node's part of the slots and connections."""
    names = [f"e{i:02}" for i in range(size.endpoints)]
    shares = compute_slot_shares([(name, size.slots) for name in names], MEMBERS, node)
    connections = compute_connection_share(CONNECTIONS, MEMBERS)
    return [
        EndpointShare(name, size.slots, CONNECTIONS, shares[name], connections)
        for name in names
    ]


class Direct(Option):
    """Send each request at once to the endpoint that a policy picks."""

    policy = POLICY_RANDOM

    def __init__(self, simulation: Simulation, seed: int) -> None:
        super().__init__(simulation, seed)
        self.pools = []
        for index, member in enumerate(MEMBERS):
            pool = Pool(self.policy, seed * NODES + index)
            pool.update(node_shares(simulation.size, member), 0)
            self.pools.append(pool)

    def arrive(self, request: Request) -> None:
        """Send the request at once."""
        self.try_once(request)

    def try_once(self, request: Request, exclude: frozenset[str] = frozenset()) -> None:
        """Pick an endpoint and send."""
        now_ms = int(self.simulation.events.now_ms)
        pick = self.pools[request.node].pick(now_ms, exclude, may_wait=False)
        if pick is None:
            self.ended(request)
            return
        self.launch(request, pick.endpoint)

    def launch(self, request: Request, name: str) -> None:
        """Send a request to a picked endpoint."""
        request.endpoint = int(name[1:])
        request.tries += 1
        self.pools[request.node].on_request_started(
            name, int(self.simulation.events.now_ms)
        )
        self.simulation.send(request.node, request, self.done)

    def done(self, request: Request, answered: bool) -> None:
        """Learn from the end of an attempt; try again after a shed."""
        now_ms = self.simulation.events.now_ms
        name = f"e{request.endpoint:02}"
        end = AttemptOutcome.ANSWERED if answered else AttemptOutcome.SHED
        latency_ms = now_ms - request.sent_ms
        pool = self.pools[request.node]
        pool.on_request_finished(name, latency_ms, end, int(now_ms))
        in_time = request.deadline_ms > now_ms
        if not answered and request.tries < MAX_TRIES and in_time:
            self.try_once(request, frozenset({name}))
            return
        if answered:
            request.done_ms = now_ms
        self.ended(request)

    def ended(self, request: Request) -> None:
        """Note that a request needs nothing more."""

    def on_reports(self, reports: Sequence[tuple[int, int]]) -> None:
        """Hand the reports to every node's pool."""
        now_ms = int(self.simulation.events.now_ms)
        for index, (in_flight, queued) in enumerate(reports):
            report = LoadReport(self.simulation.size.slots, in_flight, queued, now_ms)
            for pool in self.pools:
                pool.on_load(f"e{index:02}", report, now_ms)


def _direct(policy_name: str) -> type[Direct]:
    return type(f"Direct_{policy_name}", (Direct,), {"policy": policy_name})


for _name in (*BASELINES, POLICY_TWO_CHOICES):
    OPTIONS.register(_name)(_direct(_name))


@OPTIONS.register("quota")
class Quota(Direct):
    """Hold requests at the node until one of its own slots is free."""

    policy = POLICY_QUOTA
    running_per_slot = 1

    def __init__(self, simulation: Simulation, seed: int) -> None:
        super().__init__(simulation, seed)
        self.waiting: list[dict[int, Request]] = [{} for _ in MEMBERS]
        self.queues = [
            AdmissionQueue(
                max_running=pool.free_slots(0) * self.running_per_slot,
                min_running=pool.free_slots(0),
                expected_latency_ms=simulation.size.service_ms,
            )
            for pool in self.pools
        ]

    def arrive(self, request: Request) -> None:
        """Admit, hold or shed the request."""
        now_ms = int(self.simulation.events.now_ms)
        queue = self.queues[request.node]
        decision = queue.offer(QueuePriority.NORMAL, int(request.deadline_ms), now_ms)
        if isinstance(decision, Admit):
            self.try_once(request)
        elif isinstance(decision, Wait):
            request.ticket = decision.ticket
            self.waiting[request.node][decision.ticket] = request
            self.on_wait(request)

    def on_wait(self, request: Request) -> None:
        """Note that a request waits."""

    def ended(self, request: Request) -> None:
        """Let the next waiting request go on."""
        now_ms = int(self.simulation.events.now_ms)
        done_ms = request.done_ms
        latency_ms = None if done_ms is None else done_ms - request.sent_ms
        queue = self.queues[request.node]
        self.go_on(request.node, queue.release(latency_ms, now_ms, done_ms is None))

    def go_on(self, node: int, events: Sequence[object]) -> None:
        """Send the admitted requests."""
        for event in events:
            ticket = getattr(event, "ticket", 0)
            waiting = self.waiting[node].pop(ticket)
            if isinstance(event, Admitted):
                self.try_once(waiting)


@OPTIONS.register("soft_quota")
class SoftQuota(Quota):
    """Use the node's slots first, then others, up to an adaptive limit."""

    policy = POLICY_SOFT_QUOTA
    running_per_slot = DEFAULT_MAX_RUNNING_PER_SLOT


@OPTIONS.register("owner")
class Owner(Option):
    """Send each request through the node that owns its endpoint."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        super().__init__(simulation, seed)
        count = simulation.size.endpoints
        self.in_flight = [0] * count
        self.queues: list[deque[Request]] = [deque() for _ in range(count)]
        self.seen = [[0] * count for _ in MEMBERS]

    def arrive(self, request: Request) -> None:
        """Pick the less loaded of two owners and go there."""
        seen = self.seen[request.node]
        first, second = self.rng.sample(range(len(seen)), 2)
        chosen = first if seen[first] <= seen[second] else second
        seen[chosen] += 1
        request.endpoint = chosen
        self.simulation.events.after(self._hop_ms(request), self._at_owner, request)

    def _hop_ms(self, request: Request) -> float:
        if request.endpoint % NODES == request.node:
            return 0.0
        self.messages += 1
        return self.simulation.size.peer_one_way_ms

    def _at_owner(self, request: Request) -> None:
        if self.in_flight[request.endpoint] >= self.simulation.size.slots:
            self.queues[request.endpoint].append(request)
            return
        self.in_flight[request.endpoint] += 1
        owner = request.endpoint % NODES
        self.simulation.send(owner, request, self.done)

    def done(self, request: Request, answered: bool) -> None:
        """Send the owner's next request and the answer back."""
        endpoint = request.endpoint
        self.in_flight[endpoint] -= 1
        queue = self.queues[endpoint]
        while queue:
            waiting = queue.popleft()
            if waiting.deadline_ms > self.simulation.events.now_ms:
                self._at_owner(waiting)
                break
        load = self.in_flight[endpoint] + len(queue)
        delay_ms = self._hop_ms(request)
        self.simulation.events.after(delay_ms, self._back, (request, load))

    def _back(self, answer: tuple[Request, int]) -> None:
        request, load = answer
        request.done_ms = self.simulation.events.now_ms
        self.seen[request.node][request.endpoint] = load
