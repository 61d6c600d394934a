"""Faults and planned acts, each a function that is registered by name."""

import random
import signal
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import gevent

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.registry import Registry

from .deployment import KIND_EVACUATIONS, Deployment, SoakNode, SoakUpstream
from .history import Departure, RateLimitTime
from .messages import FaultOrder, LimitOrder, UpstreamFault
from .proxy import LinkMode

DRAIN_LIMIT_MS = 4_000
EVACUATION_LIMIT_MS = 5_000
RESTART_DELAY_MS = 300
START_MS = 3_000
SLOW_MS = 150
COPY_AGE_MS = 3_000
# The time in which upstreams write again what a restored store lost.
REWRITE_MS = 2_000
FAULT_FRACTION = 0.3
LATE_BREAK_FRACTION = 0.5
ANSWER_FAULTS = (
    UpstreamFault.LATE_COPY,
    UpstreamFault.SECOND_COPY,
    UpstreamFault.OLD_REFUSAL,
    UpstreamFault.LOST,
)
COLD_S = 3.0
RATE_LIMITS_PER_S = (1.0, 3.0, 8.0)


@dataclass(slots=True, frozen=True)
class Act:
    """Carry what a fault needs: the deployment, its duration and luck."""

    deployment: Deployment
    duration_ms: int
    rng: random.Random

    def node(self) -> SoakNode | None:
        """Return a node that isn't being restarted, if there is one."""
        nodes = [node for node in self.deployment.nodes if not node.is_restarting]
        return self.rng.choice(nodes) if nodes else None

    def upstream(self) -> SoakUpstream | None:
        """Return an upstream that serves, if two do."""
        serving = [
            upstream
            for upstream in self.deployment.upstreams.values()
            if upstream.is_beating and upstream.state == "ready"
        ]
        return self.rng.choice(serving) if len(serving) > 1 else None

    def record(
        self, kind: str, node: str = "", planned: bool = False, extra_ms: int = 0
    ) -> None:
        """Record that it begins now."""
        duration_ms = self.duration_ms + extra_ms
        self.deployment.record_disturbance(kind, duration_ms, planned, node)

    def sleep(self) -> None:
        """Wait for its duration."""
        gevent.sleep(self.duration_ms / MS_PER_SECOND)


Fault = Callable[[Act], None]

FAULTS: Registry[str, Fault] = Registry()


@FAULTS.register("node-kill")
def kill_node(act: Act) -> None:
    """Kill a node, and start it again."""
    node = act.node()
    if node is None:
        return
    act.record("node-kill", node.name, extra_ms=RESTART_DELAY_MS + START_MS)
    act.deployment.restart(node, signal.SIGKILL, RESTART_DELAY_MS)


@FAULTS.register("node-pause")
def pause_node(act: Act) -> None:
    """Pause a node."""
    node = act.node()
    if node is None:
        return
    act.record("node-pause", node.name)
    node.process.send(signal.SIGSTOP)
    act.sleep()
    node.process.send(signal.SIGCONT)


@FAULTS.register("node-stop")
def stop_node(act: Act) -> None:
    """Stop a node as planned, and start it again."""
    node = act.node()
    if node is None:
        return
    act.record("node-stop", node.name, planned=True, extra_ms=3 * START_MS)
    act.deployment.restart(node, signal.SIGTERM, RESTART_DELAY_MS)


@FAULTS.register("node-reload")
def reload_node(act: Act) -> None:
    """Tell a node that its settings may have changed."""
    node = act.node()
    if node is None:
        return
    act.record("node-reload", planned=True)
    node.process.send(signal.SIGHUP)


@FAULTS.register("store-down")
def break_store(act: Act) -> None:
    """Let the store answer nothing but errors."""
    act.record("store-down")
    faults = act.deployment.store.faults
    faults.down_status = HTTPStatus.SERVICE_UNAVAILABLE
    act.sleep()
    faults.down_status = 0


@FAULTS.register("store-slow")
def slow_store(act: Act) -> None:
    """Let the store answer late."""
    act.record("store-slow")
    act.deployment.store.faults.delay_ms = SLOW_MS
    act.sleep()
    act.deployment.store.faults.delay_ms = 0


@FAULTS.register("store-loses-writes")
def lose_writes(act: Act) -> None:
    """Let the store do what nodes write, and answer nothing."""
    act.record("store-loses-writes")
    act.deployment.store.faults.lose_writes = True
    act.sleep()
    act.deployment.store.faults.lose_writes = False


@FAULTS.register("store-forgets")
def drop_history(act: Act) -> None:
    """Let the store drop its history."""
    act.record("store-forgets")
    act.deployment.store.table.drop_history()


@FAULTS.register("store-restored")
def restore_store(act: Act) -> None:
    """Let the store be away, and come back from a copy some seconds old.

    The operator and the upstreams write again what was lost, and the operator
    a change that had to wait, before nodes reach the store.
    """
    deployment = act.deployment
    store = deployment.store
    copy = store.table.copy()
    gevent.sleep(COPY_AGE_MS / MS_PER_SECOND)
    act.record("store-restored", extra_ms=REWRITE_MS)
    store.go_down()
    lost = store.table
    store.restore(copy)
    deployment.write_again(lost)
    deployment.write_config()
    act.sleep()
    store.come_back()


@FAULTS.register("store-cut")
def cut_from_store(act: Act) -> None:
    """Cut one node off the store, in some way."""
    node = act.node()
    if node is None:
        return
    act.record("store-cut", node.name)
    modes = (LinkMode.SILENT, LinkMode.REFUSING, LinkMode.ONE_WAY)
    node.store_link.set_mode(act.rng.choice(modes))
    act.sleep()
    node.store_link.set_mode(LinkMode.OPEN)


@FAULTS.register("upstream-link")
def harm_link(act: Act) -> None:
    """Harm the link to an upstream, in some way."""
    upstream = act.upstream()
    if upstream is None:
        return
    act.record("upstream-link")
    modes = (LinkMode.SLOW, LinkMode.SILENT, LinkMode.REFUSING, LinkMode.ONE_WAY)
    upstream.link.set_mode(act.rng.choice(modes), SLOW_MS)
    act.sleep()
    upstream.link.set_mode(LinkMode.OPEN)


@FAULTS.register("upstream-kill")
def kill_upstream(act: Act) -> None:
    """Kill an upstream; another one takes its place."""
    upstream = act.upstream()
    if upstream is None:
        return
    act.record("upstream-kill", extra_ms=START_MS)
    upstream.is_beating = False
    act.deployment.record_leaving(upstream)
    upstream.process.close()
    act.sleep()
    act.deployment.add_upstream(COLD_S)


@FAULTS.register("upstream-pause")
def pause_upstream(act: Act) -> None:
    """Pause an upstream."""
    upstream = act.upstream()
    if upstream is None:
        return
    act.record("upstream-pause")
    upstream.process.send(signal.SIGSTOP)
    act.sleep()
    upstream.process.send(signal.SIGCONT)


@FAULTS.register("upstream-drain")
def drain_upstream(act: Act) -> None:
    """Drain an upstream, then end it; another one takes its place."""
    upstream = act.upstream()
    if upstream is None:
        return
    deployment = act.deployment
    name = upstream.process.options.name
    act.record("upstream-drain", planned=True, extra_ms=2 * DRAIN_LIMIT_MS)
    upstream.state = "draining"
    deployment.record_leaving(upstream)
    deployment.register(name)
    deployment.history.departures.append(
        Departure(name, deployment.clock.now_ms(), DRAIN_LIMIT_MS)
    )
    deployment.add_upstream(COLD_S)
    gevent.sleep(2 * DRAIN_LIMIT_MS / MS_PER_SECOND)
    upstream.is_beating = False
    deployment.unregister(name)


@FAULTS.register("evacuation")
def evacuate(act: Act) -> None:
    """Evacuate a failure domain, and take it back."""
    deployment = act.deployment
    zone = act.rng.choice([node.zone for node in deployment.nodes])
    duration_ms = EVACUATION_LIMIT_MS + act.duration_ms
    act.record("evacuation", planned=True, extra_ms=EVACUATION_LIMIT_MS)
    deployment.store.table.put(KIND_EVACUATIONS, zone, {})
    deployment.store.notify()
    from_ms = deployment.clock.now_ms()
    deployment.history.departures += [
        Departure(name, from_ms, EVACUATION_LIMIT_MS, from_ms + duration_ms)
        for name, upstream in deployment.upstreams.items()
        if upstream.zone == zone
    ]
    gevent.sleep(duration_ms / MS_PER_SECOND)
    deployment.store.table.delete(KIND_EVACUATIONS, zone)
    deployment.store.notify()


@FAULTS.register("configuration")
def change_configuration(act: Act) -> None:
    """Write a new version of the configuration."""
    act.record("configuration", planned=True)
    act.deployment.write_config()


@FAULTS.register("rate-limit")
def limit_rate(act: Act) -> None:
    """Let an upstream name a rate limit, to the end of the run."""
    upstream = act.upstream()
    if upstream is None:
        return
    act.record("rate-limit", planned=True)
    per_s = act.rng.choice(RATE_LIMITS_PER_S)
    upstream.process.order(LimitOrder(per_s))
    now_ms = act.deployment.clock.now_ms()
    limit = RateLimitTime(upstream.process.options.name, now_ms, per_s)
    act.deployment.history.rate_limits.append(limit)


@FAULTS.register("wrong-answers")
def answer_wrongly(act: Act) -> None:
    """Let an upstream send answers twice, late, or not at all."""
    upstream = act.upstream()
    if upstream is None:
        return
    act.record("wrong-answers")
    fault = act.rng.choice(ANSWER_FAULTS)
    upstream.process.order(FaultOrder(fault, FAULT_FRACTION))
    act.sleep()
    upstream.process.order(FaultOrder(UpstreamFault.NONE))


@FAULTS.register("late-breaks")
def break_off_late(act: Act) -> None:
    """Let all upstreams hold bound requests for some seconds and break off.

    It counts as planned: nodes have to keep every promise beside it.
    """
    act.record("late-breaks", planned=True)
    processes = [upstream.process for upstream in act.deployment.upstreams.values()]
    for process in processes:
        process.order(FaultOrder(UpstreamFault.LATE_BREAK, LATE_BREAK_FRACTION))
    act.sleep()
    for process in processes:
        process.order(FaultOrder(UpstreamFault.NONE))
