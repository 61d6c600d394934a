"""Run one node as a process under hostile load, and check that it serves."""

import os
import resource

import gevent
from gevent import socket as gevent_socket

from bilberry_core.clock import SystemClock
from bilberry_platform.const import HEADER_NAMES
from bilberry_testing.machines.objects import (
    config_spec,
    upstream_entry,
    upstream_status,
)
from bilberry_testing.machines.store import StoreServer
from bilberry_testing.machines.upstream import UpstreamServer
from soak.loopback import LoopbackNetwork
from soak.processes import NodeProcess

from ..bilberry_router.entry.common import Client

MEMORY_BYTES = 200_000_000
BODY_BYTES = 4_194_304
HEADER_BYTES = 16_384
MAX_DESCRIPTORS = 512
ANSWER_TIMEOUT_S = 8
# Time for the hostile load to reach the node; its connections then stay open.
LOAD_S = 2
START_TIMEOUT_S = 30
FRONT_PORT = 8_381
READY_PORT = 8_388
SETTINGS = """
node_name = "n1"
ip = "{ip}"
zone = "mtl-a"
region = "mtl"
port_range = [7200, 7215]
[zones]
mtl-a = "mtl"
[listen]
front = "{ip}:8381"
readiness = "{ip}:8388"
directory = "{ip}:8383"
[bounds]
grace_s = 6
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 60
max_region_shift = 0.15
[platform]
address = "{store}"
[limits]
memory_mb = {memory_mb}
"""


class Target:
    """Run a store, an upstream and one node, which is a process."""

    def __init__(self, directory):
        self.clock = SystemClock()
        self.network = LoopbackNetwork()
        self.store = StoreServer(self.clock)
        self.upstream = UpstreamServer("i-0", HEADER_NAMES, self.clock)
        self.ip = f"127.{self.network.number}.0.2"
        self.process = NodeProcess(directory / "n1.toml")
        self.hostile = []
        self.senders = []

    def __enter__(self):
        self.store.start()
        self.upstream.start()
        spec = config_spec(max_body_bytes=BODY_BYTES, max_header_bytes=HEADER_BYTES)
        self.store.table.put("config", "main", spec)
        entry = upstream_entry(self.upstream.address, self.upstream.slots)
        self.store.table.put("servers", "i-0", entry, upstream_status())
        self.process.settings_path.write_text(
            SETTINGS.format(
                ip=self.ip,
                store=self.store.listener.address,
                memory_mb=MEMORY_BYTES / 1_000_000,
            )
        )
        self.process.start()
        self.wait_until_ready()
        return self

    def __exit__(self, *exc):
        gevent.killall(self.senders)
        for sock in self.hostile:
            sock.close()
        self.process.close()
        self.store.close()
        self.upstream.close()
        self.network.close()

    def wait_until_ready(self):
        with gevent.Timeout(START_TIMEOUT_S):
            while not self.is_ready():
                gevent.sleep(0.05)

    def is_ready(self):
        try:
            client = self.client(READY_PORT)
            client.send("/readyz")
            answer = client.answer()
        except OSError:
            return False
        return answer is not None and answer.status == 200

    def client(self, port=FRONT_PORT):
        """Connect an ordinary caller, from an address of its own."""
        source = f"127.{self.network.number}.0.8"
        return Client(f"{self.ip}:{port}", HEADER_NAMES.request_id, source)

    def limit_descriptors(self, count):
        """Lower the limit of the node's process on descriptors."""
        resource.prlimit(self.process.popen.pid, resource.RLIMIT_NOFILE, (count, count))

    def attack(self, connections, send):
        """Run `send` on hostile connections from one address.

        They stay open until the end of the test.
        """
        for _ in range(connections):
            self.senders.append(gevent.spawn(self.send_hostile, send))
        gevent.sleep(LOAD_S)

    def send_hostile(self, send):
        sock = gevent_socket.socket()
        self.hostile.append(sock)
        try:
            sock.bind((f"127.{self.network.number}.0.9", 0))
            sock.connect((self.ip, FRONT_PORT))
            send(sock)
        except OSError:
            return

    def peak_memory_bytes(self):
        status = self.read_proc("status")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1_024

    def read_proc(self, name):
        with open(f"/proc/{self.process.popen.pid}/{name}") as file:
            return file.read()

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.popen.pid}/fd"))

    def assert_serves(self, max_descriptors=MAX_DESCRIPTORS):
        """Check that the node lives within its bounds and serves others."""
        answer = None
        with gevent.Timeout(ANSWER_TIMEOUT_S, False):
            client = self.client()
            client.send("/read/x", request_id="ordinary")
            answer = client.answer()
        assert self.process.is_running
        assert self.peak_memory_bytes() < MEMORY_BYTES
        assert self.descriptors() < max_descriptors
        assert answer is not None, f"no answer within {ANSWER_TIMEOUT_S} s"
        assert answer.status == 200


def head(*headers, target="/read/x", method="POST"):
    """Return a request's head."""
    lines = [f"{method} {target} HTTP/1.1", "Host: shop.example", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
