"""Run the processes of the demo and call them."""

import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from bilberry_core.const import MS_PER_SECOND
from bilberry_resources.codec import encode
from bilberry_resources.model import StoredObject

from ..client import CALL_ERRORS, Reply, call
from ..platform.messages import Vm, VmUpdate
from .deployment import (
    SERVICE_MS,
    SLOTS,
    NodePlan,
    UpstreamPlan,
    build_configuration,
    build_node_settings,
    plan_nodes,
    plan_upstreams,
)
from .processes import Process, node_process, run_ctl, stand_in_process

POLL_MS = 50
START_TIMEOUT_MS = 20_000


class DemoError(Exception):
    """Signal a failed check of the demo."""


class NodeAddress(msgspec.Struct):
    """Represent the URLs of a running node."""

    name: str
    region: str
    url: str
    admin_url: str
    pid: int


class UpstreamAddress(msgspec.Struct):
    """Represent the URL of a running upstream."""

    service: str
    name: str
    region: str
    url: str
    pid: int


class Addresses(msgspec.Struct):
    """Represent the URLs of all running processes."""

    nodes: list[NodeAddress]
    store: str
    upstreams: list[UpstreamAddress]


@dataclass(slots=True)
class RunningNode:
    """Store a node's plan and process."""

    plan: NodePlan
    process: Process

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f"http://{self.plan.address}"

    @property
    def admin_url(self) -> str:
        """Return the URL for operators."""
        return f"http://{self.plan.admin_address}"


@dataclass(slots=True)
class RunningUpstream:
    """Store an upstream's plan, process and URL."""

    plan: UpstreamPlan
    process: Process
    url: str = ""


@dataclass(slots=True)
class DemoCluster:
    """Manage all processes of the demo."""

    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp("-bilberry")))
    processes: list[Process] = field(default_factory=list)
    nodes: list[RunningNode] = field(default_factory=list)
    upstreams: list[RunningUpstream] = field(default_factory=list)
    store_url: str = ""

    def start(self) -> None:
        """Start the store, the upstreams and the nodes."""
        store = self.launch(stand_in_process("store", self.directory, "platform"))
        for plan in plan_upstreams():
            process = stand_in_process(
                plan.name, self.directory, "upstream", *_build_upstream_options(plan)
            )
            self.upstreams.append(RunningUpstream(plan, self.launch(process)))
        self.store_url = wait_for_url(store)
        for upstream in self.upstreams:
            upstream.url = wait_for_url(upstream.process)
        self.start_nodes()

    def start_nodes(self) -> None:
        """Start the nodes and put them on the platform's list of VMs."""
        plans = plan_nodes()
        for plan in plans:
            path = self.directory / f"{plan.name}.jsonc"
            path.write_bytes(encode(build_node_settings(plan, plans, self.store_url)))
            process = self.launch(node_process(plan.name, self.directory, path))
            self.nodes.append(RunningNode(plan, process))
        update = VmUpdate(items=[_build_vm(plan) for plan in plans])
        call("PUT", f"{self.store_url}/_vms", update)
        for node in self.nodes:
            self.until(lambda node=node: is_answering(f"{node.admin_url}/healthz"))  # type: ignore[misc]

    def launch(self, process: Process) -> Process:
        """Start a process and add it to the managed ones."""
        process.start()
        self.processes.append(process)
        return process

    def close(self) -> None:
        """Stop all processes, the nodes first."""
        for process in reversed(self.processes):
            process.terminate()
        for process in reversed(self.processes):
            process.close()

    def until(
        self, condition: Callable[[], bool], timeout_ms: int = START_TIMEOUT_MS
    ) -> int:
        """Wait until a condition is true; return the time it took in ms.

        Raise DemoError after `timeout_ms` or when a process has ended.
        """
        started = time.monotonic()
        while not condition():
            waited_ms = (time.monotonic() - started) * MS_PER_SECOND
            if waited_ms > timeout_ms:
                raise DemoError(f"not reached within {timeout_ms} ms")
            for process in self.processes:
                if not process.is_running:
                    raise DemoError(f"{process.name} ended: {process.output()[-500:]}")
            time.sleep(POLL_MS / MS_PER_SECOND)
        return round((time.monotonic() - started) * MS_PER_SECOND)

    def objects(self) -> list[StoredObject]:
        """Return the configuration with the upstreams' addresses."""
        addresses = {
            upstream.plan.name: upstream.url.removeprefix("http://")
            for upstream in self.upstreams
        }
        return build_configuration(addresses)

    def write_objects(self, name: str, objects: list[StoredObject]) -> str:
        """Write objects to a file and return its path."""
        path = self.directory / name
        path.write_bytes(encode(objects))
        return str(path)

    def ctl(self, *arguments: str, node: int = 0) -> str:
        """Run bilberryctl and return its output, or raise DemoError."""
        done = run_ctl(self.nodes[node].admin_url, *arguments)
        if done.returncode != 0:
            command = " ".join(arguments)
            detail = f"{done.stdout}{done.stderr}".strip()
            raise DemoError(f"bilberryctl {command}: exit {done.returncode}: {detail}")
        return done.stdout

    def addresses(self) -> Addresses:
        """Return the URLs of all processes."""
        nodes = [
            NodeAddress(n.plan.name, n.plan.region, n.url, n.admin_url, n.process.pid)
            for n in self.nodes
        ]
        upstreams = [
            UpstreamAddress(
                u.plan.service, u.plan.name, u.plan.region, u.url, u.process.pid
            )
            for u in self.upstreams
        ]
        return Addresses(nodes, self.store_url, upstreams)


def is_answering(url: str) -> bool:
    """Return whether a GET of `url` returns status 200."""
    reply = try_get(url)
    return reply is not None and reply.status == 200


def try_get(url: str) -> Reply | None:
    """Return the answer to a GET, None if the call failed."""
    try:
        return call("GET", url)
    except CALL_ERRORS:
        return None


def wait_for_url(process: Process) -> str:
    """Return the URL that a simulated service prints once it is ready.

    Raise DemoError if it doesn't start in time.
    """
    deadline = time.monotonic() + START_TIMEOUT_MS / MS_PER_SECOND
    while time.monotonic() < deadline and process.is_running:
        output = process.output()
        if output.startswith("http") and output.endswith("\n"):
            return output.strip()
        time.sleep(POLL_MS / MS_PER_SECOND)
    raise DemoError(f"{process.name} did not start: {process.output()}")


def _build_upstream_options(plan: UpstreamPlan) -> list[str]:
    options = {
        "--name": plan.name,
        "--service": plan.service,
        "--region": plan.region,
        "--slots": SLOTS,
        "--service-ms": SERVICE_MS,
    }
    return [str(part) for pair in options.items() for part in pair]


def _build_vm(plan: NodePlan) -> Vm:
    return Vm(
        name=plan.name,
        address=plan.address,
        peer_address=plan.peer_address,
        admin_address=plan.admin_address,
        region=plan.region,
        failure_domain=plan.failure_domain,
        site=plan.failure_domain,
    )
