"""Kill the nodes that read the store exactly, before a change (CONFIG)."""

import asyncio
import signal
import sys
import time

from standins_3.case import Case, main, manifest, route
from standins_3.nodes import Node

ZONES = {"mtl-a": "mtl", "qc-a": "qc", "sag-a": "sag"}
NODES_PER_ZONE = 2
RATE_PER_S = 40
CONFIG_APPLY_S = 2.5
# How old a serializable read is.
STALE_S = 5.5
CHANGE_AFTER_S = 0.5
DOWN_S = 2.0
PATHS = [f"/read/{number}" for number in range(50)]


async def start(case: Case) -> None:
    """Start the deployment with a manifest in force."""
    case.store.stale_s = STALE_S
    routes = [route("read", "/read/", service="s")]
    await case.store.put("config", "main", manifest(3, routes, ["s", "u"]))
    for number, zone in enumerate([*ZONES, *ZONES]):
        await case.add_endpoint(f"i-7f3a91c{number}", "s", zone)
        await case.add_endpoint(f"i-90be44d{number}", "u", zone)
    for zone in ZONES:
        for _ in range(NODES_PER_ZONE):
            await case.add_node(zone, ZONES)
    await case.start_nodes()


def exact_readers(case: Case) -> list[Node]:
    """Return the nodes that made the latest exact reads of their zones."""
    latest = {}
    for name in case.store.exact_readers:
        node = next(n for n in case.nodes if n.name == name)
        latest[node.zone] = node
    return list(latest.values())


async def kill(case: Case, nodes: list[Node]) -> None:
    """Kill some nodes at the same moment."""
    for node in nodes:
        node.send(signal.SIGKILL)
    for node in nodes:
        node.kill()
        case.note(f"{node.name} is killed")


async def play(case: Case) -> list[str]:
    """Return what breaks the rule."""
    await start(case)
    end = time.monotonic() + 20
    traffic = asyncio.gather(
        *(
            case.clients(region, zone).run(RATE_PER_S / len(ZONES), end, PATHS)
            for zone, region in ZONES.items()
        )
    )
    await asyncio.sleep(8)
    readers = exact_readers(case)
    case.note(f"latest exact reads of the manifest: {[n.name for n in readers]}")
    killed_at = time.monotonic()
    if case.trouble:
        await kill(case, readers)
    await asyncio.sleep(CHANGE_AFTER_S)
    routes = [route("read", "/read/", service="u")]
    changed = manifest(5, routes, ["s", "u"])
    acked_at = await case.store.put("config", "main", changed)
    case.note("manifest 5 acknowledged: the route moves from s to u")
    await asyncio.sleep(max(0.0, killed_at + DOWN_S - time.monotonic()))
    if case.trouble:
        for node in readers:
            node.start()
            case.note(f"{node.name} is started again")
    await traffic
    sent = {s.attempt_id: s for s in case.sent}
    killed = {node.front for node in readers}
    return [
        f"CONFIG: {sent[r.attempt_id].node} let {r.attempt_id}, sent"
        f" {sent[r.attempt_id].at - acked_at:.2f} s after the ack, run at {r.service}"
        for r in case.runs
        if r.service == "s"
        and sent[r.attempt_id].at > acked_at + CONFIG_APPLY_S
        and sent[r.attempt_id].node not in killed
    ]


if __name__ == "__main__":
    sys.exit(main(__file__, play))
