"""Helpers that run complete nodes with a fake store and upstreams."""

import socket

from bilberry_balance.placement.distances import Location
from bilberry_core.clock import SystemClock
from bilberry_platform.config import decode_config
from bilberry_platform.const import (
    HEADER_NAMES,
    PATH_DIRECTORY,
    PATH_READY,
    STORE_KINDS,
)
from bilberry_platform.directory import decode_query, encode_addresses
from bilberry_platform.entries import decode_node, make_upstream_decoder
from bilberry_platform.store import StoreClient
from bilberry_router.entry.node import EntryNode, NodeAddresses
from bilberry_router.entry.platform import Platform
from bilberry_router.entry.state import SharedLimits
from bilberry_testing.machines.objects import (
    config_spec,
    upstream_entry,
    upstream_status,
)
from bilberry_testing.machines.store import StoreServer
from bilberry_testing.machines.upstream import UpstreamServer

from ..bilberry_router.entry.common import Client, eventually

ZONES = {"mtl-a": "mtl", "mtl-b": "mtl", "qc-a": "qc"}
LOCAL = "127.0.0.1:0"


def free_udp_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        host, port = sock.getsockname()
    return f"{host}:{port}"


class Deployment:
    """Run a store, upstreams and nodes in this process."""

    def __init__(self, upstreams=2, grace_ms=1_000):
        self.clock = SystemClock()
        self.grace_ms = grace_ms
        self.store = StoreServer(self.clock)
        self.upstreams = [
            UpstreamServer(f"i-{index}", HEADER_NAMES, self.clock)
            for index in range(upstreams)
        ]
        self.nodes = []
        self.store_address = ""

    def __enter__(self):
        self.store.start()
        self.store_address = self.store.listener.address
        self.write("config", "main", config_spec())
        for upstream in self.upstreams:
            upstream.start()
            self.register(upstream)
        return self

    def __exit__(self, *exc):
        for node in self.nodes:
            node.close()
        self.store.close()
        for upstream in self.upstreams:
            upstream.close()

    def write(self, kind, name, spec, status=None):
        self.store.table.put(kind, name, spec, status)
        self.store.notify()

    def remove(self, kind, name):
        self.store.table.delete(kind, name)
        self.store.notify()

    def register(self, upstream, zone="mtl-a", born=1, **status):
        self.write(
            "servers",
            upstream.name,
            upstream_entry(upstream.address, upstream.slots, zone, born),
            upstream_status(**status),
        )

    def node(self, name="n1", zone="mtl-a", ready=True):
        """Start a node on free ports, and wait until ready if `ready`."""
        client = StoreClient(self.store_address, self.clock)
        platform = Platform(
            kinds=STORE_KINDS,
            header_names=HEADER_NAMES,
            source=client,
            registration=client,
            decode_config=decode_config,
            decode_upstream=make_upstream_decoder(ZONES),
            decode_node=decode_node,
            decode_query=decode_query,
            encode_addresses=encode_addresses,
            ready_path=PATH_READY,
            directory_path=PATH_DIRECTORY,
        )
        bounds = SharedLimits(0.2, 60, 10_000, 0.15, self.grace_ms)
        peer = free_udp_address()
        addresses = NodeAddresses(LOCAL, LOCAL, LOCAL, peer, LOCAL)
        place = Location(zone, ZONES[zone])
        run_id = f"run-{len(self.nodes)}"
        node = EntryNode(name, run_id, place, addresses, bounds, platform, self.clock)
        node.start()
        self.nodes.append(node)
        if ready:
            eventually(node.is_ready)
            eventually(lambda: len(node.state.upstreams.by_name) == len(self.upstreams))
        return node


def connect(listener):
    return Client(listener.address, HEADER_NAMES.request_id)


def fetch(listener, target, **fields):
    client = connect(listener)
    client.send(target, **fields)
    return client.answer()
