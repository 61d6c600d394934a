"""Define the demo's deployment and its configuration."""

import socket
from typing import Any

import msgspec

from bilberry_resources.const import (
    KIND_CLIENT_BLOCK_SET,
    KIND_LINK,
    KIND_REGION,
    KIND_SERVICE,
    KIND_SITE,
    KIND_UPSTREAM,
)
from bilberry_resources.model import Metadata, StoredObject

from ..const import DEFAULT_ADDRESS

REGIONS = ("mtl", "qc")
SERVICES = ("suivi", "reserve")
NODES = (("mtl-1", "mtl", "mtl-a"), ("mtl-2", "mtl", "mtl-b"), ("qc-1", "qc", "qc-a"))
DOMAINS = ("a", "b")
SLOTS = 8
SERVICE_MS = 5
CAPACITY_PER_S = 1_000
LINK_BYTES_PER_S = 500_000_000
MEMBER_BOUND = 4
PLAN_INTERVAL_MS = 1_000
REPORT_INTERVAL_MS = 1_000
TICK_INTERVAL_MS = 100
LOOKUP_TTL_MS = 1_000

CALLERS_PER_REGION = 60
CALLERS = {
    region: [f"127.0.{number}.{10 + i}" for i in range(CALLERS_PER_REGION)]
    for number, region in enumerate(REGIONS, 1)
}
PREFIXES = {"mtl": ["127.0.1.0/24", "127.0.0.0/24"], "qc": ["127.0.2.0/24"]}


class NodePlan(msgspec.Struct, frozen=True):
    """Represent a planned node, its location and its ports."""

    name: str
    region: str
    failure_domain: str
    port: int
    admin_port: int
    peer_port: int
    host: str = DEFAULT_ADDRESS

    @property
    def address(self) -> str:
        """Return the IP:PORT for callers."""
        return f"{self.host}:{self.port}"

    @property
    def admin_address(self) -> str:
        """Return the IP:PORT for operators."""
        return f"{self.host}:{self.admin_port}"

    @property
    def peer_address(self) -> str:
        """Return the IP:PORT for other nodes."""
        return f"{self.host}:{self.peer_port}"


class UpstreamPlan(msgspec.Struct, frozen=True):
    """Represent a planned upstream and its location."""

    name: str
    service: str
    region: str
    failure_domain: str


def plan_nodes() -> list[NodePlan]:
    """Return three nodes on free ports."""
    ports = iter(find_free_ports(3 * len(NODES)))
    return [
        NodePlan(name, region, domain, next(ports), next(ports), next(ports))
        for name, region, domain in NODES
    ]


def plan_upstreams() -> list[UpstreamPlan]:
    """Return the upstreams of every service in both regions."""
    return [
        UpstreamPlan(f"{service}-{region}-{n}", service, region, f"{region}-{domain}")
        for service in SERVICES
        for region in REGIONS
        for n, domain in enumerate(DOMAINS, 1)
    ]


def find_free_ports(count: int, host: str = DEFAULT_ADDRESS) -> list[int]:
    """Return ports that are free now and may be taken before use."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def build_node_settings(
    plan: NodePlan, peers: list[NodePlan], store_url: str
) -> dict[str, Any]:
    """Return the settings of one node."""
    return {
        "node": {
            "name": plan.name,
            "region": plan.region,
            "failure_domain": plan.failure_domain,
            "site": plan.failure_domain,
        },
        "listen": {
            "address": plan.address,
            "admin_address": plan.admin_address,
            "peer_address": plan.peer_address,
        },
        "store": {"url": store_url},
        "seed_peers": [peer.peer_address for peer in peers if peer is not plan],
        "lookup": {"ttl_ms": LOOKUP_TTL_MS},
        "steering": {
            "member_bound": MEMBER_BOUND,
            "plan_interval_ms": PLAN_INTERVAL_MS,
        },
        "fleet": {"report_ms": REPORT_INTERVAL_MS, "tick_ms": TICK_INTERVAL_MS},
    }


def build_configuration(addresses: dict[str, str]) -> list[StoredObject]:
    """Return all configuration objects.

    `addresses` maps the name of an upstream to its IP:PORT.
    """
    objects = [
        make_object(
            KIND_REGION,
            region,
            failure_domains=[f"{region}-{domain}" for domain in DOMAINS],
            capacity_per_s=dict.fromkeys(SERVICES, CAPACITY_PER_S),
        )
        for region in REGIONS
    ]
    for source, target in (REGIONS, REGIONS[::-1]):
        link = {"source": source, "target": target}
        name = f"{source}-{target}"
        budget = LINK_BYTES_PER_S
        objects.append(make_object(KIND_LINK, name, **link, budget_bytes_per_s=budget))
    objects += [make_object(KIND_SERVICE, name, slots=SLOTS) for name in SERVICES]
    for region in REGIONS:
        for domain in DOMAINS:
            site = {"region": region, "failure_domain": f"{region}-{domain}"}
            objects.append(make_object(KIND_SITE, f"{region}-{domain}", **site))
    for plan in plan_upstreams():
        spec = {**msgspec.to_builtins(plan), "address": addresses[plan.name]}
        del spec["name"]
        objects.append(make_object(KIND_UPSTREAM, plan.name, **spec))
    groups = [
        {"regions": sorted(REGIONS, key=lambda r: r != region), "prefixes": prefixes}
        for region, prefixes in PREFIXES.items()
    ]
    objects.append(make_object(KIND_CLIENT_BLOCK_SET, "clients", groups=groups))
    return objects


def make_object(kind: str, name: str, **spec: Any) -> StoredObject:
    """Return an object with the given spec."""
    return StoredObject(kind=kind, metadata=Metadata(name=name), spec=spec)
