"""Compare look-ups over HTTP with a bare WSGI handler.

Both run the node's own server in a process of its own, with all client
blocks loaded in the first; the load comes from further processes.
"""

import random
import time
from multiprocessing.connection import Connection
from typing import Any

import psutil

from bilberry_core.clock import SystemClock
from bilberry_fleet.messages import Member, MemberState
from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_router.lookup import VmSelector
from bilberry_router.public_app import PublicApp
from bilberry_router.settings import decode_settings
from bilberry_router.state import NodeState
from bilberry_steering.block_table import BlockTable
from bilberry_steering.node import NodeSteering

from .blocks import REGIONS, block_sets, client_addresses, region_specs
from .load import LoadResult, get_request, run_load
from .processes import Child, ready, serve
from .report import Options, Report

TARGET_SHARE = 0.7
BLOCKS = 510_000
CONNECTIONS = 16
QUICK_MS = 3_000
FULL_MS = 10_000
ROUNDS = 3
CORE_LOOKUPS = 200_000
BARE_BODY = b"x" * 250


def build_vm_selector(blocks: int, seed: int) -> VmSelector:
    """Return a directory with `blocks` client blocks and eleven VMs."""
    clock = SystemClock()
    settings = decode_settings(
        {
            "node": {"name": "vm-0", "region": REGIONS[0], "failure_domain": "d0"},
            "listen": {
                "address": "127.0.0.1:0",
                "admin_address": "127.0.0.1:0",
                "peer_address": "127.0.0.1:0",
            },
            "store": {"url": "http://127.0.0.1:1"},
        }
    ).unwrap()
    state = NodeState(settings, clock)
    sets = block_sets(blocks, seed)
    table = BlockTable.build(sets)
    regions, services = region_specs()
    snapshot = ConfigSnapshot(version=1, regions=regions, services=services)
    steering = NodeSteering("vm-0", REGIONS[0])
    state.install(snapshot)
    steering.install_config(snapshot, table, clock.wall_ms())
    state.set_members(
        [
            Member(
                name=f"vm-{i}",
                address=f"127.0.0.1:{8_000 + i}",
                region=REGIONS[i % len(REGIONS)],
                state=MemberState.LIVE,
            )
            for i in range(11)
        ]
    )
    return VmSelector(state, steering)


def serve_lookups(pipe: Connection, blocks: int, seed: int) -> None:
    """Serve look-ups in this process."""
    vm_selector = build_vm_selector(blocks, seed)
    serve(pipe, PublicApp(vm_selector, None))  # type: ignore[arg-type]


def serve_bare(pipe: Connection) -> None:
    """Serve a constant answer in this process."""

    def application(environ: Any, start_response: Any) -> list[bytes]:
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(BARE_BODY))),
        ]
        start_response("200 OK", headers)
        return [BARE_BODY]

    serve(pipe, application)


def drive(pipe: Connection, port: int, paths: list[str], duration_ms: int) -> None:
    """Run the load from this process."""
    requests = [get_request(path) for path in paths]
    ready(pipe, "ready")
    pipe.send(run_load(("127.0.0.1", port), requests, CONNECTIONS, duration_ms))


def measure(port: int, paths: list[str], duration_ms: int) -> list[LoadResult]:
    """Return the results of two load processes against one server."""
    drivers = [Child(drive, port, paths, duration_ms) for _ in range(2)]
    for driver in drivers:
        driver.start()
    results = [driver.receive(duration_ms / 1_000 + 30) for driver in drivers]
    for driver in drivers:
        driver.close()
    return results


def core_rate(vm_selector: VmSelector, addresses: list[str]) -> float:
    """Return look-ups per second of the decision alone."""
    began = time.perf_counter()
    for index in range(CORE_LOOKUPS):
        vm_selector.answer("suivi", addresses[index % len(addresses)])
    return CORE_LOOKUPS / (time.perf_counter() - began)


def run(options: Options) -> Report:
    """Measure both servers in alternating rounds."""
    report = Report()
    rng = random.Random(options.seed)
    addresses = client_addresses(2_000, rng)
    paths = [f"/v1/lookup?service=suivi&client={a}" for a in addresses]
    duration_ms = (QUICK_MS if options.quick else FULL_MS) // ROUNDS
    servers = {
        "bare handler": Child(serve_bare),
        "look-up": Child(serve_lookups, BLOCKS, options.seed),
    }
    ports = {name: server.start() for name, server in servers.items()}
    rates: dict[str, list[float]] = {name: [] for name in servers}
    worst: dict[str, float] = dict.fromkeys(servers, 0.0)
    memory = {
        name: psutil.Process(server.pid).memory_info().rss / 1e6
        for name, server in servers.items()
    }
    for _ in range(ROUNDS):
        for name, port in ports.items():
            results = measure(port, paths, duration_ms)
            rates[name].append(sum(r.rate_per_s for r in results))
            worst[name] = max(worst[name], *(r.percentile_ms(0.99) for r in results))
            bad = sum(n for r in results for s, n in r.statuses.items() if s != 200)
            if bad or any(r.failures for r in results):
                report.broken.append(f"{name}: {bad} answers were not 200")
    for server in servers.values():
        server.close()
    medians = {name: sorted(rates[name])[ROUNDS // 2] for name in rates}
    share = medians["look-up"] / medians["bare handler"]
    table = report.table(
        f"Look-ups over HTTP, {BLOCKS} blocks, one server process",
        ["server", "answers/s", "p99 ms", "memory MB", "share of bare"],
    )
    for name, rate in medians.items():
        table.add(name, rate, worst[name], memory[name], rate / medians["bare handler"])
    vm_selector = build_vm_selector(BLOCKS, options.seed)
    core = core_rate(vm_selector, addresses)
    table = report.table("Decision alone", ["look-ups/s", "us each"])
    table.add(core, 1e6 / core)
    report.summary = (
        f"look-up serves {share:.0%} of a bare handler's rate"
        f" (target {TARGET_SHARE:.0%})"
    )
    return report
