"""A deployment in one process, for scenarios."""

import contextlib
import io
from collections import deque

import gevent
import msgspec

from bilberry_core.clock import SystemClock
from bilberry_core.const import HEADER_IDEMPOTENCY_KEY
from bilberry_core.ids import new_uuid7
from bilberry_ctl.cli import main as run_bilberryctl
from bilberry_resources.codec import encode
from bilberry_router.node import Node
from bilberry_router.settings import decode_settings
from bilberry_testing.client import CALL_ERRORS, call
from bilberry_testing.demo.deployment import (
    CALLERS,
    NODES,
    SERVICE_MS,
    SLOTS,
    NodePlan,
    build_configuration,
    build_node_settings,
    find_free_ports,
    plan_upstreams,
)
from bilberry_testing.platform import PlatformServer
from bilberry_testing.platform.messages import (
    Faults,
    PlatformObject,
    Vm,
    VmState,
    VmUpdate,
)
from bilberry_testing.upstream import Control, Identity, UpstreamServer

POLL_S = 0.05
SETTLE_S = 2
KEY_PROBES = 3
START_TIMEOUT_MS = 30_000
FAST_SETTINGS = {
    "lookup": {"ttl_ms": 300},
    "shutdown": {"limit_ms": 10_000},
    "log": {"level": "ERROR"},
}


class Cluster:
    """Run a store, upstreams and nodes in this process and call them."""

    def __init__(self, directory, host="127.1.0.1"):
        self.directory = directory
        self.host = host
        self.clock = SystemClock()
        self.platform = PlatformServer()
        self.upstreams = {}
        self.places = {}
        self.nodes = {}
        self.exit_codes = []
        self.outputs = []
        self.leaving = set()

    def start(self):
        self.platform.start()
        for place in plan_upstreams():
            identity = Identity(
                name=place.name, service=place.service, region=place.region
            )
            upstream = UpstreamServer(identity, new_control())
            upstream.start()
            self.upstreams[place.name] = upstream
        ports = find_free_ports(3 * len(NODES), self.host)
        for index, (name, region, domain) in enumerate(NODES):
            chosen = ports[3 * index : 3 * index + 3]
            self.places[name] = NodePlan(name, region, domain, *chosen, self.host)
        self.publish_vms()
        self.configure()
        version = self.platform.table.version
        for name in self.places:
            self.start_node(name)
        self.await_ready(version)

    def start_node(self, name):
        peers = list(self.places.values())
        data = build_node_settings(self.places[name], peers, self.platform.url)
        settings = decode_settings({**data, **FAST_SETTINGS}).unwrap()
        self.nodes[name] = Node(settings)
        self.nodes[name].start()

    def configure(self):
        addresses = {name: u.endpoint for name, u in self.upstreams.items()}
        for stored in build_configuration(addresses):
            metadata = {"name": stored.metadata.name, "generation": 1}
            value = PlatformObject(metadata=metadata, spec=stored.spec)
            self.platform.table.put(stored.kind, stored.metadata.name, value)

    def await_ready(self, version):
        self.until(lambda: all(self.has_applied(n, version) for n in self.nodes))
        gevent.sleep(SETTLE_S)
        self.until(self.takes_new_keys)

    def takes_new_keys(self):
        return all(
            self.node_takes_key(node) for node in self.nodes for _ in range(KEY_PROBES)
        )

    def node_takes_key(self, node):
        headers = {HEADER_IDEMPOTENCY_KEY: new_uuid7(self.clock)}
        url = f"{self.url(node)}/s/reserve/probe"
        try:
            return call("POST", url, b"probe", headers).status == 200
        except CALL_ERRORS:
            return False

    def has_applied(self, node, version):
        if not self.is_ready(node):
            return False
        overview = call("GET", f"{self.admin_url(node)}/api/v1/status").json()
        if overview["config_version"] < version or not overview["plan_version"]:
            return False
        url = f"{self.admin_url(node)}/api/v1/client_block_set/clients"
        return call("GET", url).json()["status"]["in_force"]

    def close(self):
        self.platform.set_faults(Faults())
        closing = []
        for node in self.nodes.values():
            node.force_shutdown()
            closing.append(gevent.spawn(node.close))
        gevent.joinall(closing, timeout=5)
        for upstream in self.upstreams.values():
            upstream.close()
        self.platform.close()

    def publish_vms(self):
        items = [
            Vm(
                name=place.name,
                address=place.address,
                peer_address=place.peer_address,
                admin_address=place.admin_address,
                region=place.region,
                failure_domain=place.failure_domain,
                site=place.failure_domain,
                state=VmState.LEAVING if name in self.leaving else VmState.LIVE,
            )
            for name, place in self.places.items()
        ]
        self.platform.vms.set(VmUpdate(items=items), self.clock.now_ms())

    def url(self, node):
        return f"http://{self.places[node].address}"

    def admin_url(self, node):
        return f"http://{self.places[node].admin_address}"

    def is_ready(self, node):
        try:
            return call("GET", f"{self.admin_url(node)}/readyz").status == 200
        except CALL_ERRORS:
            return False

    def until(self, condition, timeout_ms=START_TIMEOUT_MS):
        started_ms = self.clock.now_ms()
        while not condition():
            waited_ms = self.clock.now_ms() - started_ms
            assert waited_ms < timeout_ms, f"not reached within {timeout_ms} ms"
            gevent.sleep(POLL_S)
        return self.clock.now_ms() - started_ms

    def look_up(self, service, region, node="mtl-1"):
        query = f"service={service}&client={CALLERS[region][0]}"
        return call("GET", f"{self.url(node)}/v1/lookup?{query}")

    def send(self, node, service, path, method="GET", body=None, **options):
        url = f"{self.url(node)}/s/{service}{path}"
        return call(method, url, body, **options)

    def ctl(self, *argv, node="mtl-1"):
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = run_bilberryctl(["--server", self.admin_url(node), *argv])
        self.exit_codes.append(int(code))
        self.outputs.append(output.getvalue())
        return output.getvalue()

    def apply(self, *objects, node="mtl-1", options=()):
        path = self.directory / f"objects-{len(self.outputs)}.jsonc"
        path.write_bytes(encode(objects))
        self.ctl("apply", "-f", str(path), *options, node=node)
        return self.exit_codes[-1]

    def executions(self, **fields):
        found = []
        for upstream in self.upstreams.values():
            for execution in upstream.model.executions:
                if all(getattr(execution, k) == v for k, v in fields.items()):
                    found.append(execution)
        return found

    def pool(self, service, region=None):
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.identity.service == service
            and region in (None, upstream.identity.region)
        ]

    def reset_upstreams(self):
        for upstream in self.upstreams.values():
            upstream.model.set_control(new_control(), self.clock.now_ms())

    def set_control(self, upstream, **fields):
        control = msgspec.structs.replace(upstream.model.control, **fields)
        upstream.model.set_control(control, self.clock.now_ms())


def new_control():
    return Control(slots=SLOTS, service_ms=SERVICE_MS, crash_down_ms=300)


class ClusterPool:
    """Start deployments in advance for later scenarios."""

    def __init__(self, make_directory, size):
        self.make_directory = make_directory
        self.size = size
        self.made = 0
        self.warming = deque()

    def take(self):
        while len(self.warming) <= self.size:
            self.made += 1
            cluster = Cluster(self.make_directory(), f"127.1.{self.made}.1")
            self.warming.append((cluster, gevent.spawn(cluster.start)))
        cluster, starting = self.warming.popleft()
        starting.get()
        return cluster

    def close(self):
        for cluster, starting in self.warming:
            starting.kill()
            cluster.close()
