"""Play a schedule of faults on a deployment with callers."""

import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import gevent

from bilberry_core.const import MS_PER_SECOND

from .callers import Caller
from .checks import RECOVERY_MS, broken_promises
from .deployment import Deployment
from .faults import FAULTS, Act
from .history import History
from .loopback import LoopbackNetwork
from .schedule import PlannedFault, draw_schedule

AFTER_RECOVERY_MS = 2_000
END_TIMEOUT_S = 30


@dataclass(slots=True, frozen=True)
class Size:
    """Describe how large and how long a run is.

    Links to the store pass 16 kB each `store_delay_ms`, and versions of the
    configuration after the first have `extra_routes`.
    """

    nodes: int
    upstreams: int
    callers: int
    faults_ms: int
    store_delay_ms: int = 0
    extra_routes: int = 0


QUICK_SIZE = Size(nodes=3, upstreams=4, callers=6, faults_ms=8_000)
FULL_SIZE = Size(nodes=6, upstreams=8, callers=16, faults_ms=30_000)
LARGE_SIZE = Size(nodes=60, upstreams=60, callers=60, faults_ms=40_000)


class SoakRun:
    """Run one seed."""

    def __init__(self, seed: int, size: Size, directory: Path) -> None:
        self.seed = seed
        self.size = size
        self.directory = directory
        self.schedule = draw_schedule(seed, size.faults_ms)
        self.history = History()

    def play(self) -> list[str]:
        """Return the broken promises."""
        network = LoopbackNetwork()
        deployment = Deployment(
            self.directory, self.size.nodes, self.size.upstreams, network.number
        )
        self.history = deployment.history
        try:
            deployment.start()
            deployment.extra_routes = self.size.extra_routes
            deployment.slow_store_links(self.size.store_delay_ms)
            self.play_faults(deployment)
        finally:
            deployment.close()
            network.close()
        return broken_promises(self.history)

    def play_faults(self, deployment: Deployment) -> None:
        """Let callers go on during the faults, and for some time after."""
        callers = [
            Caller(deployment, f"c{index}", self.seed * 1_000 + index)
            for index in range(self.size.callers)
        ]
        calling = [gevent.spawn(caller.run) for caller in callers]
        started_ms = deployment.clock.now_ms()
        acting = []
        for fault in self.schedule:
            elapsed_ms = deployment.clock.now_ms() - started_ms
            gevent.sleep(max(0, fault.at_ms - elapsed_ms) / MS_PER_SECOND)
            acting.append(gevent.spawn(self.act, deployment, fault))
        gevent.joinall(acting, timeout=END_TIMEOUT_S, raise_error=True)
        self.history.calm_from_ms = deployment.clock.now_ms()
        gevent.sleep((RECOVERY_MS + AFTER_RECOVERY_MS) / MS_PER_SECOND)
        for caller in callers:
            caller.is_stopping = True
        gevent.joinall(calling, timeout=END_TIMEOUT_S, raise_error=True)
        self.history.ended_ms = deployment.clock.now_ms()

    def act(self, deployment: Deployment, fault: PlannedFault) -> None:
        """Let one fault happen."""
        rng = random.Random(fault.seed)
        FAULTS[fault.kind](Act(deployment, fault.duration_ms, rng))

    def summary(self, broken: list[str]) -> str:
        """Return one line on what callers got and what broke."""
        statuses = Counter(call.status or 0 for call in self.history.calls)
        counts = ", ".join(f"{status}: {n}" for status, n in sorted(statuses.items()))
        return (
            f"seed {self.seed}: {len(self.history.calls)} calls ({counts}), "
            f"{len(self.history.runs)} runs, {len(self.schedule)} faults, "
            f"{len(broken)} broken"
        )
