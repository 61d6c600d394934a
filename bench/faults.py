"""Send checked requests through three nodes while things fail.

Upstreams crash, hang, reset, cut their answers and send too much; one is
drained, one node is stopped as planned and another is killed. Then every
execution at the upstreams is compared with what the callers were told.
"""

import signal
from collections import Counter, defaultdict
from dataclasses import dataclass
from random import Random
from typing import Any

import gevent

from bilberry_core.clock import SystemClock
from bilberry_core.const import MS_PER_SECOND
from bilberry_testing.client import CALL_ERRORS, call
from bilberry_testing.demo.cluster import DemoCluster, RunningNode, is_answering

from .faults_callers import NOT_RUN, RUN, Caller, Findings, Sent
from .report import Options, Report

CALLERS = 24
QUICK_MS = 20_000
FULL_MS = 90_000
FAULT_GAP_MS = 150
SETTLE_MS = 1_500
READY_TIMEOUT_MS = 15_000
STOP_AT = 0.3
DRAIN_AT = 0.5
KILL_AT = 0.75
DRAINED = "suivi-mtl-1"

FAULTS = [
    {"action": "crash", "path": "/", "count": 1},
    {"action": "truncate", "path": "/", "count": 2, "after_bytes": 40},
    {"action": "hang", "path": "/", "count": 1},
    {"action": "garbage", "path": "/", "count": 3},
    {"action": "reset", "path": "/", "count": 2},
]


@dataclass(slots=True)
class Storm:
    """Own the faults that are thrown into a running cluster."""

    cluster: DemoCluster
    findings: Findings
    rng: Random
    thrown: Counter[str]
    exit_code: int | None = None

    def throw(self) -> None:
        """Set one fault at one upstream, until killed."""
        while True:
            upstream = self.rng.choice(self.cluster.upstreams)
            fault = self.rng.choice(FAULTS)
            try:
                call("PUT", f"{upstream.url}/_control", {"faults": [fault]})
                self.thrown[str(fault["action"])] += 1
            except CALL_ERRORS:
                self.thrown["upstream down"] += 1
            gevent.sleep(self.rng.expovariate(1) * FAULT_GAP_MS / MS_PER_SECOND)

    def stop_node(self, node: RunningNode) -> None:
        """Stop a node as planned and wait for its end."""
        self.findings.stopping[node.plan.name] = SystemClock().now_ms()
        self.thrown["planned stop"] += 1
        self.end_node(node, signal.SIGTERM)
        popen = node.process.popen
        assert popen is not None
        while popen.poll() is None:
            gevent.sleep(0.02)
        self.exit_code = popen.returncode

    def kill_node(self, node: RunningNode) -> None:
        """Kill a node without any warning."""
        self.thrown["node killed"] += 1
        self.end_node(node, signal.SIGKILL)

    def end_node(self, node: RunningNode, number: signal.Signals) -> None:
        """Send a signal to one node's process."""
        popen = node.process.popen
        assert popen is not None
        popen.send_signal(number)

    def calm(self) -> None:
        """Take all faults out again."""
        for upstream in self.cluster.upstreams:
            try:
                call("PUT", f"{upstream.url}/_control", {"faults": []})
            except CALL_ERRORS:
                continue

    def drain(self) -> None:
        """Let one upstream tell that it is draining."""
        for upstream in self.cluster.upstreams:
            if upstream.plan.name == DRAINED:
                call("PUT", f"{upstream.url}/_control", {"draining": True})
                self.thrown["upstream drained"] += 1


def executions(cluster: DemoCluster) -> list[dict[str, Any]]:
    """Return every execution at every upstream."""
    found: list[dict[str, Any]] = []
    for upstream in cluster.upstreams:
        found += call("GET", f"{upstream.url}/_executions").json()["items"]
    return found


def storm(cluster: DemoCluster, options: Options, findings: Findings) -> Storm:
    """Run callers and faults side by side."""
    duration_ms = QUICK_MS if options.quick else FULL_MS
    callers = [
        Caller(index, options.seed, cluster.nodes, findings) for index in range(CALLERS)
    ]
    jobs = [gevent.spawn(caller.run) for caller in callers]
    running = Storm(cluster, findings, Random(options.seed), Counter())
    thrower = gevent.spawn(running.throw)
    begin_ms = SystemClock().now_ms()

    def wait_until(share: float) -> None:
        left_ms = begin_ms + share * duration_ms - SystemClock().now_ms()
        gevent.sleep(max(0.0, left_ms) / MS_PER_SECOND)

    wait_until(STOP_AT)
    stopping = gevent.spawn(running.stop_node, cluster.nodes[1])
    wait_until(DRAIN_AT)
    running.drain()
    wait_until(KILL_AT)
    running.kill_node(cluster.nodes[2])
    wait_until(1)
    thrower.kill()
    running.calm()
    gevent.sleep(SETTLE_MS / MS_PER_SECOND)
    for caller in callers:
        caller.stopped = True
    gevent.joinall([*jobs, stopping])
    for caller in callers:
        caller.close()
    return running


def judge(report: Report, findings: Findings, runs: list[dict[str, Any]]) -> None:
    """Compare what callers were told with what has run."""
    by_path = Counter(run["path"] for run in runs)
    wrong = list(findings.wrong)
    second = [str(s) for s in findings.sent if is_second(s, by_path[s.path])]
    ran = ran_sendings(runs)
    false = [
        f"{sent} ran in sendings {ran[sent.path]}"
        for sent in findings.sent
        if is_false(sent, ran[sent.path])
    ]
    missing = [
        str(sent)
        for sent in findings.sent
        if RUN in sent.outcomes and not by_path[sent.path]
    ]
    table = report.table("Promises", ["promise", "broken", "checked"])
    told = sum(NOT_RUN in s.outcomes for s in findings.sent)
    at_risk = sum(s.method == "POST" for s in findings.sent)
    for name, broken, checked in (
        ("wrong bodies", wrong, findings.outcomes[RUN]),
        ("second executions", second, at_risk),
        ("false not-run", false, told),
        ("answers without execution", missing, findings.outcomes[RUN]),
        ("requests cut by planned stops", findings.cut_by_stop, len(findings.sent)),
    ):
        table.add(name, len(broken), checked)
        shown = [*broken[:3], *broken[-2:]] if len(broken) > 5 else broken
        report.broken += [f"{name}: {text}" for text in shown]


def ran_sendings(runs: list[dict[str, Any]]) -> dict[str, list[int]]:
    """Return which sendings of each path have run."""
    found: dict[str, list[int]] = defaultdict(list)
    for run in runs:
        found[run["path"]].append(int(run["request_id"].rpartition("-")[2]))
    return found


def is_false(sent: Sent, ran: list[int]) -> bool:
    """Tell whether `not-run` was told though it, or one before it, ran."""
    return any(
        outcome == NOT_RUN and any(number <= index for number in ran)
        for index, outcome in enumerate(sent.outcomes)
    )


def is_second(sent: Sent, times: int) -> bool:
    """Tell whether a request that may run once has run more often."""
    return sent.method == "POST" and times > 1


def ready(cluster: DemoCluster) -> None:
    """Apply the configuration and wait until every node serves."""
    path = cluster.write_objects("config.jsonc", cluster.objects())
    cluster.ctl("apply", "-f", path)
    cluster.ctl("wait", "client_block_set", "clients", "--for", "in-force")
    for node in cluster.nodes:
        url = f"{node.admin_url}/readyz"
        cluster.until(lambda url=url: is_answering(url), READY_TIMEOUT_MS)  # type: ignore[misc]


def run(options: Options) -> Report:
    """Run the storm and report what it broke."""
    report = Report()
    findings = Findings()
    cluster = DemoCluster()
    try:
        cluster.start()
        ready(cluster)
        running = storm(cluster, options, findings)
        judge(report, findings, executions(cluster))
    finally:
        cluster.close()
    if running.exit_code != 0:
        report.broken.append(f"the planned stop exited with {running.exit_code}")
    faults = report.table("Faults thrown", ["fault", "times"])
    for name, times in sorted(running.thrown.items()):
        faults.add(name, times)
    outcomes = report.table("What sendings were told", ["outcome", "sendings"])
    for name, times in sorted(findings.outcomes.items()):
        outcomes.add(name or "(none)", times)
    report.summary = (
        f"{len(findings.sent)} requests, {running.thrown.total()} faults: "
        f"{len(report.broken)} promises broken"
    )
    return report
