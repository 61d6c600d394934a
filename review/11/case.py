"""Kill all nodes beside a large foreign entry that can't be read (RECOVER)."""

import asyncio
import signal
import sys
import time

from standins_3.case import Case, first_manifest, main, manifest, route
from standins_3.store import StoredObject

ZONES = {"mtl-a": "mtl", "qc-a": "qc"}
RATE_PER_S = 40
BEFORE_S = 10.0
RECOVERY_S = 15.0
AFTER_S = 15.0
# The store takes values of up to 1,048,576 bytes.
FOREIGN_BYTES = 1_048_380
PATHS = [f"/read/{number}" for number in range(50)]


def unreadable(item: StoredObject) -> bytes:
    """Return an entry of another writer, whose text isn't UTF-8."""
    return (
        b'{"metadata":{"name":"%s","revision":%d,"created":%d,"finalizers":[],'
        b'"deleting":false},"spec":{"text":"%s"},"status":null}'
        % (item.name.encode(), item.revision, item.created, b"\xff" * FOREIGN_BYTES)
    )


async def play(case: Case) -> list[str]:
    """Return what breaks the rule."""
    await case.store.put("config", "main", first_manifest())
    for number, zone in enumerate(["mtl-a", "qc-a"] * 3):
        await case.add_endpoint(f"i-7f3a91c{number}", "s", zone)
    for zone in ("mtl-a", "mtl-a", "qc-a"):
        await case.add_node(zone, ZONES)
    await case.start_nodes()
    begin = time.monotonic()
    end = begin + BEFORE_S + 2 + RECOVERY_S + AFTER_S
    clients = case.clients("mtl", "mtl-a")
    traffic = asyncio.create_task(clients.run(RATE_PER_S, end, PATHS))
    await asyncio.sleep(BEFORE_S)
    await case.store.put(
        "config", "main", manifest(4, [route("read", "/read/")], ["s"])
    )
    fault_at = time.monotonic()
    case.note("manifest 4 acknowledged, all processes are killed")
    for node in case.nodes:
        node.send(signal.SIGKILL)
    for node in case.nodes:
        node.kill()
    if case.trouble:
        await case.store.put("servers", "a-foreign", None, raw=unreadable)
        case.note(f"another writer's entry a-foreign of {FOREIGN_BYTES} bytes stored")
    await asyncio.sleep(1)
    for node in case.nodes:
        node.start()
    back_at = time.monotonic()
    case.note("all processes are started again")
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
