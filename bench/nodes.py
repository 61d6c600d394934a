"""Run eleven real nodes of each deployment, idle and then under load.

The platform and the upstreams are stand-ins in processes of their own. The
first deployment also loads every client block of the target.
"""

import json
import tempfile
import time
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import gevent
import jsonc
import psutil

from bilberry_core.const import BYTES_PER_MB
from bilberry_testing import client
from bilberry_testing.demo.processes import Process, node_process
from bilberry_testing.platform import PlatformServer
from bilberry_testing.upstream import Identity, UpstreamServer
from bilberry_testing.upstream.messages import Control

from .blocks import block_sets
from .load import LoadResult, get_request, run_load
from .ports import free_ports
from .processes import Child, ready
from .report import Options, Report, Table

EXAMPLES = Path(__file__).parent.parent / "examples"
DEPLOYMENTS = ("arcq", "cdra")
BLOCKS = 510_000
BLOCKS_WITH = "arcq"
NODES = 11
NODE_PORTS = 3
IN_FORCE_TIMEOUT_S = 30
SETTLE_S = 2
QUICK_IDLE_S = 4
FULL_IDLE_S = 20
QUICK_LOAD_MS = 2_000
FULL_LOAD_MS = 10_000
CONNECTIONS_PER_NODE = 2
SERVICE_MS = 5
TARGET_CPU_SHARE = 0.045
TARGET_MEMORY_MB = 128
TARGET_BYTES_PER_S = 5_000


def serve_platform(pipe: Connection) -> None:
    """Serve the platform stand-in in this process."""
    server = PlatformServer()
    server.start()
    ready(pipe, server.port)
    gevent.get_hub().join()


def serve_upstreams(pipe: Connection, specs: dict[str, dict[str, Any]]) -> None:
    """Serve several upstream stand-ins in this process."""
    ports = {}
    for name, spec in specs.items():
        identity = Identity(name=name, service=spec["service"], region=spec["region"])
        control = Control(slots=spec["slots"], service_ms=SERVICE_MS)
        server = UpstreamServer(identity, control)
        server.start()
        ports[name] = server.port
    ready(pipe, ports)
    gevent.get_hub().join()


def drive(pipe: Connection, ports: list[int], path: str, duration_ms: int) -> None:
    """Load all nodes from this process."""
    ready(pipe, "ready")
    workers = [
        gevent.spawn(
            run_load,
            ("127.0.0.1", port),
            [get_request(path)],
            CONNECTIONS_PER_NODE,
            duration_ms,
        )
        for port in ports
    ]
    gevent.joinall(workers)
    pipe.send([worker.value for worker in workers])


@dataclass(slots=True)
class Usage:
    """Hold what all nodes used up to a moment."""

    at_s: float
    cpu_s: list[float]
    memory_bytes: list[int]
    store_calls: float
    store_bytes: float
    peer_bytes: float


@dataclass(slots=True)
class Cluster:
    """Own the processes of one deployment."""

    name: str
    directory: Path
    store: Child
    upstreams: list[Child] = field(default_factory=list)
    nodes: list[Process] = field(default_factory=list)
    urls: list[str] = field(default_factory=list)
    public_ports: list[int] = field(default_factory=list)

    def close(self) -> None:
        """End all processes."""
        for node in self.nodes:
            node.terminate()
        for node in self.nodes:
            node.close()
        for child in [*self.upstreams, self.store]:
            child.close()

    def usage(self) -> Usage:
        """Return what the nodes used so far."""
        processes = [psutil.Process(node.pid) for node in self.nodes]
        metrics = [metrics_of(url) for url in self.urls]
        return Usage(
            at_s=time.perf_counter(),
            cpu_s=[sum(p.cpu_times()[:2]) for p in processes],
            memory_bytes=[p.memory_info().rss for p in processes],
            store_calls=sum(m.get("bilberry_store_calls_total", 0) for m in metrics),
            store_bytes=sum(m.get("bilberry_store_bytes_total", 0) for m in metrics),
            peer_bytes=sum(m.get("bilberry_peer_bytes_total", 0) for m in metrics),
        )


def metrics_of(url: str) -> dict[str, float]:
    """Return a node's metrics, those with labels summed up."""
    text = client.call("GET", f"{url}/metrics").body.decode()
    found: dict[str, float] = {}
    for line in text.splitlines():
        if line.startswith("#") or not line:
            continue
        name, _, value = line.rpartition(" ")
        name = name.partition("{")[0]
        found[name] = found.get(name, 0.0) + float(value)
    return found


def load_config(name: str, seed: int) -> list[dict[str, Any]]:
    """Return a deployment's objects, with all blocks for the first."""
    objects: list[dict[str, Any]] = jsonc.loads(
        (EXAMPLES / name / "config.jsonc").read_text()
    )["items"]
    if name != BLOCKS_WITH:
        return objects
    regions = [o["metadata"]["name"] for o in objects if o["kind"] == "region"]
    kept = [o for o in objects if o["kind"] != "client_block_set"]
    for set_name, spec in block_sets(BLOCKS, seed, regions).items():
        groups = [
            {"regions": group.regions, "prefixes": group.prefixes}
            for group in spec.groups
        ]
        kept.append(
            {
                "kind": "client_block_set",
                "metadata": {"name": set_name},
                "spec": {"groups": groups},
            }
        )
    return kept


def start_cluster(name: str, objects: list[dict[str, Any]], directory: Path) -> Cluster:
    """Start the platform, the upstreams and the nodes."""
    store = Child(serve_platform)
    store_port = store.start()
    cluster = Cluster(name, directory, store)
    slots = {
        o["metadata"]["name"]: o["spec"]["slots"]
        for o in objects
        if o["kind"] == "service"
    }
    specs = {
        o["metadata"]["name"]: {**o["spec"], "slots": slots[o["spec"]["service"]]}
        for o in objects
        if o["kind"] == "upstream"
    }
    for region in sorted({spec["region"] for spec in specs.values()}):
        inside = {n: s for n, s in specs.items() if s["region"] == region}
        child = Child(serve_upstreams, inside)
        for upstream, port in child.start().items():
            specs[upstream]["port"] = port
        cluster.upstreams.append(child)
    for o in objects:
        if o["kind"] == "upstream":
            port = specs[o["metadata"]["name"]]["port"]
            o["spec"]["address"] = f"127.0.0.1:{port}"
    start_nodes(cluster, store_port)
    return cluster


def start_nodes(cluster: Cluster, store_port: int) -> None:
    """Start the nodes on free ports and list them as VMs."""
    paths = sorted((EXAMPLES / cluster.name / "nodes").glob("*.jsonc"))[:NODES]
    ports = free_ports(NODE_PORTS * len(paths))
    vms = []
    for path in paths:
        settings = jsonc.loads(path.read_text())
        public, admin, peer = (ports.pop() for _ in range(NODE_PORTS))
        listen = {
            "address": f"127.0.0.1:{public}",
            "admin_address": f"127.0.0.1:{admin}",
            "peer_address": f"127.0.0.1:{peer}",
        }
        settings["listen"] = listen
        settings["store"]["url"] = f"http://127.0.0.1:{store_port}"
        settings["seed_peers"] = []
        node = settings["node"]
        vms.append({**listen, **node, "site": node["failure_domain"], "state": "live"})
        target = cluster.directory / path.name
        target.write_text(json.dumps(settings))
        cluster.nodes.append(node_process(path.stem, cluster.directory, target))
        cluster.urls.append(f"http://127.0.0.1:{admin}")
        cluster.public_ports.append(public)
    client.call("PUT", f"http://127.0.0.1:{store_port}/_vms", {"items": vms})
    for process in cluster.nodes:
        process.start()
    for url in cluster.urls:
        wait_until(lambda url=url: answers(url))


def answers(url: str) -> bool:
    """Tell whether a node answers on its admin address."""
    try:
        return client.call("GET", f"{url}/healthz").status == 200
    except OSError:
        return False


def wait_until(done: Any, timeout_s: float = IN_FORCE_TIMEOUT_S) -> float:
    """Wait for a condition; return the seconds it took."""
    began = time.perf_counter()
    while not done():
        if time.perf_counter() - began > timeout_s:
            raise TimeoutError("a node did not get there in time")
        time.sleep(0.05)
    return time.perf_counter() - began


def apply_config(cluster: Cluster, objects: list[dict[str, Any]]) -> float:
    """Write all objects; return the seconds until every node has the last."""
    version = 0
    for o in objects:
        path = f"{cluster.urls[0]}/api/v1/{o['kind']}/{o['metadata']['name']}"
        reply = client.call("PUT", path, {"spec": o["spec"]})
        assert reply.status == 200, reply.body
        version = reply.json()["metadata"]["version"]

    def installed() -> bool:
        versions = [
            metrics_of(u).get("bilberry_config_version", 0) for u in cluster.urls
        ]
        return min(versions) >= version

    return wait_until(installed)


def measure_idle(cluster: Cluster, seconds: float, table: Table) -> None:
    """Add a row on what the nodes use with no caller."""
    time.sleep(SETTLE_S)
    before = cluster.usage()
    time.sleep(seconds)
    after = cluster.usage()
    passed = after.at_s - before.at_s
    cpu = [
        (late - early) / passed
        for early, late in zip(before.cpu_s, after.cpu_s, strict=True)
    ]
    nodes = len(cpu)
    peer = 2 * (after.peer_bytes - before.peer_bytes) / passed / nodes
    store = (after.store_bytes - before.store_bytes) / passed / nodes
    table.add(
        cluster.name,
        100 * sum(cpu) / nodes,
        100 * max(cpu),
        max(after.memory_bytes) / BYTES_PER_MB,
        peer,
        store,
        (after.store_calls - before.store_calls) / passed,
    )


def measure_load(cluster: Cluster, path: str, duration_ms: int) -> list[LoadResult]:
    """Return the results of loading all nodes."""
    driver = Child(drive, cluster.public_ports, path, duration_ms)
    driver.start()
    results: list[LoadResult] = driver.receive(duration_ms / 1_000 + 30)
    driver.close()
    return results


def add_load_row(
    cluster: Cluster,
    label: str,
    path: str,
    duration_ms: int,
    table: Table,
    report: Report,
) -> None:
    """Load the nodes with one kind of request and add a row."""
    before = cluster.usage()
    results = measure_load(cluster, path, duration_ms)
    after = cluster.usage()
    latencies = [ms for result in results for ms in result.latencies_ms]
    merged = LoadResult(seconds=1.0, latencies_ms=latencies)
    count = len(latencies)
    good = sum(result.statuses.get(200, 0) for result in results)
    shed = sum(result.statuses.get(503, 0) for result in results)
    cpu_s = sum(after.cpu_s) - sum(before.cpu_s)
    if count != good + shed or any(result.failures for result in results):
        report.broken.append(f"{cluster.name} {label}: answers other than 200 and 503")
    table.add(
        cluster.name,
        label,
        count / (duration_ms / 1_000),
        100 * good / max(1, count),
        merged.percentile_ms(0.5),
        merged.percentile_ms(0.99),
        1_000 * cpu_s / max(1, count),
    )


def run(options: Options) -> Report:
    """Measure each deployment in turn."""
    report = Report()
    idle = report.table(
        f"{NODES} idle nodes: control (targets: {100 * TARGET_CPU_SHARE}% of a core,"
        f" {TARGET_MEMORY_MB} MB, {TARGET_BYTES_PER_S} bytes/s a node)",
        [
            "deployment",
            "mean CPU %",
            "max CPU %",
            "max MB",
            "peer bytes/s/node",
            "store bytes/s/node",
            "store calls/s, all",
        ],
    )
    spread = report.table(
        "Configuration", ["deployment", "objects", "last in force everywhere s"]
    )
    busy = report.table(
        "Under load of one client process",
        ["deployment", "request", "answers/s", "200 %", "p50 ms", "p99 ms", "CPU ms"],
    )
    idle_s = QUICK_IDLE_S if options.quick else FULL_IDLE_S
    load_ms = QUICK_LOAD_MS if options.quick else FULL_LOAD_MS
    for name in DEPLOYMENTS:
        objects = load_config(name, options.seed)
        service = next(o for o in objects if o["kind"] == "service")["metadata"]["name"]
        with tempfile.TemporaryDirectory() as folder:
            cluster = start_cluster(name, objects, Path(folder))
            try:
                spread.add(name, len(objects), apply_config(cluster, objects))
                measure_idle(cluster, idle_s, idle)
                look_up = f"/v1/lookup?service={service}&client=11.0.0.1"
                add_load_row(cluster, "look-up", look_up, load_ms, busy, report)
                forward = f"/s/{service}/x"
                add_load_row(cluster, "forward", forward, load_ms, busy, report)
            finally:
                cluster.close()
    worst = max(float(row[2]) for row in idle.rows)
    report.summary = f"idle control takes at most {worst:.1f}% of a core per node"
    return report
