"""Common frame of the cases: deployment, manifest, record, exit code."""

import asyncio
import os
import shutil
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .client import Clients, Sent
from .endpoint import Endpoint, Run
from .nodes import Node, loopback
from .store import Store

HOST = "shop.example"
LIMIT_S = 110.0
HELD, BROKEN, UNPLAYED = 0, 1, 2


class CannotRunError(Exception):
    """Raised if the case can't be played here."""


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the manifest."""
    spec = {
        "host": HOST,
        "path_prefix": prefix,
        "kind": "idempotent",
        "service": "s",
        "timeout_s": 2,
        "target_latency_s": 0.5,
        "max_attempts": 2,
        "priority": 1,
        "sticky": False,
        "home_regions": [],
        **fields,
    }
    return {"resource_kind": "routes", "metadata": {"name": name}, "spec": spec}


def manifest(
    version: int, routes: list[dict[str, Any]], services: list[str], **limits: Any
) -> dict[str, Any]:
    """Return a manifest in full."""
    pool = {
        "health_path": "/healthz",
        "max_connections": 360,
        "cold_start_s": 3.0,
        "cold_per_s": 6.4,
    }
    bounds = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
        **limits,
    }
    resources = [
        *routes,
        *(
            {"resource_kind": "services", "metadata": {"name": name}, "spec": pool}
            for name in services
        ),
        {"resource_kind": "limits", "metadata": {"name": "limits"}, "spec": bounds},
    ]
    return {"version": version, "resources": resources}


def first_manifest() -> dict[str, Any]:
    """Return a manifest with one idempotent route to one service."""
    return manifest(3, [route("read", "/read/")], ["s"])


class Case:
    """Hold the deployment of one case, and write its record."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = Path(tempfile.mkdtemp())
        self.store = Store()
        self.nodes: list[Node] = []
        self.endpoints: list[Endpoint] = []
        self.sent: list[Sent] = []
        self.runs: list[Run] = []
        self.began = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def at(self, moment: float) -> float:
        """Return a moment in seconds since the begin."""
        return moment - self.began

    async def add_node(self, zone: str, zones: dict[str, str], **settings: Any) -> Node:
        """Add a node; its name gives its place."""
        number = len(self.nodes) + 1
        name = f"front-{zone}-{number}"
        store = await self.store.listen(loopback(1), name)
        node = Node(
            name,
            loopback(10 + number),
            zone,
            zones,
            store,
            self.temporary,
            **settings,
        )
        self.nodes.append(node)
        return node

    async def add_endpoint(
        self,
        name: str,
        service: str,
        zone: str,
        kind: Callable[..., Endpoint] = Endpoint,
        **fields: Any,
    ) -> Endpoint:
        """Start an endpoint."""
        host = loopback(100 + len(self.endpoints))
        endpoint = kind(self.store, name, service, host, zone, self.runs, **fields)
        await endpoint.start()
        self.endpoints.append(endpoint)
        return endpoint

    async def start_nodes(self) -> None:
        """Start all nodes, and wait until they are ready."""
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            if not await node.wait_ready():
                raise CannotRunError(f"{node.name} isn't ready")
        await asyncio.sleep(4)

    def clients(self, region: str, zone: str, **fields: Any) -> Clients:
        """Return clients of a zone."""
        directories = [node.directory for node in self.nodes]
        return Clients(directories, HOST, region, zone, self.sent, **fields)

    async def close(self) -> None:
        """End all that was started."""
        for node in self.nodes:
            node.kill()
        for endpoint in self.endpoints:
            await endpoint.close()
        await self.store.close()

    def write_record(self, result: int, summary: list[str]) -> None:
        """Write what was sent, answered and run."""
        with (self.folder / "record.txt").open("w") as record:
            record.write(f"trouble: {self.trouble}\nexit: {result}\n")
            record.writelines(f"{line}\n" for line in summary)
            record.write("events (seconds since the begin):\n")
            record.writelines(f"{line}\n" for line in self.lines)
            record.write("sent and answered: time, path, node, status, seconds, id\n")
            record.writelines(
                f"{self.at(s.at):8.3f} {s.path} {s.node} {s.status}"
                f" {s.took_s:.3f} {s.attempt_id}\n"
                for s in self.sent
            )
            record.write("run: time, endpoint, service, path, node, id\n")
            record.writelines(
                f"{self.at(r.at):8.3f} {r.endpoint} {r.service} {r.path}"
                f" {r.node} {r.attempt_id}\n"
                for r in self.runs
            )


Play = Callable[[Case], Awaitable[list[str]]]


def main(file: str, play: Play) -> int:
    """Play a case; `play` returns the breaches of the rule."""
    case = Case(Path(file).resolve().parent)
    keep = os.environ.get("KEEP_LOGS", "")

    async def run() -> list[str]:
        try:
            async with asyncio.timeout(LIMIT_S):
                return await play(case)
        finally:
            await case.close()

    try:
        breaches = asyncio.run(run())
        result = BROKEN if breaches else HELD
    except (CannotRunError, TimeoutError, OSError) as error:
        breaches = [f"could not run: {type(error).__name__} {error}"]
        result = UNPLAYED
    case.write_record(result, breaches)
    sys.stdout.write("\n".join([*breaches[:5], f"breaches: {len(breaches)}"]) + "\n")
    if keep:
        shutil.copytree(case.temporary, keep, dirs_exist_ok=True)
    shutil.rmtree(case.temporary, ignore_errors=True)
    return result
