"""Run a whole deployment: store stand-in, upstreams and nodes."""

import signal
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent import Greenlet

from bilberry_core.clock import SystemClock
from bilberry_core.const import MS_PER_SECOND
from bilberry_testing.client import CALL_ERRORS, call
from bilberry_testing.machines.objects import (
    POOL,
    config_of,
    route_spec,
    upstream_entry,
    upstream_status,
    workspace_spec,
)
from bilberry_testing.machines.store import StoreServer
from bilberry_testing.machines.table import ObjectTable

from .history import (
    ColdTime,
    ConfigVersion,
    Disturbance,
    History,
    Run,
    UpstreamTime,
)
from .messages import RunLine, UpstreamOptions
from .processes import NodeProcess, UpstreamProcess
from .proxy import LinkMode, LinkProxy

ZONES = {"mtl-a": "mtl", "mtl-b": "mtl", "qc-a": "qc"}
# Each is bound to one region; they swap with each version.
HOME_PATHS = ("/home-a/", "/home-b/")
HOME_REGIONS = ("mtl", "qc")
HOME_TIMEOUT_MS = 9_000
HOST = "127.0.0.1"
FRONT_PORT, READY_PORT, DIRECTORY_PORT, PEER_PORT = 8381, 8388, 8383, 7200
GRACE_S = 6
KIND_CONFIG, KIND_EVACUATIONS = "config", "evacuations"
HEARTBEAT_MS = 1_500
LAPSED_HEARTBEATS = 3
START_TIMEOUT_MS = 30_000
POLL_MS = 100
CALL_TIMEOUT_MS = 1_000
SLOTS, WORK_MS = 4, 60
# The rate of the pool, with the excess and the slack that the users allow.
MAX_COLD_PER_S = POOL["cold_per_s"] * 1.5 + 5

SETTINGS = """\
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{peer}, {peer_end}]
[zones]
{zones}
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{ready}"
directory = "{ip}:{directory}"
[bounds]
grace_s = {grace}
retry_budget_ratio = 0.2
retry_budget_slack = 60
max_region_shift = 0.15
{bounds}
[platform]
address = "{store}"
"""


@dataclass(slots=True)
class SoakNode:
    """Hold a node's process, addresses and link to the store."""

    name: str
    ip: str
    zone: str
    process: NodeProcess
    store_link: LinkProxy
    is_restarting: bool = False

    @property
    def front(self) -> str:
        """Return the address for callers."""
        return f"{self.ip}:{FRONT_PORT}"

    def is_ready(self) -> bool:
        """Return whether it says that it serves callers."""
        url = f"http://{self.ip}:{READY_PORT}/readyz"
        try:
            return call("GET", url, timeout_ms=CALL_TIMEOUT_MS).status == 200
        except CALL_ERRORS:
            return False


@dataclass(slots=True)
class SoakUpstream:
    """Hold an upstream's process, its link and what it registers."""

    process: UpstreamProcess
    link: LinkProxy
    zone: str
    born: int
    cold_until_ms: int = 0
    is_beating: bool = True
    state: str = "ready"
    silent_beats: int = 0


def homes_of(version: int) -> dict[str, str]:
    """Return the region to which a version binds each path."""
    regions = HOME_REGIONS if version % 2 else reversed(HOME_REGIONS)
    return dict(zip(HOME_PATHS, regions, strict=True))


class Deployment:
    """Manage all parts of a run, and record what the operator does.

    `workspaces` maps their names to their keys. `bounds` are further lines of
    that table in the nodes' settings.
    """

    def __init__(
        self,
        directory: Path,
        nodes: int,
        upstreams: int,
        network: int,
        bounds: str = "",
    ) -> None:
        self.directory = directory
        self.clock = SystemClock()
        self.history = History()
        self.store = StoreServer(self.clock)
        self.nodes: list[SoakNode] = []
        self.upstreams: dict[str, SoakUpstream] = {}
        self.counts = (nodes, upstreams)
        self.network = network
        self.bounds = bounds
        self.workspaces: dict[str, list[str]] = {}
        self.version = 0
        self.extra_routes = 0
        self.sequence = 0
        self.beating: Greenlet | None = None

    def start(self) -> None:
        """Start everything, and wait until all nodes are ready."""
        self.store.start()
        self.write_config()
        for _ in range(self.counts[1]):
            self.add_upstream()
        for index in range(self.counts[0]):
            self.add_node(index)
        self.beating = gevent.spawn(self.beat)
        end_ms = self.clock.now_ms() + START_TIMEOUT_MS
        while not all(node.is_ready() for node in self.nodes):
            assert self.clock.now_ms() < end_ms, "the nodes did not start"
            gevent.sleep(POLL_MS / MS_PER_SECOND)

    def close(self) -> None:
        """End all processes that this run started."""
        if self.beating is not None:
            self.beating.kill()
        for node in self.nodes:
            node.process.close()
            node.store_link.close()
        for upstream in self.upstreams.values():
            upstream.process.close()
            upstream.link.close()
        self.store.close()

    def add_node(self, index: int) -> None:
        """Start a node on an address of its own."""
        zone = list(ZONES)[index % len(ZONES)]
        ip = f"127.{self.network}.{index + 1}.1"
        link = LinkProxy(HOST, self.store.listener.address)
        link.start()
        name = f"n{index}"
        path = self.directory / f"{name}.toml"
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                region=ZONES[zone],
                peer=PEER_PORT,
                peer_end=PEER_PORT + 9,
                zones=zones,
                front=FRONT_PORT,
                ready=READY_PORT,
                directory=DIRECTORY_PORT,
                grace=GRACE_S,
                bounds=self.bounds,
                store=link.address,
            )
        )
        node = SoakNode(name, ip, zone, NodeProcess(path), link)
        self.nodes.append(node)
        node.process.start()

    def add_upstream(self, cold_s: float = 0.0) -> str:
        """Start and register an upstream with a new name; return the name."""
        index = len(self.upstreams)
        name = f"i-{index}"
        options = UpstreamOptions(name, SLOTS, WORK_MS)
        process = UpstreamProcess(options, self.record_run)
        process.start()
        link = LinkProxy(HOST, process.address)
        link.start()
        zone = list(ZONES)[index % len(ZONES)]
        upstream = SoakUpstream(process, link, zone, self.clock.wall_ms())
        now_ms = self.clock.now_ms()
        upstream.cold_until_ms = now_ms + int(cold_s * MS_PER_SECOND)
        self.upstreams[name] = upstream
        self.history.upstream_times[name] = UpstreamTime(ZONES[zone], now_ms)
        self.register(name)
        cold = ColdTime(name, now_ms, upstream.cold_until_ms, MAX_COLD_PER_S)
        self.history.cold_times.append(cold)
        return name

    def register(self, name: str) -> None:
        """Write an upstream's entry as it is now."""
        upstream = self.upstreams[name]
        self.sequence += 1
        entry = upstream_entry(upstream.link.address, SLOTS, upstream.zone)
        entry["born"] = upstream.born
        cold_ms = max(0, upstream.cold_until_ms - self.clock.now_ms())
        status = upstream_status(upstream.state, self.sequence, cold_ms / MS_PER_SECOND)
        self.store.table.put("servers", name, entry, status)
        self.store.notify()

    def unregister(self, name: str) -> None:
        """Remove an upstream's entry."""
        self.store.table.delete("servers", name)
        self.store.notify()

    def write_again(self, lost: ObjectTable) -> None:
        """Write what the operator had written to a table.

        Upstreams do so with their next beat, and nodes themselves.
        """
        for kind in (KIND_CONFIG, KIND_EVACUATIONS):
            names = {item.name for item in lost.items(kind)}
            for item in self.store.table.items(kind):
                if item.name not in names:
                    self.store.table.delete(kind, item.name)
            for item in lost.items(kind):
                self.store.table.put(kind, item.name, item.spec)
        self.store.notify()

    def beat(self) -> None:
        """Write the entries of live upstreams, and drop those that lapsed."""
        while True:
            gevent.sleep(HEARTBEAT_MS / MS_PER_SECOND)
            for name, upstream in self.upstreams.items():
                if upstream.is_beating:
                    upstream.silent_beats = 0
                    self.register(name)
                else:
                    upstream.silent_beats += 1
                    if upstream.silent_beats == LAPSED_HEARTBEATS:
                        self.unregister(name)

    def write_config(self) -> None:
        """Write a new version with a path of its own."""
        self.version += 1
        prefix = f"/v{self.version}/"
        routes = [
            route_spec("read", "/read/"),
            route_spec("book", "/book/", kind="non_idempotent"),
            route_spec("own", prefix),
        ]
        homes = homes_of(self.version)
        routes += [
            route_spec(
                path.strip("/"),
                path,
                home_regions=[region],
                timeout_s=HOME_TIMEOUT_MS / MS_PER_SECOND,
            )
            for path, region in homes.items()
        ]
        routes += [
            route_spec(f"extra-{index}", f"/v{self.version}-{index}/")
            for index in range(self.extra_routes)
        ]
        resources = routes + [
            workspace_spec(name, keys) for name, keys in self.workspaces.items()
        ]
        self.store.table.put(KIND_CONFIG, "main", config_of(self.version, resources))
        self.store.notify()
        now_ms = self.clock.now_ms()
        if self.history.versions:
            self.history.versions[-1].until_ms = now_ms
        written = ConfigVersion(self.version, prefix, now_ms, homes=homes)
        self.history.versions.append(written)

    def slow_store_links(self, delay_ms: int) -> None:
        """Let the nodes' links to the store pass 16 kB each `delay_ms`."""
        for node in self.nodes:
            node.store_link.set_mode(LinkMode.SLOW, delay_ms)

    def record_run(self, upstream: str, line: RunLine) -> None:
        """Record a request that an upstream began to work on."""
        run = Run(line.request_id, line.method, line.target, upstream, line.began_ms)
        self.history.runs.append(run)

    def record_leaving(self, upstream: SoakUpstream) -> None:
        """Record that an upstream takes no more requests from now on."""
        name = upstream.process.options.name
        self.history.upstream_times[name].until_ms = self.clock.now_ms()

    def record_disturbance(
        self, kind: str, duration_ms: int, is_planned: bool, node: str = ""
    ) -> None:
        """Record a disturbance that begins now."""
        now_ms = self.clock.now_ms()
        self.history.disturbances.append(
            Disturbance(kind, now_ms, now_ms + duration_ms, is_planned, node)
        )

    def restart(self, node: SoakNode, number: signal.Signals, delay_ms: int) -> None:
        """End a node with a signal, and start it again."""
        node.is_restarting = True
        node.process.send(number)
        node.process.wait()
        gevent.sleep(delay_ms / MS_PER_SECOND)
        node.process.start()
        node.is_restarting = False
