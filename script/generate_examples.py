"""Write the example configurations under `examples/`.

Run as `.venv/bin/python script/generate_examples.py`.
"""

import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import cycle
from pathlib import Path
from typing import Any

EXAMPLES = Path(__file__).parent.parent / "examples"
DOMAINS = ("a", "b")
LOOPBACK = "127.0.0.1"
LINK_BYTES_PER_S = 500_000_000
USABLE_SHARE = 0.8
MS_PER_SECOND = 1_000


@dataclass(slots=True)
class ServiceSize:
    """Give a service's size; `service_ms` is the mean time of a request."""

    name: str
    endpoints: int
    slots: int
    service_ms: int
    spec: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Deployment:
    """Give a deployment's size; VMs and prefixes are by region."""

    name: str
    title: str
    objective: str
    one_way_ms: int
    connections: int
    base_port: int
    vms: dict[str, int]
    prefixes: dict[str, list[str]]
    services: list[ServiceSize]
    intents: list[dict[str, Any]]

    @property
    def regions(self) -> list[str]:
        """Return the regions, the store's first."""
        return list(self.vms)

    @property
    def domains(self) -> list[tuple[str, str]]:
        """Return each region with each of its failure domains."""
        return [(r, f"{r}-{domain}") for domain in DOMAINS for r in self.regions]


ARCQ = Deployment(
    name="arcq",
    title="Association des réparateurs de cuivres du Québec",
    objective="headroom",
    one_way_ms=55,
    connections=360,
    base_port=7_000,
    vms={"mtl": 4, "qc": 4, "sag": 3},
    prefixes={
        "mtl": ["10.32.0.0/12", "2001:db8:100::/40", "127.0.1.0/24"],
        "qc": ["10.48.0.0/13", "2001:db8:200::/40", "127.0.2.0/24"],
        "sag": ["10.56.0.0/14", "2001:db8:300::/40", "127.0.3.0/24"],
    },
    services=[
        ServiceSize("suivi", 12, 9, 20, {"timeout_ms": 5_000}),
        ServiceSize(
            "reserve",
            12,
            4,
            50,
            {"timeout_ms": 15_000, "priority": "high", "reserved_share": 0.2},
        ),
        ServiceSize(
            "annuaire",
            14,
            9,
            25,
            {"timeout_ms": 5_000, "reserved_share": 0.2, "response_bytes": 24_000},
        ),
    ],
    intents=[
        {
            "name": "suivi-mtl-to-qc",
            "note": "Move a third of mtl's repair tracking to qc before planned work.",
            "spec": {
                "service": "suivi",
                "moves": [{"source": "mtl", "target": "qc", "share": 0.33}],
                "cap": {"max_share": 0.05, "max_rate_per_s": 100},
                "step_ms": 10_000,
                "soak_ms": 20_000,
                "bounds": {"max_error_share": 0.01, "max_utilization": 0.85},
            },
        },
        {
            "name": "annuaire-festival",
            "note": "Spread the catalogue over all regions for the festival.",
            "spec": {
                "service": "annuaire",
                "weights": {"mtl": 40, "qc": 35, "sag": 25},
                "cap": {"max_share": 0.05},
                "step_ms": 15_000,
                "soak_ms": 15_000,
                "bounds": {"max_utilization": 0.8, "max_latency_ms": 400},
            },
        },
    ],
)

CDRA = Deployment(
    name="cdra",
    title="Caledonian Delivery Records Agency",
    objective="latency",
    one_way_ms=35,
    connections=390,
    base_port=8_000,
    vms={"lowlands": 4, "highlands": 3, "borders": 3},
    prefixes={
        "lowlands": ["10.64.0.0/12", "2001:db8:400::/40", "127.0.1.0/24"],
        "highlands": ["10.80.0.0/13", "2001:db8:500::/40", "127.0.2.0/24"],
        "borders": ["10.88.0.0/14", "2001:db8:600::/40", "127.0.3.0/24"],
    },
    services=[
        ServiceSize("tracker", 12, 6, 15, {"timeout_ms": 3_000, "priority": "high"}),
        ServiceSize(
            "handover",
            12,
            3,
            40,
            {"timeout_ms": 10_000, "priority": "high", "reserved_share": 0.2},
        ),
        ServiceSize(
            "gallery",
            16,
            6,
            80,
            {
                "timeout_ms": 60_000,
                "priority": "low",
                "request_bytes": 300_000,
                "response_bytes": 400_000,
            },
        ),
    ],
    intents=[
        {
            "name": "gallery-off-lowlands",
            "note": "Take most archive traffic off lowlands while its link is mended.",
            "spec": {
                "service": "gallery",
                "moves": [{"source": "lowlands", "target": "borders", "share": 0.6}],
                "cap": {"max_share": 0.03, "max_rate_per_s": 30},
                "step_ms": 20_000,
                "soak_ms": 30_000,
                "bounds": {"max_error_share": 0.005, "max_latency_ms": 1_500},
            },
        },
        {
            "name": "tracker-highlands",
            "note": "Serve a tenth of lowlands' status look-ups from highlands.",
            "spec": {
                "service": "tracker",
                "moves": [{"source": "lowlands", "target": "highlands", "share": 0.1}],
                "cap": {"max_share": 0.02},
            },
        },
    ],
)

DEPLOYMENTS = (ARCQ, CDRA)


def make(kind: str, name: str, **spec: Any) -> dict[str, Any]:
    """Return one object as written in a file."""
    return {"kind": kind, "metadata": {"name": name}, "spec": spec}


def placed_upstreams(size: ServiceSize, deployment: Deployment) -> list[str]:
    """Return the failure domain of each of a service's upstreams."""
    domains = cycle(domain for _, domain in deployment.domains)
    return [next(domains) for _ in range(size.endpoints)]


def region_objects(deployment: Deployment) -> Iterator[dict[str, Any]]:
    """Yield the regions, with capacity from their upstreams' slots."""
    for region in deployment.regions:
        capacity = {}
        for size in deployment.services:
            placed = placed_upstreams(size, deployment)
            count = sum(domain.startswith(f"{region}-") for domain in placed)
            per_slot = MS_PER_SECOND / size.service_ms
            capacity[size.name] = round(count * size.slots * per_slot * USABLE_SHARE)
        domains = [f"{region}-{domain}" for domain in DOMAINS]
        yield make("region", region, failure_domains=domains, capacity_per_s=capacity)


def link_objects(deployment: Deployment) -> Iterator[dict[str, Any]]:
    """Yield a link each way between any two regions."""
    for source in deployment.regions:
        for target in deployment.regions:
            if source != target:
                yield make(
                    "link",
                    f"{source}-{target}",
                    source=source,
                    target=target,
                    budget_bytes_per_s=LINK_BYTES_PER_S,
                    one_way_ms=deployment.one_way_ms,
                )


def service_objects(deployment: Deployment) -> Iterator[dict[str, Any]]:
    """Yield the services."""
    for size in deployment.services:
        connections = deployment.connections
        spec = {"slots": size.slots, "connections": connections, **size.spec}
        yield make("service", size.name, **spec)


def site_objects(deployment: Deployment) -> Iterator[dict[str, Any]]:
    """Yield one site for each failure domain."""
    for region, domain in deployment.domains:
        yield make("site", domain, region=region, failure_domain=domain)


def upstream_objects(deployment: Deployment) -> Iterator[dict[str, Any]]:
    """Yield the upstreams, on loopback ports."""
    port = deployment.base_port + 500
    for size in deployment.services:
        for number, domain in enumerate(placed_upstreams(size, deployment), 1):
            port += 1
            yield make(
                "upstream",
                f"{size.name}-{number:02}",
                service=size.name,
                region=domain.rpartition("-")[0],
                failure_domain=domain,
                address=f"{LOOPBACK}:{port}",
            )


def block_set_objects(deployment: Deployment) -> Iterator[dict[str, Any]]:
    """Yield the client blocks, each with its regions, nearest first."""
    groups = []
    for region in deployment.regions:
        others = [name for name in deployment.regions if name != region]
        prefixes = deployment.prefixes[region]
        groups.append({"regions": [region, *others], "prefixes": prefixes})
    yield make("client_block_set", f"{deployment.name}-clients", groups=groups)


def config_text(deployment: Deployment) -> str:
    """Return the configuration file."""
    sections = {
        "Regions; capacities in requests per second": region_objects,
        "Links, each way; budgets in bytes per second": link_objects,
        "Services": service_objects,
        "Sites, one for each failure domain": site_objects,
        "Upstreams": upstream_objects,
        "Client blocks, nearest region first": block_set_objects,
    }
    lines = [f"// {deployment.title}", '{"items": [']
    parts = list(sections.items())
    for index, (title, objects) in enumerate(parts):
        lines.append(f"  // {title}")
        texts = [json.dumps(item, ensure_ascii=False) for item in objects(deployment)]
        last = index == len(parts) - 1
        lines += [f"  {text}," for text in texts[:-1]]
        lines.append(f"  {texts[-1]}" + ("" if last else ","))
    return "\n".join([*lines, "]}", ""])


def intents_text(deployment: Deployment) -> str:
    """Return the file of example intents."""
    parts = []
    for intent in deployment.intents:
        text = json.dumps(make("intent", intent["name"], **intent["spec"]), indent=2)
        parts.append(f"// {intent['note']}\n{text}")
    return "[\n" + ",\n".join(parts) + "\n]\n"


def node_settings(deployment: Deployment) -> dict[str, dict[str, Any]]:
    """Return the settings of each VM by its name."""
    base = deployment.base_port
    places = []
    for region, count in deployment.vms.items():
        for index in range(count):
            places.append((region, f"{region}-{DOMAINS[index % len(DOMAINS)]}"))
    found = {}
    for number, (region, domain) in enumerate(places, 1):
        name = f"{deployment.name}-{number:02}"
        found[name] = {
            "node": {"name": name, "region": region, "failure_domain": domain},
            "listen": {
                "address": f"{LOOPBACK}:{base + 100 + number}",
                "admin_address": f"{LOOPBACK}:{base + 200 + number}",
                "peer_address": f"{LOOPBACK}:{base + 300 + number}",
            },
            "store": {"url": f"http://{LOOPBACK}:{base}"},
            "seed_peers": [
                f"{LOOPBACK}:{base + 300 + other}"
                for other in range(1, len(places) + 1)
                if other != number
            ][:4],
            "steering": {"objective": deployment.objective},
        }
    return found


def files(deployment: Deployment) -> dict[str, str]:
    """Return every file of a deployment by its path."""
    found = {
        "config.jsonc": config_text(deployment),
        "intents.jsonc": intents_text(deployment),
    }
    for name, settings in node_settings(deployment).items():
        text = json.dumps(settings, indent=2)
        found[f"nodes/{name}.jsonc"] = f"// Settings of VM {name}\n{text}\n"
    return found


def main() -> int:
    """Write every file."""
    for deployment in DEPLOYMENTS:
        for path, text in files(deployment).items():
            target = EXAMPLES / deployment.name / path
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_text(text)
            sys.stdout.write(f"{target.relative_to(EXAMPLES.parent)}\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
