"""Define the steps of the demo, each with its checks."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from bilberry_core.clock import SystemClock
from bilberry_core.const import HEADER_IDEMPOTENCY_REPLAYED, MS_PER_SECOND
from bilberry_core.ids import new_uuid7
from bilberry_core.registry import Registry
from bilberry_resources.const import KIND_INTENT
from bilberry_resources.model import StoredObject

from ..client import call
from .cluster import DemoCluster, DemoError
from .deployment import CALLERS, make_object
from .traffic import Caller, Tally, post_booking

REQUESTS = 60
SHIFT_SHARE = 0.25
SHIFT_CAP = 0.1
MTL_SHARE = 0.5
SHIFT_TOLERANCE = 0.15
STEP_MS = 1_000
SETTLE_MS = 2_000
SHIFT_TIMEOUT_MS = 25_000
DRAIN_TIMEOUT_MS = 5_000
DRAINED_SITE = "mtl-b"
DRAINED_NODE = "mtl-2"


@dataclass(slots=True)
class Demo:
    """Store the demo's processes and background callers."""

    cluster: DemoCluster
    callers: dict[str, Caller]


Step = Callable[[Demo], list[str]]

STEPS: Registry[str, Step] = Registry()


@STEPS.register("Apply the configuration with bilberryctl")
def apply_configuration(demo: Demo) -> list[str]:
    """Apply every object and wait until it is in force."""
    cluster = demo.cluster
    path = cluster.write_objects("config.jsonc", cluster.objects())
    lines = cluster.ctl("apply", "-f", path).splitlines()
    again = cluster.ctl("apply", "-f", path, node=1).splitlines()
    if not again[-1].startswith("0 created, 0 updated"):
        raise DemoError(f"applying twice changed something: {again[-1]}")
    waited = cluster.ctl("wait", "client_block_set", "clients", "--for", "in-force")
    settled_ms = wait_for_bookings(demo)
    return [
        lines[-1],
        f"again, through another node: {again[-1]}",
        waited.strip(),
        f"every node takes bookings {settled_ms} ms later",
    ]


@STEPS.register("Ask which VMs to use")
def look_up(demo: Demo) -> list[str]:
    """Look up a service for a caller near each region."""
    lines = []
    for region, (client, *_) in CALLERS.items():
        names = find_vm_names(demo, client)
        if not names or not names[0].startswith(region):
            raise DemoError(f"a caller near {region} is sent to {names}")
        lines.append(f"caller {client} near {region}: {', '.join(names)}")
    client = CALLERS["mtl"][0]
    shown = demo.cluster.ctl("lookup", "--service", "suivi", "--client", client)
    return [*lines, "as an operator sees it:", *shown.splitlines()]


@STEPS.register("Forward requests")
def forward_requests(demo: Demo) -> list[str]:
    """Send requests for repairs and check that each gets its own answer."""
    lines = []
    for region, caller in demo.callers.items():
        for _ in range(REQUESTS):
            caller.get()
        require_no_failures(caller.tally)
        regions = dict(caller.tally.regions)
        lines.append(f"{REQUESTS} requests near {region} answered by {regions}")
    return lines


@STEPS.register("Book once, though sent twice")
def book_once(demo: Demo) -> list[str]:
    """Send a booking again through another node with the same key."""
    key = new_uuid7(SystemClock())
    first, second = (
        post_booking(node, b'{"bench":4}', key) for node in demo.cluster.nodes[:2]
    )
    if (first.status, first.body) != (second.status, second.body):
        raise DemoError(f"the answers differ: {first.status}, {second.status}")
    replayed = second.header(HEADER_IDEMPOTENCY_REPLAYED)
    runs = sum(count_executions(u.url, key) for u in demo.cluster.upstreams)
    if runs != 1 or replayed != "true":
        raise DemoError(f"{runs} executions, replayed: {replayed}")
    return [f"key {key}: 2 requests through 2 nodes, 1 execution, same answer"]


@STEPS.register("Shift traffic under a cap")
def shift_traffic(demo: Demo) -> list[str]:
    """Move a quarter of suivi's traffic from mtl to qc in steps.

    That quarter is half of the traffic of the callers near mtl.
    """
    cluster, caller = demo.cluster, demo.callers["mtl"]
    for each in demo.callers.values():
        each.tally.clear()
        each.start()
    sleep_ms(SETTLE_MS)
    before = caller.tally.share("qc")
    path = cluster.write_objects("shift.jsonc", [build_shift_intent()])
    lines = [cluster.ctl("apply", "-f", path).splitlines()[0]]
    lines.append(
        cluster.ctl(
            *("wait", KIND_INTENT, "suivi-to-qc", "--for", "complete"),
            *("--timeout-ms", str(SHIFT_TIMEOUT_MS)),
        ).strip()
    )
    caller.tally.clear()
    sleep_ms(SETTLE_MS)
    after = caller.tally.share("qc")
    lines.append(f"share of mtl's callers served in qc: {before:.0%} -> {after:.0%}")
    wanted = SHIFT_SHARE / MTL_SHARE
    if abs(after - before - wanted) > SHIFT_TOLERANCE:
        raise DemoError(lines[-1])
    return lines


@STEPS.register("Drain a site")
def drain_site(demo: Demo) -> list[str]:
    """Drain a site under traffic and check that look-ups leave it out."""
    cluster = demo.cluster
    lines = [cluster.ctl("drain", f"site/{DRAINED_SITE}").strip()]
    waited_ms = cluster.until(
        lambda: DRAINED_NODE not in find_vm_names(demo, CALLERS["mtl"][0]),
        DRAIN_TIMEOUT_MS,
    )
    lines.append(
        f"{DRAINED_NODE} is out of the look-ups {waited_ms} ms after the command"
    )
    for region, caller in demo.callers.items():
        caller.close()
        require_no_failures(caller.tally)
        lines.append(f"callers near {region}: {caller.tally.total} answered, 0 failed")
    return lines


@STEPS.register("Read status and audit trail")
def read_status_and_audit(demo: Demo) -> list[str]:
    """Show the status overview and the audit trail."""
    status = demo.cluster.ctl("status").splitlines()
    audit = demo.cluster.ctl("audit").splitlines()
    text = "\n".join(audit)
    for wanted in ("intent/suivi-to-qc", f"site/{DRAINED_SITE}"):
        if wanted not in text:
            raise DemoError(f"{wanted} is not in the audit trail:\n{text}")
    return [*status, "", audit[0], *audit[-6:]]


@STEPS.register("Shut down a node gracefully")
def stop_node(demo: Demo) -> list[str]:
    """Stop the drained site's node and check its exit code."""
    (node,) = (n for n in demo.cluster.nodes if n.plan.name == DRAINED_NODE)
    demo.cluster.processes.remove(node.process)
    started = time.monotonic()
    node.process.terminate()
    code = node.process.wait()
    if code != 0:
        raise DemoError(f"exit {code}: {node.process.output()[-500:]}")
    took_ms = round((time.monotonic() - started) * MS_PER_SECOND)
    return [f"{DRAINED_NODE} ended with exit code 0 after {took_ms} ms"]


def wait_for_bookings(demo: Demo) -> int:
    """Wait until every node accepts bookings; return the time in ms."""

    def all_take_bookings() -> bool:
        replies = [post_booking(node, b"probe") for node in demo.cluster.nodes]
        return all(reply.status == 200 for reply in replies)

    waited_ms = demo.cluster.until(all_take_bookings)
    sleep_ms(SETTLE_MS)
    return waited_ms


def sleep_ms(duration_ms: int) -> None:
    """Sleep while the background callers continue."""
    time.sleep(duration_ms / MS_PER_SECOND)


def build_shift_intent() -> StoredObject:
    """Return the intent that moves a quarter of suivi from mtl to qc."""
    return make_object(
        KIND_INTENT,
        "suivi-to-qc",
        service="suivi",
        moves=[{"source": "mtl", "target": "qc", "share": SHIFT_SHARE}],
        cap={"max_share": SHIFT_CAP},
        step_ms=STEP_MS,
        soak_ms=STEP_MS,
    )


def find_vm_names(demo: Demo, client: str) -> list[str]:
    """Return the names of the VMs that a look-up gives a client."""
    node = demo.cluster.nodes[-1]
    reply = call("GET", f"{node.url}/v1/lookup?service=suivi&client={client}")
    if reply.status != 200:
        raise DemoError(f"look-up: {reply.status} {reply.body.decode()}")
    return [vm["name"] for vm in reply.json()["vms"]]


def count_executions(url: str, key: str) -> int:
    """Return how often an upstream ran requests with the key."""
    items = call("GET", f"{url}/_executions").json()["items"]
    return sum(item["idempotency_key"] == key for item in items)


def require_no_failures(tally: Tally) -> None:
    """Raise DemoError if any request failed."""
    if tally.failures:
        raise DemoError(f"{len(tally.failures)} failed: {tally.failures[:3]}")
