"""Kill all nodes beside foreign entries of an unnamed service (RECOVER)."""

import asyncio
import signal
import sys
import time
from typing import Any

from standins_3.case import Case, first_manifest, main, manifest, route
from standins_3.endpoint import Endpoint

ZONES = {"mtl-a": "mtl", "qc-a": "qc"}
RATE_PER_S = 40
BEFORE_S = 10.0
DOWN_S = 1.0
RECOVERY_S = 15.0
AFTER_S = 15.0
PATHS = [f"/read/{number}" for number in range(50)]


def foreign_spec(endpoint: Endpoint) -> dict[str, Any]:
    """Return an entry for a service that no manifest names."""
    info = {"service": "nobody", "version": "v1", "zone": "mtl-a", "slots": 8}
    return {"address": endpoint.address, "born": endpoint.born + 1000, "info": info}


async def start(case: Case) -> None:
    """Start the deployment."""
    await case.store.put("config", "main", first_manifest())
    for number, zone in enumerate(["mtl-a", "qc-a"] * 3):
        await case.add_endpoint(f"i-7f3a91c{number}", "s", zone)
    for zone in ("mtl-a", "mtl-a", "qc-a"):
        await case.add_node(zone, ZONES)
    await case.start_nodes()


async def final_fault(case: Case) -> float:
    """Kill all nodes right after a manifest; return when they are back."""
    changed = manifest(4, [route("read", "/read/")], ["s"])
    await case.store.put("config", "main", changed)
    for node in case.nodes:
        node.send(signal.SIGKILL)
    for node in case.nodes:
        node.kill()
    case.note("manifest 4 acknowledged, all processes are killed")
    if case.trouble:
        status = {"state": "ready", "sequence": 1, "cold_remaining_s": 0}
        for number, endpoint in enumerate(case.endpoints):
            name = f"x-{number}"
            await case.store.put("servers", name, foreign_spec(endpoint), status)
            case.note(f"another writer's entry {name}, at {endpoint.name}'s address")
    await asyncio.sleep(DOWN_S)
    for node in case.nodes:
        node.start()
    case.note("all processes are started again")
    return time.monotonic()


async def play(case: Case) -> list[str]:
    """Return what breaks the rule."""
    await start(case)
    begin = time.monotonic()
    end = begin + BEFORE_S + 2 + RECOVERY_S + AFTER_S
    clients = case.clients("mtl", "mtl-a")
    traffic = asyncio.create_task(clients.run(RATE_PER_S, end, PATHS))
    await asyncio.sleep(BEFORE_S)
    fault_at = time.monotonic()
    back_at = await final_fault(case)
    await traffic
    before = [s for s in case.sent if s.at < fault_at]
    after = [s for s in case.sent if s.at > back_at + RECOVERY_S]
    served_before = sum(s.status == 200 for s in before) / max(1, len(before))
    served_after = sum(s.status == 200 for s in after) / max(1, len(after))
    case.note(f"served before the fault: {served_before:.3f} of {len(before)}")
    case.note(f"served later than {RECOVERY_S} s: {served_after:.3f} of {len(after)}")
    if served_before >= 0.25 and served_after < 0.25:
        return [
            f"RECOVER: {served_after:.3f} of {len(after)} requests served later than"
            f" {RECOVERY_S} s after the machines are back, {served_before:.3f} before"
        ]
    return []


if __name__ == "__main__":
    sys.exit(main(__file__, play))
