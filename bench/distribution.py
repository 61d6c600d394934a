"""Measure the distribution of configuration at 11, 110 and 880 nodes.

The fleet's machines run unchanged on a manual clock; only the messages are
delayed by a driver loop. Bytes are those of the JSON bodies plus a fixed
size of the HTTP heads, in and out. CPU is that of the machines and of JSON,
without HTTP and sockets.
"""

import time
from dataclasses import dataclass, field
from statistics import median

from bilberry_fleet.const import CONFIG_KINDS
from bilberry_fleet.settings import FleetSettings

from .distribution_driver import (
    HTTP_ANSWER_BYTES,
    HTTP_REQUEST_BYTES,
    Driven,
    Driver,
)
from .distribution_members import make_member, vm_item
from .report import Options, Report

TARGET_IN_FORCE_MS = 16_000
TARGET_BYTES_PER_S = 5_000
SETTLE_MS = 30_000
IDLE_MS = 20_000
OUTAGE_MS = 60_000
LIMIT_MS = 60_000
WATCHED_KINDS = len(CONFIG_KINDS) + 1
SITE_SPEC: dict[str, object] = {"region": "region-0", "failure_domain": "domain-00"}


@dataclass(slots=True, frozen=True)
class Size:
    """Describe a fleet."""

    nodes: int
    regions: int
    domains: int
    sites: int


SIZES = (Size(11, 3, 6, 6), Size(110, 6, 16, 32), Size(880, 6, 16, 130))


@dataclass(slots=True)
class Meter:
    """Take counters of a driver at one moment."""

    driver: Driver
    at_ms: int = 0
    calls: int = 0
    cpu_s: float = 0.0
    sent: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Take the counters now."""
        self.at_ms = self.driver.now
        self.calls = self.driver.store_calls
        self.cpu_s = time.process_time()
        self.sent = {d.name: _bytes(d) for d in self.driver.nodes.values()}


def _bytes(driven: Driven) -> int:
    return driven.bytes_sent + driven.bytes_received


def start(size: Size, seed: int) -> Driver:
    """Return a fleet that has settled."""
    driver = Driver(seed, FleetSettings())
    members = [
        make_member(i, size.regions, size.domains, size.sites)
        for i in range(size.nodes)
    ]
    driver.vms = [vm_item(member) for member in members]
    for index in range(size.sites):
        driver.put("site", f"site-{index:03}", SITE_SPEC)
    for member in members:
        driver.add(member)
    driver.warm_start()
    driver.run(SETTLE_MS)
    return driver


@dataclass(slots=True)
class Spread:
    """Hold the times until one change was in force, in ms."""

    times: list[int]
    complete: bool
    status_ms: int

    @property
    def p50(self) -> int:
        """Return the median over the nodes."""
        return int(median(self.times)) if self.times else -1

    @property
    def worst(self) -> int:
        """Return the last node's time, -1 if one lacks the change."""
        return max(self.times) if self.complete and self.times else -1


def change(driver: Driver, name: str, with_status: bool = False) -> Spread:
    """Change an object and wait until every live node installed it."""
    version = driver.put("site", name, SITE_SPEC)
    return wait(driver, version, driver.now, with_status)


def wait(driver: Driver, version: int, from_ms: int, with_status: bool) -> Spread:
    """Wait until every live node installed a version."""
    complete = driver.run_until(lambda: driver.have(version), LIMIT_MS)
    times = [
        d.installed[version] - from_ms for d in driver.live() if version in d.installed
    ]
    status_ms = -1
    if with_status:
        relay = next(d for d in driver.live() if d.node.is_relay)

        def told() -> bool:
            return relay.node.rollout_status(version).is_complete

        if driver.run_until(told, LIMIT_MS):
            status_ms = driver.now - from_ms
    return Spread(times, complete, status_ms)


def relays_die(driver: Driver) -> Spread:
    """Kill both relays of a failure domain just before a change."""
    domain = sorted(driver.live()[0].node.membership.members_by_domain)[0]
    for name in driver.live()[-1].node.membership.relays(domain):
        driver.kill(name)
    return change(driver, "after-deaths")


def outage(driver: Driver) -> tuple[Spread, float]:
    """Change the store in an outage; count from its end."""
    driver.set_down(True)
    before = Meter(driver)
    driver.run(OUTAGE_MS)
    calls_per_s = (driver.store_calls - before.calls) / (OUTAGE_MS / 1_000)
    version = driver.put("site", "in-outage", SITE_SPEC)
    driver.set_down(False)
    return wait(driver, version, driver.now, False), calls_per_s


def measure(size: Size, options: Options, report: Report) -> list[int | float | str]:
    """Measure one size; return its row."""
    driver = start(size, options.seed)
    before = Meter(driver)
    driver.run(IDLE_MS)
    after = Meter(driver)
    seconds = (after.at_ms - before.at_ms) / 1_000
    rates = [(after.sent[n] - before.sent[n]) / seconds for n in before.sent]
    cpu_ms = (after.cpu_s - before.cpu_s) * 1_000 / seconds / size.nodes
    changed = change(driver, "site-000", with_status=True)
    died = relays_die(driver)
    down, down_calls = outage(driver)
    for label, spread in (("change", changed), ("deaths", died), ("outage", down)):
        if not spread.complete:
            report.broken.append(
                f"{size.nodes} nodes: {label}: not in force everywhere"
            )
    reverts = sum(d.reverts for d in driver.nodes.values())
    if reverts:
        report.broken.append(f"{size.nodes} nodes: {reverts} older versions installed")
    return [
        size.nodes,
        changed.p50,
        changed.worst,
        changed.status_ms,
        died.worst,
        down.worst,
        (after.calls - before.calls) / seconds,
        down_calls,
        sum(rates) / len(rates),
        max(rates),
        cpu_ms,
    ]


def baseline_row(size: Size, settings: FleetSettings) -> list[int | float | str]:
    """Return the load if every node watched the store itself."""
    watches_per_s = WATCHED_KINDS / (settings.watch_ms / 1_000)
    calls = size.nodes * (watches_per_s + 1_000 / settings.vms_ms)
    vm_bytes = 250 * size.nodes * 1_000 / settings.vms_ms
    idle = watches_per_s * (HTTP_REQUEST_BYTES + HTTP_ANSWER_BYTES) + vm_bytes
    per_change = size.nodes * (2 * WATCHED_KINDS - 1)
    return [size.nodes, calls, per_change, size.nodes * WATCHED_KINDS, idle]


def run(options: Options) -> Report:
    """Run all sizes."""
    report = Report()
    table = report.table(
        "relays (ms of simulated time; bytes in and out, idle)",
        [
            "nodes",
            "p50 ms",
            "max ms",
            "status ms",
            "relays die ms",
            "outage end ms",
            "store calls/s",
            "in outage",
            "bytes/s mean",
            "bytes/s max",
            "cpu ms/s/node",
        ],
    )
    for size in SIZES:
        table.add(*measure(size, options, report))
    base = report.table(
        "baseline, worked out: every node watches the store",
        ["nodes", "store calls/s", "calls a change", "watches open", "bytes/s idle"],
    )
    for size in SIZES:
        base.add(*baseline_row(size, FleetSettings()))
    last = table.rows[-1]
    report.summary = (
        f"distribution: {last[0]} nodes: in force after {last[2]} ms, "
        f"{last[4]} ms when relays die, {last[5]} ms after an outage "
        f"(target {TARGET_IN_FORCE_MS} ms); {last[9]:.0f} bytes/s at most "
        f"(target {TARGET_BYTES_PER_S}); {last[6]:.2f} store calls/s"
    )
    return report
